package httpconn

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against connections that stay open for as long as the process runs since nobody uses them again.
func TestIdleConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	p := newPeer(t, func(conn net.Conn, _ int, _ *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour")
		return true
	})
	client := New()
	if body, err := call(t, client, p, nil); body != "four" || err != nil {
		t.Fatalf("%q, %v", body, err)
	}
	addresses := func() int {
		client.mu.Lock()
		defer client.mu.Unlock()
		return len(client.hosts)
	}
	if addresses() != 1 {
		t.Fatal("the connection was not kept")
	}
	go client.CloseIdle(t.Context())
	for end := time.Now().Add(testTimeout); addresses() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the connection is open after %v", testTimeout)
		}
	}
}
