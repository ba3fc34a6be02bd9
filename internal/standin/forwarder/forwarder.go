// Package forwarder implements a TCP proxy between two processes of a test bed that
// can refuse connections, discard bytes or delay them to simulate network faults.
package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/listen"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("forwarder")

// Failed is the type of errors of a forwarder that can't listen.
var Failed = Namespace.NewType("failed")

// Mode selects the simulated network fault. The zero value forwards all bytes.
type Mode struct {
	// BlackholeToServer and BlackholeToClient discard the bytes of one direction;
	// connections stay open and new ones are accepted.
	BlackholeToServer bool
	BlackholeToClient bool
	// Refuse closes all open connections, and new ones as soon as they are
	// accepted.
	Refuse bool
	// Delay is the wait before each chunk of bytes is forwarded.
	Delay time.Duration
}

func (m Mode) blackholes() bool { return m.BlackholeToServer || m.BlackholeToClient }

// bufferBytes is the size of a read buffer.
const bufferBytes = 32 << 10

// acceptRetryDelay is the pause after a connection that could not be accepted, as no descriptor was free. An address
// that nobody accepts at any more would look like a process that answers nobody.
const acceptRetryDelay = 20 * time.Millisecond

// dialTimeout bounds the dial to the target.
const dialTimeout = time.Second

// connPair is a forwarded connection: the client's and the target's side, and the
// mode that applies to it.
type connPair struct {
	client net.Conn
	server net.Conn
	mode   Mode
	// lostBytes is true once bytes have been discarded.
	lostBytes bool
	// cut is set while the forwarder's cut applies in place of mode.
	cut bool
}

// Forwarder forwards TCP connections to one target.
type Forwarder struct {
	address, target string
	wg              conc.WaitGroup

	mu        sync.Mutex
	listener  net.Listener
	mode      Mode
	connPairs map[*connPair]bool
	// clientPorts returns the local ports of the client that is cut off in cutMode; nil for none. cuts
	// counts its changes.
	clientPorts func() map[int]bool
	cutMode     Mode
	cuts        int
}

// Listen starts a forwarder at address (host:port, port 0 for any free port).
// Errors: Failed.
func Listen(address, target string) (*Forwarder, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Failed.Wrap(err, "listen")
	}
	f := &Forwarder{address: ln.Addr().String(), target: target, listener: ln, connPairs: make(map[*connPair]bool)}
	f.wg.Go(func() { f.accept(ln) })
	return f, nil
}

// StopListening refuses new connections, as the target's own address does once its process has
// ended. Open connections stay.
func (f *Forwarder) StopListening() {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.listener.Close()
}

// Relisten accepts connections again. Errors: Failed.
func (f *Forwarder) Relisten() error {
	ln, err := listen.Open(context.Background(), f.address, slog.New(slog.DiscardHandler))
	if err != nil {
		return Failed.Wrap(err, "listen again")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Not the listener of package listen: what it accepts can't be reset.
	f.listener = ln.(*listen.LimitedListener).Listener
	ln = f.listener
	f.wg.Go(func() { f.accept(ln) })
	return nil
}

// Address returns the address that the forwarder listens on.
func (f *Forwarder) Address() string { return f.address }

// SetMode sets the mode of open and of new connections. A connection that has lost
// bytes is closed when the new mode would forward again: TCP never delivers later
// bytes of a connection without the earlier ones, and the reader could not detect
// the gap.
func (f *Forwarder) SetMode(m Mode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = m
	for pair := range f.connPairs {
		pair.mode = m
		if m := f.modeOf(pair); m.Refuse || pair.lostBytes && !m.blackholes() {
			pair.close()
		}
	}
}

// Cut selects the mode of one client's connections, open and new ones. clientPorts returns the local ports of
// that client's connections at a time after its call; nil ends the cut.
func (f *Forwarder) Cut(clientPorts func() map[int]bool, m Mode) {
	f.mu.Lock()
	f.clientPorts, f.cutMode = clientPorts, m
	f.cuts++
	f.mu.Unlock()
	var ports map[int]bool
	if clientPorts != nil {
		ports = clientPorts()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for pair := range f.connPairs {
		pair.cut = clientPorts != nil && (pair.cut || ports[pair.clientPort()])
		if pair.lostBytes && !f.modeOf(pair).blackholes() || f.modeOf(pair).Refuse {
			pair.close()
		}
	}
}

// isCut reports whether a new connection is one of the client that is cut off, and which cut that holds for.
func (f *Forwarder) isCut(pair *connPair) (cut bool, cuts int) {
	f.mu.Lock()
	clientPorts, cuts := f.clientPorts, f.cuts
	f.mu.Unlock()
	return clientPorts != nil && clientPorts()[pair.clientPort()], cuts
}

// BlackholeOpenConnections discards all further bytes of the open connections in
// both directions, while new connections work. It simulates a stateful device on
// the path that has lost its connection table.
func (f *Forwarder) BlackholeOpenConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for pair := range f.connPairs {
		pair.mode = Mode{BlackholeToServer: true, BlackholeToClient: true}
	}
}

// ResetOpenConnections resets the open connections, as a VM does when it is back
// after a power loss. New connections work.
func (f *Forwarder) ResetOpenConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for pair := range f.connPairs {
		for _, c := range []net.Conn{pair.client, pair.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		pair.close()
	}
}

// Close stops the forwarder and closes its connections.
func (f *Forwarder) Close() {
	f.StopListening()
	f.Cut(nil, Mode{})
	f.SetMode(Mode{Refuse: true})
	f.wg.Wait()
}

func (f *Forwarder) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("forwarder accepts no connection", "address", f.address, "target", f.target, "error", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		f.wg.Go(func() { f.serve(conn) })
	}
}

func (f *Forwarder) serve(client net.Conn) {
	if f.modeFor(nil).Refuse {
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", f.target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	pair := &connPair{client: client, server: server}
	if !f.add(pair) {
		pair.close()
		return
	}
	defer f.remove(pair)
	var wg conc.WaitGroup
	wg.Go(func() { f.copyBytes(pair, client, server, true) })
	wg.Go(func() { f.copyBytes(pair, server, client, false) })
	wg.Wait()
}

// add forwards a connection from now on; false if the mode refuses it.
func (f *Forwarder) add(pair *connPair) bool {
	for {
		cut, cuts := f.isCut(pair)
		f.mu.Lock()
		if f.cuts == cuts {
			defer f.mu.Unlock()
			pair.mode, pair.cut = f.mode, cut
			f.connPairs[pair] = true
			return !f.modeOf(pair).Refuse
		}
		f.mu.Unlock()
	}
}

func (f *Forwarder) remove(pair *connPair) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connPairs, pair)
}

// modeFor returns the mode of a connection, or with nil the mode of new ones.
func (f *Forwarder) modeFor(pair *connPair) Mode {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pair == nil {
		return f.mode
	}
	return f.modeOf(pair)
}

// modeOf returns the mode of a connection; the caller holds the lock.
func (f *Forwarder) modeOf(pair *connPair) Mode {
	if pair.cut {
		return f.cutMode
	}
	return pair.mode
}

func (f *Forwarder) copyBytes(pair *connPair, from, to net.Conn, toServer bool) {
	defer pair.close()
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		m := f.modeFor(pair)
		blackholed := m.BlackholeToServer && toServer || m.BlackholeToClient && !toServer
		if n > 0 && blackholed {
			f.markLostBytes(pair)
		}
		if n > 0 && !blackholed {
			time.Sleep(m.Delay)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			f.waitWhileBlackholed(pair, blackholed)
			return
		}
	}
}

func (f *Forwarder) markLostBytes(pair *connPair) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pair.lostBytes = true
}

// waitWhileBlackholed delays the close of the other end while this direction
// discards bytes: the end of the connection must not get through either. It
// returns when the mode no longer discards bytes, or refuses connections.
func (f *Forwarder) waitWhileBlackholed(pair *connPair, blackholed bool) {
	for blackholed {
		time.Sleep(blackholePollInterval)
		m := f.modeFor(pair)
		blackholed = !m.Refuse && m.blackholes()
	}
}

// blackholePollInterval is how often waitWhileBlackholed checks the mode.
const blackholePollInterval = 20 * time.Millisecond

// clientPort returns the client's port, 0 if it has none.
func (pair *connPair) clientPort() int {
	if a, ok := pair.client.RemoteAddr().(*net.TCPAddr); ok {
		return a.Port
	}
	return 0
}

func (pair *connPair) close() {
	_ = pair.client.Close()
	_ = pair.server.Close()
}
