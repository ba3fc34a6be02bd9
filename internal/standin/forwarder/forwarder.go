// Package forwarder stands between two processes of a test bed and passes TCP
// bytes on, until it is told to cut, to go silent or to delay.
package forwarder

import (
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("forwarder")

// Failed is the type of errors of a forwarder that can't listen.
var Failed = Namespace.NewType("failed")

// Mode says what becomes of bytes.
type Mode struct {
	// BlackholeToServer and BlackholeToClient swallow the bytes of that direction;
	// connections stay open and new ones are accepted.
	BlackholeToServer bool
	BlackholeToClient bool
	// Refuse closes every connection, new ones at once.
	Refuse bool
	// Delay holds each piece of bytes back for so long.
	Delay time.Duration
}

func (m Mode) silent() bool { return m.BlackholeToServer || m.BlackholeToClient }

// bufferBytes is how much is read at once.
const bufferBytes = 32 << 10

// dialTimeout bounds the connection to the target.
const dialTimeout = time.Second

// link is one connection with its two ends and its own mode.
type link struct {
	client net.Conn
	server net.Conn
	mode   Mode
	// lossy is set once bytes were swallowed.
	lossy bool
}

// Forwarder passes connections on to one target.
type Forwarder struct {
	target   string
	listener net.Listener
	wg       conc.WaitGroup

	mu    sync.Mutex
	mode  Mode
	links map[*link]bool
}

// Listen starts a forwarder at address (host:port, port 0 for any).
// Errors: Failed.
func Listen(address, target string) (*Forwarder, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Failed.Wrap(err, "listen")
	}
	f := &Forwarder{target: target, listener: ln, links: make(map[*link]bool)}
	f.wg.Go(f.accept)
	return f, nil
}

// Address is where it listens.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// SetMode puts the mode in force for open and for new connections. A connection that has
// lost bytes breaks when it would be heard again: no network delivers a later byte of a
// connection without the earlier ones, and what reads it can't see the gap.
func (f *Forwarder) SetMode(m Mode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = m
	for l := range f.links {
		l.mode = m
		if m.Refuse || l.lossy && !m.silent() {
			l.close()
		}
	}
}

// BlackholeOpenConnections makes the connections that are open now silent for good, both
// ways, while new ones work: a device on the path has lost track of them.
func (f *Forwarder) BlackholeOpenConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.links {
		l.mode = Mode{BlackholeToServer: true, BlackholeToClient: true}
	}
}

// ResetOpenConnections breaks the connections that are open now, as a VM without power does once
// it is back; new ones work.
func (f *Forwarder) ResetOpenConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.links {
		for _, c := range []net.Conn{l.client, l.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		l.close()
	}
}

// Close ends the forwarder and its connections.
func (f *Forwarder) Close() {
	_ = f.listener.Close()
	f.SetMode(Mode{Refuse: true})
	f.wg.Wait()
}

func (f *Forwarder) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.wg.Go(func() { f.serve(conn) })
	}
}

func (f *Forwarder) serve(client net.Conn) {
	if f.modeOf(nil).Refuse {
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", f.target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, server: server}
	if !f.add(l) {
		l.close()
		return
	}
	defer f.remove(l)
	var wg conc.WaitGroup
	wg.Go(func() { f.pass(l, client, server, true) })
	wg.Go(func() { f.pass(l, server, client, false) })
	wg.Wait()
}

func (f *Forwarder) add(l *link) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	l.mode = f.mode
	f.links[l] = true
	return !f.mode.Refuse
}

func (f *Forwarder) remove(l *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.links, l)
}

// modeOf gives a link's mode, or with nil the mode for new ones.
func (f *Forwarder) modeOf(l *link) Mode {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l == nil {
		return f.mode
	}
	return l.mode
}

func (f *Forwarder) pass(l *link, from, to net.Conn, toServer bool) {
	defer l.close()
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		m := f.modeOf(l)
		silent := m.BlackholeToServer && toServer || m.BlackholeToClient && !toServer
		if n > 0 && silent {
			f.loses(l)
		}
		if n > 0 && !silent {
			time.Sleep(m.Delay)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			f.endSilently(l, silent)
			return
		}
	}
}

func (f *Forwarder) loses(l *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l.lossy = true
}

// endSilently keeps the other end open when this direction is silent: the end
// of a connection must not pass either. It waits until the mode changes.
func (f *Forwarder) endSilently(l *link, silent bool) {
	for silent {
		time.Sleep(pollSilent)
		m := f.modeOf(l)
		silent = !m.Refuse && m.silent()
	}
}

// pollSilent is how often a silent link looks whether it may end.
const pollSilent = 20 * time.Millisecond

func (l *link) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}
