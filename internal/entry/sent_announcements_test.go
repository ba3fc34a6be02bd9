package entry

import (
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// announceState lets the server announce itself and returns the reports that follow within the
// report interval.
func (w *harness) announceState(state engineapi.State, runningOrder string) []Report {
	w.renew()
	s := testServer(0, pb.ServerState_SERVER_STATE_SERVING)
	w.step(Announced{Announcement: engineapi.Announcement{
		ID: s.Id, Incarnation: s.Incarnation, Address: s.Address, Kind: engineapi.KindModel,
		State: state, RunningOrder: runningOrder,
	}})
	reports := effectsOf[Report](w.effects)
	w.advance(reportInterval)
	return append(reports, effectsOf[Report](w.step(Tick{}))...)
}

// answerReports lets control answer the reports.
func (w *harness) answerReports(reports []Report, resendInFull ...string) {
	for _, r := range reports {
		w.step(ReportAnswered{Request: r.Request, ResendInFull: resendInFull})
	}
}

func singleReport(t *testing.T, reports []Report) *pb.ReportRequest {
	t.Helper()
	if len(reports) != 1 {
		t.Fatalf("%d reports, want 1", len(reports))
	}
	return reports[0].Request
}

func TestUnchangedAnnouncementIsSentAsHeartbeat(t *testing.T) {
	w := newHarness(t)
	w.view(serving(1)...)
	first := w.announceState(engineapi.StateServing, "")
	if req := singleReport(t, first); len(req.Announcements) != 1 || len(req.Heartbeats) != 0 {
		t.Fatalf("first announcement not reported in full: %v", req)
	}
	w.answerReports(first)
	if req := singleReport(t, w.announceState(engineapi.StateServing, "")); len(req.Announcements) != 0 || len(req.Heartbeats) != 1 {
		t.Fatalf("known announcement not reported as a heartbeat: %v", req)
	}
	if req := singleReport(t, w.announceState(engineapi.StateLeaving, "")); len(req.Announcements) != 1 {
		t.Fatalf("leaving not reported in full: %v", req)
	}
}

// Guards against an order that stays unresolved, with its engine out of use, because only
// heartbeats follow. An engine reports an order as finished, and the report is lost or control's
// leader changes right afterwards.
func TestLostAnnouncementIsSentInFullAgain(t *testing.T) {
	for name, loseReport := range map[string]func(*harness, []Report){
		"report lost":     func(w *harness, list []Report) { w.step(ReportFailed{Request: list[0].Request}) },
		"answer not seen": func(*harness, []Report) {},
		"new leader":      func(w *harness, list []Report) { w.answerReports(list, "engine-0") },
	} {
		w := newHarness(t)
		w.view(serving(1)...)
		loseReport(w, w.announceState(engineapi.StateServing, ""))
		if req := singleReport(t, w.announceState(engineapi.StateServing, "")); len(req.Announcements) != 1 {
			t.Errorf("%s: not reported in full again: %v", name, req)
		}
	}
}
