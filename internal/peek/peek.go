// Package peek looks at connections without taking bytes from them: whether the
// other end is still there while nobody reads.
package peek

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Idle tells whether the connection is open and has nothing to read, as one
// must be that is to be used again: the peer has not closed it and has sent
// nothing that was not asked for.
func Idle(conn net.Conn) bool {
	raw := rawOf(conn)
	if raw == nil {
		return true
	}
	quiet := false
	err := raw.Read(func(fd uintptr) bool {
		_, err := look(fd)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Watch calls gone, once, when the peer closes the connection or resets it while
// nobody reads from it. Bytes that come instead end the watch: a caller that has
// sent its next request already is there. stop ends the watch and must be called
// before anybody reads; after it gone is not called any more.
func Watch(conn net.Conn, gone func()) (stop func()) {
	raw := rawOf(conn)
	if raw == nil {
		return func() {}
	}
	done := make(chan struct{})
	var mu sync.Mutex
	stopped := false
	go func() {
		defer close(done)
		left := false
		err := raw.Read(func(fd uintptr) bool {
			n, err := look(fd)
			if errors.Is(err, unix.EAGAIN) {
				return false
			}
			left = err != nil || n == 0
			return true
		})
		mu.Lock()
		defer mu.Unlock()
		if err == nil && left && !stopped {
			gone()
		}
	}()
	return func() {
		mu.Lock()
		stopped = true
		mu.Unlock()
		// A deadline in the past ends the wait; the next reader sets its own.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// look reads one byte and leaves it where it is; 0 bytes mean that the peer has
// closed.
func look(fd uintptr) (int, error) {
	var b [1]byte
	for {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

func rawOf(conn net.Conn) syscall.RawConn {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		// A closed connection has none; whoever uses it next finds out.
		return nil
	}
	return raw
}
