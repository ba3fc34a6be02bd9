package traffic

import (
	"net/http"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// publishDeadline publishes a view in which calls of the plain service have so much time.
func (f *fixture) publishDeadline(deadline time.Duration) {
	f.t.Helper()
	d := testDeclaration()
	d.Revision++
	d.Profile("portal").Deadline = deadline
	c := f.control
	c.mu.Lock()
	c.view = &pb.WatchResponse{
		Version: c.view.Version + 1, Full: true, Revision: d.Revision, LeaseMs: c.view.LeaseMs, Objects: d.ToProto().Objects, Servers: c.view.Servers,
	}
	c.mu.Unlock()
	f.waitFor("the entry knows the deadline", func() bool { return f.server.host.Snapshot().Declaration.Profile("portal").Deadline == deadline })
}

// Guards against calls that a server still runs when a planned stop ends, and that end with a closed connection.
func TestCallThatAStopEndsGetsAnAnswer(t *testing.T) {
	for path, key := range map[string]string{"/status": "", "/balances": newKey(t)} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			received, release := make(chan struct{}, idempotentAttempts), make(chan struct{})
			f := newFixture(t, nil, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				received <- struct{}{}
				<-release
			}))
			defer close(release)
			f.publishDeadline(testTimeout)
			ends := make(chan answer, 1)
			go func() {
				h := asMember("hotels")
				if key != "" {
					h = h.with(outcome.HeaderIdempotencyKey, key)
				}
				ends <- f.do("GET", "/svc/portal"+path, h, "")
			}()
			<-received
			f.stop()
			select {
			case a := <-ends:
				if a.outcome() != outcome.Unknown {
					t.Errorf("status %d, outcome %q", a.status, a.outcome())
				}
			case err := <-f.runResult:
				t.Errorf("the entry has ended without an answer: %v", err)
			}
			if key != "" {
				f.waitFor("the key is settled", func() bool { return f.control.status(key) == pb.ClaimStatus_CLAIM_STATUS_UNKNOWN })
			}
		})
	}
}
