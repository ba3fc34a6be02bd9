// Package peek inspects connections without consuming bytes from them: whether the peer is still
// there while no goroutine reads.
package peek

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Idle reports whether the connection is open and has nothing to read, as is required to reuse
// it: the peer has neither closed it nor sent unrequested bytes. A connection without a file
// descriptor counts as idle.
func Idle(conn net.Conn) bool {
	raw := rawConn(conn)
	if raw == nil {
		return true
	}
	idle := false
	err := raw.Read(func(fd uintptr) bool {
		_, err := peekByte(fd)
		idle = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// Watch calls onClose, once, when the peer closes or resets the connection while no goroutine
// reads from it. It ends without a call when bytes arrive instead: the peer has sent its next
// request already, so it is there. stop ends the watch and must be called before the connection
// is read; onClose is not called after it returns.
func Watch(conn net.Conn, onClose func()) (stop func()) {
	raw := rawConn(conn)
	if raw == nil {
		return func() {}
	}
	done := make(chan struct{})
	var mu sync.Mutex
	stopped := false
	go func() {
		defer close(done)
		closed := false
		err := raw.Read(func(fd uintptr) bool {
			n, err := peekByte(fd)
			if errors.Is(err, unix.EAGAIN) {
				return false
			}
			closed = err != nil || n == 0
			return true
		})
		mu.Lock()
		defer mu.Unlock()
		if err == nil && closed && !stopped {
			onClose()
		}
	}()
	return func() {
		mu.Lock()
		stopped = true
		mu.Unlock()
		// A deadline in the past ends the wait. The next reader sets its own.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// peekByte peeks at the next byte without consuming it. 0 bytes mean that the peer has closed
// the connection.
func peekByte(fd uintptr) (int, error) {
	var b [1]byte
	for {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

func rawConn(conn net.Conn) syscall.RawConn {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		// The connection is closed; its next user gets the error.
		return nil
	}
	return raw
}
