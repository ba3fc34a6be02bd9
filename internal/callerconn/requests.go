package callerconn

import (
	"net"
	"slices"
	"sync"
)

// Requests are the requests in progress by their connections, from when they were read until their answers are written. The
// zero value has none. It is safe for concurrent use.
type Requests struct {
	mu     sync.Mutex
	byConn map[net.Conn]string
}

// Begin records that the request with that id was read from a connection.
func (r *Requests) Begin(conn net.Conn, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byConn == nil {
		r.byConn = make(map[net.Conn]string)
	}
	r.byConn[conn] = id
}

// End records that the connection has no request in progress any more.
func (r *Requests) End(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byConn, conn)
}

// Len returns how many requests are in progress.
func (r *Requests) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byConn)
}

// IDs returns the ids of the requests in progress, sorted.
func (r *Requests) IDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.byConn))
	for _, id := range r.byConn {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
