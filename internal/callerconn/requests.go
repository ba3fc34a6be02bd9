package callerconn

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Requests are the requests in progress by their connections, from when they were read until their answers are written. The
// zero value has none. It is safe for concurrent use.
type Requests struct {
	mu     sync.Mutex
	byConn map[net.Conn]string
	// waiting are the kept connections between two requests.
	waiting map[*Conn]struct{}
}

// Begin records that the request with that id was read from a connection.
func (r *Requests) Begin(conn net.Conn, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.add(conn, id)
}

func (r *Requests) add(conn net.Conn, id string) {
	if r.byConn == nil {
		r.byConn = make(map[net.Conn]string)
	}
	r.byConn[conn] = id
}

// End records that the connection has no request in progress any more and is not kept.
func (r *Requests) End(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byConn, conn)
	if c, ok := conn.(*Conn); ok {
		delete(r.waiting, c)
	}
}

// Keep records that the connection has no request in progress any more and waits for the next one.
func (r *Requests) Keep(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byConn, conn)
	if c, ok := conn.(*Conn); ok {
		if r.waiting == nil {
			r.waiting = make(map[*Conn]struct{})
		}
		r.waiting[c] = struct{}{}
	}
}

// Arrive records that a request has begun to arrive on the connection.
func (r *Requests) Arrive(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := conn.(*Conn); ok {
		delete(r.waiting, c)
		c.unmark(time.Now().Add(markedReadTimeout))
	}
}

// CloseKept closes the connections that wait for a request and have nothing to read. Those for which that is not yet known
// count as requests in progress.
func (r *Requests) CloseKept() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.waiting {
		r.add(c, "")
		c.CloseUnlessReadable()
	}
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
		if id != "" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
