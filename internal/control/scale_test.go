package control

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// newScaleHarness returns a leader with engines of a service that declares autoscaling.
func newScaleHarness(t *testing.T, engines int, roles declaration.Roles) *harness {
	h := newHarness(t)
	h.cfg.Duties = DutiesConfig{OrderServers: true, Lease: 3 * time.Second, Holder: "control-1"}
	d := &declaration.Declaration{
		Revision: 1, Profiles: []declaration.Profile{{Name: "p", Class: declaration.ClassUrgent}},
		Models: []declaration.Model{{Name: "m", Version: declaration.AnyVersion}}, Roles: roles,
		Services: []declaration.Service{{Name: "lm", Kind: declaration.KindModel, Model: "m", Scale: &declaration.Scale{
			Min: 1, Max: 60, BootTime: 4 * time.Second, SpotPrice: 0.25,
		}}},
	}
	h.Reducer.state.applyDeclaration(d.ToProto(), true)
	for i := range engines {
		h.engine(fmt.Sprintf("engine-%02d", i))
	}
	return h
}

func (h *harness) scaleOrders(d time.Duration) []ScaleOrder {
	var list []ScaleOrder
	for until := h.clock + d; h.clock < until; {
		for _, c := range h.advanceDuties(200 * time.Millisecond) {
			list = append(list, c.Scale)
			h.answerDuty(c, DutyAccepted)
		}
		h.poll()
	}
	return list
}

// Guards against a new leader that takes the servers that remain after a failure for the
// target size.
func TestNewLeaderKeepsScaleTarget(t *testing.T) {
	h := newScaleHarness(t, 10, declaration.Roles{MaxUnavailable: 1})
	h.advance(4 * time.Second)
	if n := len(h.Reducer.state.scale); n != 1 {
		t.Fatalf("%d scale targets, want 1", n)
	}
	restored, err := RestoreState(h.Reducer.state.Snapshot())
	if err != nil || restored.scale[scaleKey{"lm", ""}].GetEngines() != 10 {
		t.Fatalf("restored %v, %v", restored.scale, err)
	}
	h.repeatedAnnouncements = h.repeatedAnnouncements[:4]
	h.advance(8 * time.Second)
	h.stepDown(2)
	h.becomeLeader(3)
	ordered := 0
	for _, o := range h.scaleOrders(6 * time.Second) {
		if !o.Spot {
			ordered = max(ordered, o.Servers)
		}
	}
	if ordered != 10 {
		t.Errorf("%d servers are ordered at most, want 10", ordered)
	}
}

// Guards against a fleet that starts the day in arbitrary roles because only few engines
// may change at once, and against half of the fleet changing while there is demand.
func TestIdleFleetMayChangeAllRoles(t *testing.T) {
	for _, loaded := range []bool{false, true} {
		h := newScaleHarness(t, 12, declaration.Roles{MaxUnavailable: 100, MaxUnavailableUnderLoad: 2, PrefillShare: 0.67, EnginesSelfDrain: true})
		for range 8 {
			if loaded {
				h.send(&pb.ReportRequest{ClusterId: cluster, Entry: entryIdentity("e1", "1"), Demand: []*pb.Demand{{Model: "m", PrefillTokens: 1000}}})
			}
			h.advance(500 * time.Millisecond)
		}
		changing := h.Reducer.state.changingEngines("m")
		if loaded && changing > 2 || !loaded && changing != 8 {
			t.Errorf("loaded %v: %d engines change at once", loaded, changing)
		}
	}
}

// Guards against role changes of thousands of engines before any demand, each of which is
// sent to hundreds of entries and leaves control no time for other work.
func TestRoleChangesAreBoundedByEntryCount(t *testing.T) {
	h := newScaleHarness(t, 60, declaration.Roles{MaxUnavailable: 1000, MaxUnavailableUnderLoad: 2, PrefillShare: 0.67, EnginesSelfDrain: true})
	for i := range 200 {
		name := fmt.Sprint("e", i)
		h.Reducer.state.entries[name] = &entry{info: &pb.EntryInfo{Identity: entryIdentity(name, "1")}}
	}
	h.advance(5 * time.Second)
	if changing := h.Reducer.state.changingEngines("m"); changing > maxChangeNotifications/200 {
		t.Errorf("%d engines change at once, each is sent to %d entries", changing, len(h.Reducer.state.entries))
	}
}
