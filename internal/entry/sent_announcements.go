package entry

import (
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// sentTable records what this entry has reported to control of each server, so that an unchanged
// announcement costs a heartbeat of 60 bytes instead of 300.
type sentTable struct {
	// states is the last announced state of each server, reported or not.
	states map[string]serverState
	// full is the last announcement reported in full, without its load.
	full map[string]*sentAnnouncement
}

type serverState struct {
	incarnation string
	state       engineapi.State
	order       string
}

type sentAnnouncement struct {
	announcement *pb.Announcement
	// acknowledged is set once control has answered.
	acknowledged bool
}

func newSentTable() sentTable {
	return sentTable{states: make(map[string]serverState), full: make(map[string]*sentAnnouncement)}
}

// hasRoom reports whether the server can be tracked.
func (t *sentTable) hasRoom(a engineapi.Announcement) bool {
	_, known := t.states[a.ID]
	return known || len(t.states) < maxPendingServers
}

// observe records the server's announcement and reports whether its incarnation, state or order
// has changed.
func (t *sentTable) observe(a engineapi.Announcement) bool {
	next := serverState{a.Incarnation, a.State, a.LastOrder + "/" + a.RunningOrder}
	changed := t.states[a.ID] != next
	t.states[a.ID] = next
	return changed
}

// controlHas reports whether control has acknowledged this announcement, apart from its load.
func (t *sentTable) controlHas(a *pb.Announcement) bool {
	known := t.full[a.GetServer().GetId()]
	return known != nil && known.acknowledged && proto.Equal(known.announcement, withoutLoad(a))
}

func (t *sentTable) recordSent(a *pb.Announcement) {
	t.full[a.GetServer().GetId()] = &sentAnnouncement{announcement: withoutLoad(a)}
}

// acknowledged records that control has answered a report, and the servers that it needs in full
// again: a new leader has no announcements.
func (t *sentTable) acknowledged(req *pb.ReportRequest, resendInFull []string) {
	for _, a := range req.GetAnnouncements() {
		known := t.full[a.GetServer().GetId()]
		if known != nil && proto.Equal(known.announcement, withoutLoad(a)) {
			known.acknowledged = true
		}
	}
	for _, id := range resendInFull {
		t.forget(id)
	}
}

func (t *sentTable) forget(id string) { delete(t.full, id) }

func withoutLoad(a *pb.Announcement) *pb.Announcement {
	return &pb.Announcement{
		Server: a.GetServer(), OrderId: a.GetOrderId(),
		OrderToken: a.GetOrderToken(), RunningOrderId: a.GetRunningOrderId(),
	}
}

// heartbeatSuffices reports whether a heartbeat may replace the announcement: the server is
// serving by its own report and by the view, and carries out no order.
func heartbeatSuffices(a engineapi.Announcement, inView *pb.BackendServer) bool {
	return inView != nil && inView.GetState() == pb.ServerState_SERVER_STATE_SERVING &&
		a.State == engineapi.StateServing && a.RunningOrder == ""
}
