package control

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
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
			switch e := eff.(type) {
			case DutyCall:
				calls = append(calls, e)
			case UsageProgress:
				h.addProgress(e)
			}
		}
	}
	return calls
}

func (h *harness) addProgress(p UsageProgress) {
	h.progress.Decided += p.Decided
	h.progress.Reported += p.Reported
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

// usageAnswer returns what operators are told about usage.
func (h *harness) usageAnswer() *pb.UsageResponse {
	h.t.Helper()
	return call[*pb.UsageResponse](h, &pb.UsageRequest{ClusterId: cluster})
}

// answerUsage answers the calls for one window with a result and a reason; all other windows
// are taken.
func (h *harness) answerUsage(calls []DutyCall, window int64, result DutyResult, reason string) {
	for _, c := range calls {
		answer := DutyAnswered{Duty: c.Duty, Subject: c.Subject, Result: DutyAccepted}
		if c.Usage.GetWindow() == window {
			answer.Result, answer.Reason = result, reason
		}
		h.step(answer)
	}
}

// Guards against operators who are not told that a window is not reported, or why, and
// against an answer that can't be sent because an error's text is not UTF-8.
func TestUsageAnswerShowsUnreportedWindows(t *testing.T) {
	h := newUsageHarness(t)
	if a := h.usageAnswer(); !a.GetConfigured() || a.GetLeader() != 1 || a.GetHolder() != "control-1" || a.GetTerm() != 1 ||
		a.GetLastDecided() != nil || len(a.GetUnreported()) != 0 {
		t.Errorf("before the first window: %v", a)
	}
	h.answerUsage(h.advanceDuties(6*time.Second), 0, "", "")
	window := h.window()
	h.reportUsage("a", window, 5, window)
	var failed int
	for range 60 {
		calls := h.advanceDuties(200 * time.Millisecond)
		if usageReported(calls, window) != nil {
			failed++
		}
		h.answerUsage(calls, window, DutyBusy, "Too Many \xff Requests")
	}
	if failed < 2 {
		t.Fatalf("%d calls for the window", failed)
	}
	start := window * usageTestWindow.Milliseconds()
	want := &pb.UsageResponse{
		Configured: true, WindowMs: 5000, ReportDelayMs: 10000, Leader: 1, Holder: "control-1", Term: 1,
		LastDecided: &pb.UsageSpan{Window: h.Reducer.state.usage.decided},
		Unreported: []*pb.UsageReport{{
			Span:    &pb.UsageSpan{Window: window, StartUnixMs: start, EndUnixMs: start + 5000},
			Members: 1, Requests: 5, Tries: uint32(failed), Result: "busy", Reason: "Too Many \uFFFD Requests",
		}},
	}
	want.LastDecided.StartUnixMs = want.LastDecided.Window * usageTestWindow.Milliseconds()
	want.LastDecided.EndUnixMs = want.LastDecided.StartUnixMs + 5000
	if got := h.usageAnswer(); !proto.Equal(got, want) {
		t.Errorf("after failed calls:\n got %v\nwant %v", got, want)
	}
	var calls []DutyCall
	for usageReported(calls, window) == nil {
		calls = h.advanceDuties(200 * time.Millisecond)
	}
	if got := h.usageAnswer().GetUnreported(); len(got) == 0 || !got[0].GetCalling() || got[0].GetTries() != uint32(failed) {
		t.Errorf("while a call is in flight: %v", got)
	}
	h.answerUsage(calls, window, DutyAccepted, "OK")
	if got := h.usageAnswer(); len(got.GetUnreported()) != 0 || got.GetLastDecided().GetWindow() < window {
		t.Errorf("after the report was taken: %v", got)
	}
}

// Guards against a new leader that shows the calls of the leader before it as its own, and
// against a replica that answers though it does not lead.
func TestUsageAnswerIsOfTheLeader(t *testing.T) {
	h := newUsageHarness(t)
	h.answerUsage(h.advanceDuties(6*time.Second), 0, "", "")
	window := h.window()
	h.reportUsage("a", window, 5, window)
	h.answerUsage(h.advanceDuties(12*time.Second), window, DutyFenced, "Conflict")
	before := h.usageAnswer()
	if got := before.GetUnreported(); !before.GetFenced() || len(got) == 0 || got[0].GetResult() != "fenced" || got[0].GetTries() != 1 {
		t.Errorf("answer of a fenced leader: %v", before)
	}
	h.stepDown(2)
	id := h.send(&pb.UsageRequest{ClusterId: cluster})
	if got := h.replies[id]; got.Err == nil {
		t.Errorf("a replica that does not lead answered %v", got)
	}
	h.becomeLeader(3)
	after := h.usageAnswer()
	if got := after.GetUnreported(); after.GetFenced() || after.GetTerm() != 3 || len(got) != len(before.GetUnreported()) ||
		got[0].GetSpan().GetWindow() != window || got[0].GetRequests() != 5 || got[0].GetTries() != 0 || got[0].GetResult() != "" {
		t.Errorf("answer of the next leader: %v", after)
	}
}

// Guards against a deployment without usage accounting that looks like one that reports, and
// against times computed from a window length that is not configured.
func TestUsageAnswerWithoutAccounting(t *testing.T) {
	h := newHarness(t)
	h.Reducer.state.usage.apply(&pb.UsageUpdate{Decided: []*pb.UsageWindow{{Window: 4}}})
	want := &pb.UsageResponse{
		Leader: 1, Term: 1, LastDecided: &pb.UsageSpan{Window: 4},
		Unreported: []*pb.UsageReport{{Span: &pb.UsageSpan{Window: 4}}},
	}
	if got := h.usageAnswer(); !proto.Equal(got, want) {
		t.Errorf("answered %v, want %v", got, want)
	}
}

// Guards against metrics that count a window before it is committed, count one twice whose
// report was accepted twice, or count it again at the next leader.
func TestUsageProgressCountsEachWindowOnce(t *testing.T) {
	h := newUsageHarness(t)
	h.answerUsage(h.advanceDuties(6*time.Second), 0, "", "")
	if want := (UsageProgress{Decided: 1, Reported: 1}); h.progress != want {
		t.Errorf("after the first window: %+v, want %+v", h.progress, want)
	}
	var calls []DutyCall
	for len(calls) == 0 {
		calls = h.advanceDuties(200 * time.Millisecond)
	}
	h.node.commitsBlocked = true
	h.answerDuty(calls[0], DutyAccepted)
	for again := h.advanceDuties(time.Second); len(again) > 0; again = nil {
		h.answerDuty(again[0], DutyAccepted)
	}
	if want := (UsageProgress{Decided: 2, Reported: 1}); h.progress != want || h.node.index < 2 {
		t.Errorf("before the commit: %+v, want %+v", h.progress, want)
	}
	cmd := &pb.Command{Op: &pb.Command_Usage{Usage: &pb.UsageUpdate{Taken: []int64{calls[0].Usage.GetWindow()}}}}
	data, err := proto.Marshal(cmd)
	if err != nil {
		t.Fatal(err)
	}
	for _, index := range []uint64{h.node.index - 1, h.node.index} {
		h.emitOnTick(consensus.Apply{Entries: []*pb.LogEntry{{Term: 1, Index: index, Data: data}}})
	}
	if want := (UsageProgress{Decided: 2, Reported: 2}); h.progress != want || len(h.usageAnswer().GetUnreported()) > 0 {
		t.Errorf("after the commit of two acceptances: %+v, want %+v", h.progress, want)
	}
	h.node.commitsBlocked = false
	h.stepDown(2)
	h.becomeLeader(3)
	if want := (UsageProgress{Decided: 2, Reported: 2}); h.progress != want {
		t.Errorf("at the next leader: %+v, want %+v", h.progress, want)
	}
}

// Guards against an alert on missing reports that stays silent, and against one by a replica
// that does not lead and whose state may be old.
func TestOldestUnreportedUsageIsOfTheLeader(t *testing.T) {
	h := newUsageHarness(t)
	if age := h.OldestUnreportedUsage(); age != 0 {
		t.Errorf("before the first window: %v", age)
	}
	first := h.window()
	h.advanceDuties(20 * time.Second)
	if age, want := h.OldestUnreportedUsage(), 15*time.Second; age < want-100*time.Millisecond || age > want {
		t.Errorf("%v after window %d ended: %v", want, first, age)
	}
	h.stepDown(2)
	if age := h.OldestUnreportedUsage(); age != 0 {
		t.Errorf("at a replica that does not lead: %v", age)
	}
}
