package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

func pair(t *testing.T) (near *Conn, far net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if far, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	accepted, err := Listener{Listener: ln}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = far.Close(); _ = accepted.Close() })
	return accepted.(*Conn), far
}

// Guards against a kept connection that is closed between the read of a request's first bytes and the record that it
// has arrived, or that keeps the deadline which ended its wait.
func TestRequestThatArrivesWhileKeptConnectionsCloseIsRead(t *testing.T) {
	near, far := pair(t)
	var r Requests
	r.Keep(near)
	if _, err := io.WriteString(far, "one"); err != nil {
		t.Fatal(err)
	}
	r.CloseKept()
	got := make([]byte, 8)
	if n, err := near.Read(got); err != nil || string(got[:n]) != "one" {
		t.Fatalf("read %q, %v", got[:n], err)
	}
	r.CloseKept()
	r.Arrive(near)
	if r.Len() != 1 {
		t.Errorf("%d requests in progress while one is read", r.Len())
	}
	time.AfterFunc(50*time.Millisecond, func() { _, _ = io.WriteString(far, "two") })
	r.CloseKept()
	if n, err := near.Read(got); err != nil || string(got[:n]) != "two" {
		t.Errorf("the rest of the request: %q, %v", got[:n], err)
	}
	r.Begin(near, "id")
	if ids := r.IDs(); len(ids) != 1 || ids[0] != "id" {
		t.Errorf("requests %q", ids)
	}
}

// Guards against a stop that waits for kept connections without a request, those that end a request during it included.
func TestKeptConnectionsWithoutARequestClose(t *testing.T) {
	near, _ := pair(t)
	var r Requests
	r.Begin(near, "id")
	r.CloseKept()
	r.Keep(near)
	read := make(chan error, 1)
	go func() {
		_, err := near.Read(make([]byte, 8))
		read <- err
	}()
	select {
	case err := <-read:
		t.Fatalf("the connection ended by itself: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	r.CloseKept()
	if err := <-read; !errors.Is(err, io.EOF) {
		t.Errorf("the read ended with %v", err)
	}
	if r.Len() != 1 {
		t.Errorf("%d connections are not closed yet", r.Len())
	}
	r.End(near)
	if r.CloseKept(); r.Len() != 0 {
		t.Errorf("%d connections are not closed", r.Len())
	}
}

// Guards against a connection whose ordinary read timeout is taken for the end of its wait.
func TestReadTimeoutStays(t *testing.T) {
	near, _ := pair(t)
	_ = near.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := near.Read(make([]byte, 8)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the read ended with %v", err)
	}
}
