package entry

import (
	"net/http"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// declare applies a view with these members and servers.
func (w *harness) declare(members []declaration.Member, servers ...*pb.BackendServer) []Effect {
	w.version++
	d := testDeclaration(w.version)
	d.Members = members
	return w.step(ViewReceived{SentAt: w.now, Response: &pb.WatchResponse{
		Version: w.version, Full: true, Revision: w.version, LeaseMs: 1500,
		Objects: d.ToProto().Objects, Servers: servers,
	}})
}

func memberWithCredentials(name string, credentials ...string) declaration.Member {
	return declaration.Member{Name: name, Weight: 1, CredentialsSHA256: credentials}
}

// arriveWithCredential sends a request with a credential on a route for members only.
func (w *harness) arriveWithCredential(id, credential string) []Effect {
	return w.arriveWithDeadline(id, func(a *RequestArrived) { a.Credential, a.MembersOnly = credential, true })
}

// fillOnlySlot lets a request without a member take the only slot, so that the next one waits.
func (w *harness) fillOnlySlot(members ...declaration.Member) Dispatch {
	w.t.Helper()
	w.declare(members, singleSlotServer()...)
	w.arriveWithDeadline("first", nil)
	return w.singleDispatch()
}

func singleSlotServer() []*pb.BackendServer {
	list := serving(1)
	list[0].Slots = 1
	return list
}

func completed(ev *AttemptEnded) { ev.Complete, ev.Outcome = true, outcome.Ran }

// Guards against a request that runs without a credential, or under an unknown one.
func TestUnknownCredentialIsRefused(t *testing.T) {
	w := newDeadlineHarness(t)
	w.declare([]declaration.Member{memberWithCredentials("hotels", "key-1")}, serving(1)...)
	for _, credential := range []string{"", "key-2"} {
		w.arriveWithCredential("r"+credential, credential)
		if r := w.singleRefusal(); r.Status != http.StatusUnauthorized || r.Outcome != outcome.NotRun {
			t.Errorf("credential %q: %+v", credential, r)
		}
	}
	w.arriveWithCredential("r1", "key-1")
	if d := w.singleDispatch(); d.Member != "hotels" {
		t.Errorf("runs for %q", d.Member)
	}
}

// Guards against a final "unknown credential" from an entry that may have missed the change that
// declared it.
func TestUnknownCredentialIsNotFinalWithoutALease(t *testing.T) {
	w := newDeadlineHarness(t)
	w.declare([]declaration.Member{memberWithCredentials("hotels", "key-1")}, serving(1)...)
	w.now += 2 * time.Second
	w.arriveWithCredential("r1", "key-2")
	if r := w.singleRefusal(); r.Status != http.StatusServiceUnavailable || r.RetryAfter == 0 || r.Outcome != outcome.NotRun {
		t.Errorf("without a lease: %+v", r)
	}
	w.arriveWithCredential("r2", "")
	if r := w.singleRefusal(); r.Status != http.StatusUnauthorized {
		t.Errorf("no credential: %+v", r)
	}
}

// Guards against a request that runs although its credential was revoked while it waited for a
// slot.
func TestWaitingRequestOfARevokedCredentialIsRefused(t *testing.T) {
	w := newDeadlineHarness(t)
	first := w.fillOnlySlot(memberWithCredentials("hotels", "key-1"))
	w.arriveWithCredential("r1", "key-1")
	if n := len(effectsOf[Dispatch](w.effects)); n != 0 {
		t.Fatalf("%d dispatches while the server is full", n)
	}
	w.declare([]declaration.Member{memberWithCredentials("hotels", "key-2")}, singleSlotServer()...)
	w.endAttempt(first, completed)
	if r := w.singleRefusal(); r.Status != http.StatusUnauthorized || r.Outcome != outcome.NotRun {
		t.Errorf("refused with %+v", r)
	}
}

// Guards against a request that runs for the member that held its credential on arrival, after
// the credential moved to another member.
func TestWaitingRequestRunsForThePresentHolder(t *testing.T) {
	w := newDeadlineHarness(t)
	rank := 3
	first := w.fillOnlySlot(memberWithCredentials("hotels", "key-1"), memberWithCredentials("cafes", "key-2"))
	w.arriveWithCredential("r1", "key-1")
	cafes := memberWithCredentials("cafes", "key-2", "key-1")
	cafes.Rank = &rank
	w.declare([]declaration.Member{memberWithCredentials("hotels"), cafes}, singleSlotServer()...)
	w.endAttempt(first, completed)
	if d := w.singleDispatch(); d.Member != "cafes" || d.Rank != rank {
		t.Errorf("runs for %q at rank %d", d.Member, d.Rank)
	}
}

// Guards against a request that is decoded after its credential was revoked during the prefill.
func TestPrefilledRequestOfARevokedCredentialIsNotDecoded(t *testing.T) {
	w := newDeadlineHarness(t)
	members := []declaration.Member{memberWithCredentials("hotels", "key-1")}
	w.declare(members, withPrefillEngines(2, 1)...)
	w.arriveWithDeadline("r1", func(a *RequestArrived) {
		a.Credential, a.MembersOnly = "key-1", true
		a.Work.PromptTokens, a.Work.EngineSpeed.KVTransferRate = 17000, 2e6
	})
	d := w.singleDispatch()
	w.declare(nil, withPrefillEngines(2, 1)...)
	w.step(PrefillDone{RequestID: "r1", Attempt: d.Attempt})
	if at := effectsOf[DecodeAt](w.effects); len(at) > 0 {
		t.Errorf("decodes at %+v", at)
	}
	if r := w.singleRefusal(); r.Status != http.StatusUnauthorized {
		t.Errorf("refused with %+v", r)
	}
}

// Guards against a retry after a server failure under a credential that was revoked in the
// meantime. The request may have run, and the refusal must not say that it has not.
func TestRetryOfARevokedCredentialIsRefusedTruthfully(t *testing.T) {
	w := newDeadlineHarness(t)
	w.declare([]declaration.Member{memberWithCredentials("hotels", "key-1")}, serving(2)...)
	w.arriveWithDeadline("r1", func(a *RequestArrived) { a.Credential, a.MembersOnly, a.Retry = "key-1", true, RetryAllowed })
	d := w.singleDispatch()
	w.declare(nil, serving(2)...)
	w.endAttempt(d, func(ev *AttemptEnded) { ev.Outcome = outcome.Ran })
	if n := len(effectsOf[Dispatch](w.effects)); n != 0 {
		t.Errorf("sent %d more times", n)
	}
	if r := w.singleRefusal(); r.Outcome != outcome.Unknown {
		t.Errorf("refused with %+v", r)
	}
}

// Guards against revoked credentials that become valid again with an older view of control.
func TestOlderViewDoesNotBringACredentialBack(t *testing.T) {
	w := newDeadlineHarness(t)
	w.declare([]declaration.Member{memberWithCredentials("hotels", "key-1")}, serving(1)...)
	w.declare([]declaration.Member{memberWithCredentials("hotels", "key-2")}, serving(1)...)
	w.version = 0
	w.declare([]declaration.Member{memberWithCredentials("hotels", "key-1")}, serving(1)...)
	w.arriveWithCredential("r1", "key-1")
	if r := w.singleRefusal(); r.Status != http.StatusUnauthorized {
		t.Errorf("refused with %+v", r)
	}
}

// Guards against an entry without contact to control that, although strict, serves credentials
// that may have been revoked.
func TestStrictEntryServesNoCredentialsWithoutControl(t *testing.T) {
	for _, strict := range []bool{true, false} {
		w := newDeadlineHarness(t)
		w.r.cfg.Credentials = CredentialLimits{Strict: strict, ConfirmedWithin: 5 * time.Second}
		w.declare([]declaration.Member{memberWithCredentials("hotels", "key-1")}, serving(1)...)
		w.advance(6 * time.Second)
		w.step(ServerReported{Server: "engine-0", Incarnation: "life-1", State: "serving"})
		w.arriveWithCredential("r1", "key-1")
		if refused := len(effectsOf[Refuse](w.effects)) == 1; refused != strict {
			t.Errorf("strict %v: refused %v", strict, refused)
		}
	}
}
