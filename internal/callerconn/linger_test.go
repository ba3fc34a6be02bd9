package callerconn

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against a refusal that its caller can't read, since the connection is reset under the body that is still sent.
func TestAnswerBeforeTheEndOfABodyIsRead(t *testing.T) {
	near, far := pair(t)
	sent := make(chan error, 1)
	go func() {
		_, err := io.Copy(far, strings.NewReader(strings.Repeat("x", 4<<20)))
		sent <- err
	}()
	if _, err := near.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(near, "refused"); err != nil {
		t.Fatal(err)
	}
	Linger(near)
	_ = near.Close()
	if err := <-sent; err != nil {
		t.Errorf("the body is not taken: %v", err)
	}
	answer, err := io.ReadAll(far)
	if err != nil || string(answer) != "refused" {
		t.Errorf("%q, %v", answer, err)
	}
}

// Guards against a caller that keeps a refused connection open by sending on.
func TestLingeringConnectionIsClosed(t *testing.T) {
	near, far := pair(t)
	Linger(near)
	_ = near.Close()
	_ = far.SetWriteDeadline(time.Now().Add(20 * lingerTime))
	for {
		if _, err := far.Write([]byte("x")); err != nil {
			if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
				t.Error("the connection stays open")
			}
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
