package traffic

import (
	"net"
	"net/http"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// addEntry publishes a view that names another entry at a peer address.
func (f *fixture) addEntry(peerAddress string) {
	f.t.Helper()
	f.control.mu.Lock()
	f.control.view = &pb.WatchResponse{
		Version: f.control.view.Version + 1, Full: true, Revision: f.control.view.Revision, LeaseMs: f.control.view.LeaseMs,
		Objects: f.control.view.Objects, Servers: f.control.view.Servers,
		Entries: []*pb.EntryInfo{
			{Identity: f.server.host.Identity},
			{Identity: &pb.EntryIdentity{Name: "entry-b1", Incarnation: "i", DataCentre: "dc-b", CallerAddress: peerAddress, PeerAddress: peerAddress}},
		},
	}
	f.control.mu.Unlock()
	f.waitFor("the other entry is known", func() bool { return len(f.server.host.Snapshot().Entries) == 2 })
}

// Guards against "no entry knows this request" for one that an entry runs which is too busy to answer: its
// caller has a part of the answer and would give it up.
func TestUnansweredLookupIsNotNotFound(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = gone.Close()
	t.Cleanup(func() { _ = silent.Close() })
	for _, c := range []struct {
		name, address string
		status        int
		code          outcome.Code
		repeatable    bool
	}{
		{"busy", silent.Addr().String(), http.StatusServiceUnavailable, outcome.CodeStaleView, true},
		{"ended", gone.Addr().String(), http.StatusNotFound, outcome.CodeNotFound, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, nil, nil)
			f.addEntry(c.address)
			began := time.Now()
			a := f.do("POST", "/v1/requests/r1/resume", asMember("hotels"), "{}")
			if a.status != c.status || a.code() != c.code || (a.header.Get(outcome.HeaderRetryAfter) != "") != c.repeatable {
				t.Errorf("status %d, %s, Retry-After %q after %v", a.status, a.body, a.header.Get(outcome.HeaderRetryAfter), time.Since(began))
			}
		})
	}
}
