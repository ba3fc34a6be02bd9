package control

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const usageTestWindow = 5 * time.Second

// newUsageHarness returns a leader that accounts for the usage of a declared member.
func newUsageHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.cfg.Duties = DutiesConfig{
		Usage: UsageConfig{Window: usageTestWindow, ReportDelay: 10 * time.Second}, Lease: 3 * time.Second, Holder: "control-1",
	}
	d := &declaration.Declaration{
		Revision: 1, Profiles: []declaration.Profile{{Name: "p", Class: declaration.ClassUrgent}},
		Members: []declaration.Member{{Name: "hotels", Weight: 1, CredentialsSHA256: []string{}}},
	}
	h.Reducer.state.applyDeclaration(d.ToProto(), true)
	return h
}

func (h *harness) window() int64 { return h.usageWindow(h.wall()) }

// reportUsage reports an entry's counts of a member; complete is the window before which
// its counts are complete.
func (h *harness) reportUsage(entry string, window int64, requests uint64, complete int64) {
	h.nextID++
	h.step(Call{ID: h.nextID, Request: &pb.ReportRequest{
		ClusterId: cluster, Entry: &pb.EntryIdentity{Name: entry, Incarnation: "life-1"}, UsageComplete: complete,
		Usage: []*pb.UsageWindow{{Window: window, Counts: []*pb.UsageCount{{Member: "hotels", Requests: requests}}}},
	}})
}

// advanceDuties advances the clock and returns the external calls that are made.
func (h *harness) advanceDuties(d time.Duration) []DutyCall {
	var calls []DutyCall
	for until := h.clock + d; h.clock < until; h.clock += 50 * time.Millisecond {
		for _, eff := range h.Step(h.clock, Tick{WallMS: startMS + (h.clock - time.Hour).Milliseconds()}) {
			if c, ok := eff.(DutyCall); ok {
				calls = append(calls, c)
			}
		}
	}
	return calls
}

func (h *harness) answerDuty(c DutyCall, result DutyResult) {
	h.step(DutyAnswered{Duty: c.Duty, Subject: c.Subject, Result: result})
}

func usageReported(calls []DutyCall, window int64) *pb.UsageWindow {
	for _, c := range calls {
		if c.Usage.GetWindow() == window {
			return c.Usage
		}
	}
	return nil
}

// Guards against usage that is counted twice or not at all when reports are repeated, late,
// or from several entries.
func TestUsageOfAWindowIsSummedOnce(t *testing.T) {
	h := newUsageHarness(t)
	h.advanceDuties(6 * time.Second)
	now := h.window()
	h.reportUsage("a", now, 3, now)
	h.reportUsage("a", now, 5, now)
	h.reportUsage("a", now, 4, now)
	h.reportUsage("b", now, 2, now)
	got := usageReported(h.advanceDuties(12*time.Second), now)
	if len(got.GetCounts()) != 1 || got.GetCounts()[0].GetRequests() != 7 {
		t.Errorf("reported %v, want 7 requests of hotels", got)
	}
}

// Guards against a window that is reported with two different contents, by one leader or by
// two.
func TestDecidedUsageNeverChanges(t *testing.T) {
	h := newUsageHarness(t)
	h.advanceDuties(6 * time.Second)
	now := h.window()
	h.reportUsage("a", now, 5, now)
	var first *pb.UsageWindow
	for _, c := range h.advanceDuties(14 * time.Second) {
		if c.Usage.GetWindow() == now {
			first = c.Usage
		}
		h.answerDuty(c, DutyUnanswered)
	}
	h.reportUsage("b", now, 9, now+4)
	h.stepDown(2)
	h.becomeLeader(3)
	h.reportUsage("b", now, 9, now+4)
	again := usageReported(h.advanceDuties(8*time.Second), now)
	if first == nil || again == nil || again.GetCounts()[0].GetRequests() != first.GetCounts()[0].GetRequests() {
		t.Errorf("reported %v, then %v", first, again)
	}
}

// Guards against a new holder that calls while a call of the previous one may be in flight,
// and against a holder that continues after another one with a higher token was seen.
func TestNewDutyHolderWaitsAndFencedOneStops(t *testing.T) {
	h := newUsageHarness(t)
	h.advanceDuties(20 * time.Second)
	h.stepDown(2)
	h.becomeLeader(3)
	if calls := h.advanceDuties(2900 * time.Millisecond); len(calls) > 0 {
		t.Errorf("%d calls within the lease of the previous holder", len(calls))
	}
	calls := h.advanceDuties(time.Second)
	if len(calls) == 0 || calls[0].Token != 3 || calls[0].Holder != "control-1" {
		t.Fatalf("calls %+v", calls)
	}
	for _, c := range calls {
		h.answerDuty(c, DutyFenced)
	}
	if calls := h.advanceDuties(10 * time.Second); len(calls) > 0 {
		t.Errorf("%d calls after another holder fenced this one", len(calls))
	}
}

// Guards against reports that stop, or that exceed the platform's rate limit, while the
// platform does not answer.
func TestUsageIsReportedAfterAnOutage(t *testing.T) {
	h := newUsageHarness(t)
	calls := 0
	for range 200 {
		for _, c := range h.advanceDuties(200 * time.Millisecond) {
			calls++
			h.answerDuty(c, DutyBusy)
		}
	}
	if calls > 120 {
		t.Errorf("%d calls in 40 s of outage", calls)
	}
	for range 50 {
		for _, c := range h.advanceDuties(200 * time.Millisecond) {
			h.answerDuty(c, DutyAccepted)
		}
	}
	if n := len(h.Reducer.state.usage.pending); n > 1 {
		t.Errorf("%d windows are still pending", n)
	}
}

// Guards against decided usage that is lost, or decided again, by a replica that starts
// from a snapshot.
func TestSnapshotKeepsDecidedUsage(t *testing.T) {
	s := NewState()
	s.usage.apply(&pb.UsageUpdate{Decided: []*pb.UsageWindow{{Window: 4}, {Window: 5}}, Taken: []int64{4}})
	restored, err := RestoreState(s.Snapshot())
	if err != nil || restored.usage.decided != 5 || len(restored.usage.pending) != 1 {
		t.Errorf("restored %+v, %v", restored, err)
	}
	restored.usage.apply(&pb.UsageUpdate{Decided: []*pb.UsageWindow{{Window: 5, Counts: []*pb.UsageCount{{Member: "x"}}}}})
	if len(restored.usage.pending) != 1 || len(restored.usage.pending[0].GetCounts()) > 0 {
		t.Error("a decided window was decided again")
	}
}
