package entry

import (
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// announceAt lets the server announce itself and gives the reports that follow
// within the pace of heartbeats.
func (w *world) announceAt(state engineapi.State, runningOrder string) []Report {
	w.renew()
	s := testServer(0, pb.ServerState_SERVER_STATE_SERVING)
	w.step(Announced{Announcement: engineapi.Announcement{
		ID: s.Id, Incarnation: s.Incarnation, Address: s.Address, Kind: engineapi.KindModel,
		State: state, RunningOrder: runningOrder,
	}})
	reports := pick[Report](w.effects)
	w.after(reportInterval)
	return append(reports, pick[Report](w.step(Tick{}))...)
}

// taken lets control answer the reports.
func (w *world) taken(reports []Report, tellInFull ...string) {
	for _, r := range reports {
		w.step(ReportAnswered{Request: r.Request, ResendInFull: tellInFull})
	}
}

func one(t *testing.T, reports []Report) *pb.ReportRequest {
	t.Helper()
	if len(reports) != 1 {
		t.Fatalf("%d reports, want 1", len(reports))
	}
	return reports[0].Request
}

func TestWhatControlKnowsGoesAsAHeartbeat(t *testing.T) {
	w := newWorld(t)
	w.view(serving(1)...)
	first := w.announceAt(engineapi.StateServing, "")
	if req := one(t, first); len(req.Announcements) != 1 || len(req.Heartbeats) != 0 {
		t.Fatalf("first word not told in full: %v", req)
	}
	w.taken(first)
	if req := one(t, w.announceAt(engineapi.StateServing, "")); len(req.Announcements) != 0 || len(req.Heartbeats) != 1 {
		t.Fatalf("known word not told as a heartbeat: %v", req)
	}
	if req := one(t, w.announceAt(engineapi.StateLeaving, "")); len(req.Announcements) != 1 {
		t.Fatalf("leaving not told in full: %v", req)
	}
}

// An engine finishes an order and says so; the report is lost, or control's
// leader changes right after. Were only heartbeats sent from then on, the order
// would stay unresolved and the engine out of use.
func TestLostWordIsToldInFullAgain(t *testing.T) {
	for name, lose := range map[string]func(*world, []Report){
		"report lost":     func(w *world, list []Report) { w.step(ReportFailed{Request: list[0].Request}) },
		"answer not seen": func(*world, []Report) {},
		"new leader":      func(w *world, list []Report) { w.taken(list, "engine-0") },
	} {
		w := newWorld(t)
		w.view(serving(1)...)
		lose(w, w.announceAt(engineapi.StateServing, ""))
		if req := one(t, w.announceAt(engineapi.StateServing, "")); len(req.Announcements) != 1 {
			t.Errorf("%s: not told in full again: %v", name, req)
		}
	}
}
