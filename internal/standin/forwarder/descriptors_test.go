package forwarder_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/standin/forwarder"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// Guards against a process of a test bed that seems to answer nobody for good, since its forwarder had no descriptor for one
// connection.
func TestForwarderOutlivesALackOfDescriptors(t *testing.T) {
	const timeout = 5 * time.Second
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	go func() {
		for {
			conn, err := target.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue
			}
			_, _ = io.WriteString(conn, "here")
			_ = conn.Close()
		}
	}()
	f, err := forwarder.Listen("127.0.0.1:0", target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := testbed.ConnectWithoutDescriptors(f.Address()); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", f.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if got, err := io.ReadAll(conn); string(got) != "here" {
		t.Errorf("the forwarder answers %q, %v", got, err)
	}
}
