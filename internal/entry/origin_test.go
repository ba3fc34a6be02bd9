package entry

import (
	"fmt"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// withVersions returns serving engines with these software versions.
func withVersions(versions ...string) []*pb.BackendServer {
	list := serving(len(versions))
	for i, v := range versions {
		list[i].SoftwareVersion, list[i].Incarnation = v, fmt.Sprintf("life-of-%d", i)
	}
	return list
}

func versionOf(t *testing.T, servers []*pb.BackendServer, id string) string {
	t.Helper()
	for _, s := range servers {
		if s.Id == id {
			return s.SoftwareVersion
		}
	}
	t.Fatalf("no server %q", id)
	return ""
}

// Guards against an answer that goes on at another software version once an event of it has come, and
// against one that is bound to a version before that.
func TestAnswerKeepsToTheVersionOfItsFirstEvent(t *testing.T) {
	for _, begun := range []bool{false, true} {
		w := newDeadlineHarness(t)
		servers := withVersions("v1", "v2", "v2")
		w.view(servers...)
		w.arriveWithDeadline("r1", nil)
		d := w.singleDispatch()
		first := versionOf(t, servers, d.Server)
		if begun {
			w.step(AttemptProgress{RequestID: "r1", Attempt: d.Attempt, Tokens: 1})
		}
		// The other engines of its version have gone.
		for i, s := range servers {
			if s.SoftwareVersion == first && s.Id != d.Server {
				servers[i].State = pb.ServerState_SERVER_STATE_GONE
			}
		}
		w.view(servers...)
		w.endAttempt(d, func(ev *AttemptEnded) { ev.ServerDied, ev.Tokens = true, map[bool]int{true: 1}[begun] })
		for range 20 {
			if len(effectsOf[Dispatch](w.effects))+len(effectsOf[Refuse](w.effects)) > 0 {
				break
			}
			w.advance(second / 10)
			w.renew()
			w.step(Tick{})
		}
		if begun {
			if r := w.singleRefusal(); r.Code != outcome.CodeOriginGone || r.RetryAfter != 0 {
				t.Errorf("refusal %+v", r)
			}
			continue
		}
		if next := w.singleDispatch(); versionOf(t, servers, next.Server) == first {
			t.Errorf("an answer without an event went on at %s only", first)
		}
	}
}

// Guards against a stream that is held until its caller's time has passed although the last engine of
// its version has gone while it waited.
func TestWaitingStreamHearsThatItsVersionHasGone(t *testing.T) {
	w := newDeadlineHarness(t)
	servers := withVersions("v1", "v2")
	w.view(servers...)
	for _, id := range []string{"other-1", "other-2", "other-3", "other-4", "other-5", "other-6", "other-7", "other-8"} {
		w.arriveWithDeadline(id, func(a *RequestArrived) { a.Work.Origin = &decision.Origin{Pool: testModel, Version: "v1"} })
	}
	w.arriveWithDeadline("r1", func(a *RequestArrived) {
		a.Work.Origin, a.Work.Resumed = &decision.Origin{Pool: testModel, Version: "v1"}, true
	})
	if n := len(effectsOf[Dispatch](w.effects)); n != 0 {
		t.Fatalf("a full engine took %d requests", n)
	}
	servers[0].State = pb.ServerState_SERVER_STATE_GONE
	w.view(servers...)
	w.step(Tick{})
	found := false
	for _, r := range effectsOf[Refuse](w.effects) {
		found = found || r.RequestID == "r1" && r.Refusal.Code == outcome.CodeOriginGone
	}
	if !found {
		t.Errorf("effects %v", w.effects)
	}
}

// Guards against streams that are held until their callers' time has passed while all engines of their version are
// leaving after a release, and against ones that are refused while engines are only replaced.
func TestStreamIsRefusedOnceItsVersionIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions []string
		leaving  []int
		gone     bool
	}{
		{"all of its version are leaving, another one stays", []string{"v1", "v1", "v2"}, []int{0, 1}, true},
		{"one of its version stays", []string{"v1", "v1", "v2"}, []int{0}, false},
		{"all engines are leaving", []string{"v1", "v1"}, []int{0, 1}, false},
		{"the other version is leaving as well", []string{"v1", "v2"}, []int{0, 1}, false},
	} {
		w := newDeadlineHarness(t)
		servers := withVersions(c.versions...)
		for _, n := range c.leaving {
			servers[n].State = pb.ServerState_SERVER_STATE_LEAVING
		}
		w.view(servers...)
		w.arriveWithDeadline("r1", func(a *RequestArrived) {
			a.Work.Origin, a.Work.Resumed = &decision.Origin{Pool: testModel, Version: "v1"}, true
		})
		refusals := effectsOf[Refuse](w.effects)
		if gone := len(refusals) == 1 && refusals[0].Refusal.Code == outcome.CodeOriginGone; gone != c.gone {
			t.Errorf("%s: effects %v", c.name, w.effects)
		}
	}
}

// Guards against a KV cache that an engine of one software version hands to one of another.
func TestPrefilledWorkIsDecodedAtItsVersion(t *testing.T) {
	w := newDeadlineHarness(t)
	servers := withPrefillEngines(4, 2)
	for i, v := range []string{"v1", "v2", "v1", "v2", "v1", "v2"} {
		servers[i].SoftwareVersion = v
	}
	w.view(servers...)
	d := w.arriveWithSeparatePrefill("r1")
	if d.Version != d.PrefillVersion {
		t.Fatalf("prefill at %s, decode at %s", d.PrefillVersion, d.Version)
	}
	// The planned engine fills up, so that the other version's engines are cheaper.
	for i, s := range servers {
		if s.SoftwareVersion == d.Version && s.Id == d.Server {
			servers[i].State = pb.ServerState_SERVER_STATE_LEAVING
		}
	}
	w.view(servers...)
	w.step(PrefillDone{RequestID: "r1", Attempt: d.Attempt})
	at := effectsOf[DecodeAt](w.effects)
	if len(at) != 1 || at[0].Version != d.PrefillVersion {
		t.Fatalf("prefilled at %s, decodes at %+v", d.PrefillVersion, at)
	}
}
