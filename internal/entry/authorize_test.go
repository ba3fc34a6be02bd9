package entry

import (
	"net/http"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// declares lets control declare these members, with these servers.
func (w *world) declares(members []declaration.Member, servers ...*pb.BackendServer) []Effect {
	w.version++
	d := testDeclaration(w.version)
	d.Members = members
	return w.step(ViewReceived{SentAt: w.now, Response: &pb.WatchResponse{
		Version: w.version, Full: true, Revision: w.version, LeaseMs: 1500,
		Objects: d.ToProto().Objects, Servers: servers,
	}})
}

func holder(name string, credentials ...string) declaration.Member {
	return declaration.Member{Name: name, Weight: 1, CredentialsSHA256: credentials}
}

// asks sends a request with a credential on a route for members only.
func (w *world) asks(id, credential string) []Effect {
	return w.relayed(id, func(a *RequestArrived) { a.Credential, a.MembersOnly = credential, true })
}

// full lets a request of nobody's take the only place, so that the next one waits.
func (w *world) full(members ...declaration.Member) Dispatch {
	w.t.Helper()
	w.declares(members, onePlace()...)
	w.relayed("first", nil)
	return w.dispatched()
}

func onePlace() []*pb.BackendServer {
	list := serving(1)
	list[0].Slots = 1
	return list
}

func whole(ev *AttemptEnded) { ev.Complete, ev.Outcome = true, outcome.Ran }

// Guards against a request that runs without a credential, or under an unknown one.
func TestUnknownCredentialIsRefused(t *testing.T) {
	w := relayedWorld(t)
	w.declares([]declaration.Member{holder("hotels", "key-1")}, serving(1)...)
	for _, credential := range []string{"", "key-2"} {
		w.asks("r"+credential, credential)
		if r := w.refused(); r.Status != http.StatusUnauthorized || r.Outcome != outcome.NotRun {
			t.Errorf("credential %q: %+v", credential, r)
		}
	}
	w.asks("r1", "key-1")
	if d := w.dispatched(); d.Member != "hotels" {
		t.Errorf("runs for %q", d.Member)
	}
}

// Guards against a final "unknown credential" by an entry that may have missed the change that declared it.
func TestUnknownCredentialIsNotFinalWithoutALease(t *testing.T) {
	w := relayedWorld(t)
	w.declares([]declaration.Member{holder("hotels", "key-1")}, serving(1)...)
	w.now += 2 * time.Second
	w.asks("r1", "key-2")
	if r := w.refused(); r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 || r.Outcome != outcome.NotRun {
		t.Errorf("without a lease: %+v", r)
	}
	w.asks("r2", "")
	if r := w.refused(); r.Status != http.StatusUnauthorized {
		t.Errorf("no credential: %+v", r)
	}
}

// Guards against a request that waits for a place while its key is taken away, and runs.
func TestWaitingRequestOfARevokedCredentialIsRefused(t *testing.T) {
	w := relayedWorld(t)
	first := w.full(holder("hotels", "key-1"))
	w.asks("r1", "key-1")
	if n := len(pick[Dispatch](w.effects)); n != 0 {
		t.Fatalf("%d dispatches while the server is full", n)
	}
	w.declares([]declaration.Member{holder("hotels", "key-2")}, onePlace()...)
	w.ended(first, whole)
	if r := w.refused(); r.Status != http.StatusUnauthorized || r.Outcome != outcome.NotRun {
		t.Errorf("refused with %+v", r)
	}
}

// Guards against a request that runs for the member that held its key when it came.
func TestWaitingRequestRunsForThePresentHolder(t *testing.T) {
	w := relayedWorld(t)
	rank := 3
	first := w.full(holder("hotels", "key-1"), holder("cafes", "key-2"))
	w.asks("r1", "key-1")
	cafes := holder("cafes", "key-2", "key-1")
	cafes.Rank = &rank
	w.declares([]declaration.Member{holder("hotels"), cafes}, onePlace()...)
	w.ended(first, whole)
	if d := w.dispatched(); d.Member != "cafes" || d.Rank != rank {
		t.Errorf("runs for %q at rank %d", d.Member, d.Rank)
	}
}

// Guards against a prompt that is read under a key and answered after the key is gone.
func TestPrefilledRequestOfARevokedCredentialIsNotDecoded(t *testing.T) {
	w := relayedWorld(t)
	members := []declaration.Member{holder("hotels", "key-1")}
	w.declares(members, prefillers(2, 1)...)
	w.relayed("r1", func(a *RequestArrived) {
		a.Credential, a.MembersOnly = "key-1", true
		a.Work.PromptTokens, a.Work.EngineSpeed.KVTransferRate = 17000, 2e6
	})
	d := w.dispatched()
	w.declares(nil, prefillers(2, 1)...)
	w.step(PrefillDone{RequestID: "r1", Attempt: d.Attempt})
	if at := pick[DecodeAt](w.effects); len(at) > 0 {
		t.Errorf("decodes at %+v", at)
	}
	if r := w.refused(); r.Status != http.StatusUnauthorized {
		t.Errorf("refused with %+v", r)
	}
}

// Guards against a retry, after a server's failure, under a key that is gone meanwhile; its
// request may have run, and no answer may say that it has not.
func TestRetryOfARevokedCredentialIsRefusedTruthfully(t *testing.T) {
	w := relayedWorld(t)
	w.declares([]declaration.Member{holder("hotels", "key-1")}, serving(2)...)
	w.relayed("r1", func(a *RequestArrived) { a.Credential, a.MembersOnly, a.Retry = "key-1", true, RetryAllowed })
	d := w.dispatched()
	w.declares(nil, serving(2)...)
	w.ended(d, func(ev *AttemptEnded) { ev.Outcome = outcome.Ran })
	if n := len(pick[Dispatch](w.effects)); n != 0 {
		t.Errorf("sent on %d times more", n)
	}
	if r := w.refused(); r.Outcome != outcome.Unknown {
		t.Errorf("refused with %+v", r)
	}
}

// Guards against credentials that come back with an older view of control.
func TestOlderViewDoesNotBringACredentialBack(t *testing.T) {
	w := relayedWorld(t)
	w.declares([]declaration.Member{holder("hotels", "key-1")}, serving(1)...)
	w.declares([]declaration.Member{holder("hotels", "key-2")}, serving(1)...)
	w.version = 0
	w.declares([]declaration.Member{holder("hotels", "key-1")}, serving(1)...)
	w.asks("r1", "key-1")
	if r := w.refused(); r.Status != http.StatusUnauthorized {
		t.Errorf("refused with %+v", r)
	}
}

// Guards against an entry that control does not reach and that, told to be strict, goes on
// serving keys which may be gone.
func TestStrictEntryServesNoCredentialsWithoutControl(t *testing.T) {
	for _, strict := range []bool{true, false} {
		w := relayedWorld(t)
		w.r.cfg.Credentials = CredentialLimits{Strict: strict, ConfirmedWithin: 5 * time.Second}
		w.declares([]declaration.Member{holder("hotels", "key-1")}, serving(1)...)
		w.after(6 * time.Second)
		w.step(ServerReported{Server: "engine-0", Incarnation: "life-1", State: "serving"})
		w.asks("r1", "key-1")
		if refused := len(pick[Refuse](w.effects)) == 1; refused != strict {
			t.Errorf("strict %v: refused %v", strict, refused)
		}
	}
}
