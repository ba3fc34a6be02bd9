package control

import (
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const usageTestWindow = 5 * time.Second

// usageWorld is a leader that accounts for usage of a declared member.
func usageWorld(t *testing.T) *world {
	w := newWorld(t)
	w.cfg.Duties = DutiesConfig{
		Usage: UsageConfig{Window: usageTestWindow, ReportDelay: 10 * time.Second}, Lease: 3 * time.Second, Holder: "control-1",
	}
	d := &declaration.Declaration{
		Revision: 1, Profiles: []declaration.Profile{{Name: "p", Class: declaration.ClassUrgent}},
		Members: []declaration.Member{{Name: "hotels", Weight: 1, CredentialsSHA256: []string{}}},
	}
	w.Reducer.state.applyDeclaration(d.ToProto(), true)
	return w
}

func (w *world) window() int64 { return w.usageWindow(w.wall()) }

// counted reports an entry's counts of a member; complete is the window that it counts in now.
func (w *world) counted(entry string, window int64, requests uint64, complete int64) {
	w.nextID++
	w.step(Call{ID: w.nextID, Request: &pb.ReportRequest{
		ClusterId: cluster, Entry: &pb.EntryIdentity{Name: entry, Incarnation: "life-1"}, UsageComplete: complete,
		Usage: []*pb.UsageWindow{{Window: window, Counts: []*pb.UsageCount{{Member: "hotels", Requests: requests}}}},
	}})
}

// dutiesFor lets time pass and gives the calls that are made.
func (w *world) dutiesFor(d time.Duration) []DutyCall {
	var calls []DutyCall
	for until := w.clock + d; w.clock < until; w.clock += 50 * time.Millisecond {
		for _, eff := range w.Step(w.clock, Tick{WallMS: startMS + (w.clock - time.Hour).Milliseconds()}) {
			if c, ok := eff.(DutyCall); ok {
				calls = append(calls, c)
			}
		}
	}
	return calls
}

func (w *world) dutyAnswered(c DutyCall, result DutyResult) {
	w.step(DutyAnswered{Duty: c.Duty, Subject: c.Subject, Result: result})
}

func reportOf(calls []DutyCall, window int64) *pb.UsageWindow {
	for _, c := range calls {
		if c.Usage.GetWindow() == window {
			return c.Usage
		}
	}
	return nil
}

// Guards against usage that is counted twice or not at all when reports come again, late, or
// from several entries.
func TestUsageOfAWindowIsSummedOnce(t *testing.T) {
	w := usageWorld(t)
	w.dutiesFor(6 * time.Second)
	now := w.window()
	w.counted("a", now, 3, now)
	w.counted("a", now, 5, now)
	w.counted("a", now, 4, now)
	w.counted("b", now, 2, now)
	got := reportOf(w.dutiesFor(12*time.Second), now)
	if len(got.GetCounts()) != 1 || got.GetCounts()[0].GetRequests() != 7 {
		t.Errorf("reported %v, want 7 requests of hotels", got)
	}
}

// Guards against a window that is reported with two contents, by one leader or by two.
func TestDecidedUsageNeverChanges(t *testing.T) {
	w := usageWorld(t)
	w.dutiesFor(6 * time.Second)
	now := w.window()
	w.counted("a", now, 5, now)
	var first *pb.UsageWindow
	for _, c := range w.dutiesFor(14 * time.Second) {
		if c.Usage.GetWindow() == now {
			first = c.Usage
		}
		w.dutyAnswered(c, DutyUnanswered)
	}
	w.counted("b", now, 9, now+4)
	w.follow(2)
	w.lead(3)
	w.counted("b", now, 9, now+4)
	again := reportOf(w.dutiesFor(8*time.Second), now)
	if first == nil || again == nil || again.GetCounts()[0].GetRequests() != first.GetCounts()[0].GetRequests() {
		t.Errorf("reported %v, then %v", first, again)
	}
}

// Guards against a new holder that calls while a call of the one before may be under way, and
// against one that calls on once another has a higher token.
func TestNewHolderWaitsAndAFencedOneStops(t *testing.T) {
	w := usageWorld(t)
	w.dutiesFor(20 * time.Second)
	w.follow(2)
	w.lead(3)
	if calls := w.dutiesFor(2900 * time.Millisecond); len(calls) > 0 {
		t.Errorf("%d calls within the lease of the holder before", len(calls))
	}
	calls := w.dutiesFor(time.Second)
	if len(calls) == 0 || calls[0].Token != 3 || calls[0].Holder != "control-1" {
		t.Fatalf("calls %+v", calls)
	}
	for _, c := range calls {
		w.dutyAnswered(c, DutyFenced)
	}
	if calls := w.dutiesFor(10 * time.Second); len(calls) > 0 {
		t.Errorf("%d calls after another holder was seen", len(calls))
	}
}

// Guards against reports that stop, or fill the platform's allowance, while it does not answer.
func TestUsageIsReportedAfterAnOutage(t *testing.T) {
	w := usageWorld(t)
	made := 0
	for range 200 {
		for _, c := range w.dutiesFor(200 * time.Millisecond) {
			made++
			w.dutyAnswered(c, DutyBusy)
		}
	}
	if made > 120 {
		t.Errorf("%d calls in 40 s of outage", made)
	}
	for range 50 {
		for _, c := range w.dutiesFor(200 * time.Millisecond) {
			w.dutyAnswered(c, DutyAccepted)
		}
	}
	if n := len(w.Reducer.state.usage.pending); n > 1 {
		t.Errorf("%d windows are still to be reported", n)
	}
}

// Guards against decided usage that is lost, or reported anew, by a replica that starts from a
// snapshot.
func TestSnapshotKeepsDecidedUsage(t *testing.T) {
	s := NewState()
	s.usage.apply(&pb.UsageUpdate{Decided: []*pb.UsageWindow{{Window: 4}, {Window: 5}}, Taken: []int64{4}})
	back, err := RestoreState(s.Snapshot())
	if err != nil || back.usage.decided != 5 || len(back.usage.pending) != 1 {
		t.Errorf("restored %+v, %v", back, err)
	}
	back.usage.apply(&pb.UsageUpdate{Decided: []*pb.UsageWindow{{Window: 5, Counts: []*pb.UsageCount{{Member: "x"}}}}})
	if len(back.usage.pending) != 1 || len(back.usage.pending[0].GetCounts()) > 0 {
		t.Error("a decided window was decided again")
	}
}
