package entry

import (
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// toldTable knows what control has been told of each server by this entry, so
// that an announcement which says nothing new costs a heartbeat of 60 bytes and
// not 300.
type toldTable struct {
	// states is the last word of each server, told or not.
	states map[string]lifeState
	// full is the last announcement that went out whole, without its load.
	full map[string]*toldAnnouncement
}

type lifeState struct {
	incarnation string
	state       engineapi.State
	order       string
}

type toldAnnouncement struct {
	announcement *pb.Announcement
	// taken is set once control has answered.
	taken bool
}

func newToldTable() toldTable {
	return toldTable{states: make(map[string]lifeState), full: make(map[string]*toldAnnouncement)}
}

// seen tells whether there is room to follow the server.
func (t *toldTable) seen(a engineapi.Announcement) bool {
	_, known := t.states[a.ID]
	return known || len(t.states) < maxEarly
}

// news takes the server's word and tells whether its life, state or order
// differs from the word before.
func (t *toldTable) news(a engineapi.Announcement) bool {
	next := lifeState{a.Incarnation, a.State, a.LastOrder + "/" + a.RunningOrder}
	isNews := t.states[a.ID] != next
	t.states[a.ID] = next
	return isNews
}

// whole tells whether control has taken this announcement, but for its load.
func (t *toldTable) whole(a *pb.Announcement) bool {
	told := t.full[a.GetServer().GetId()]
	return told != nil && told.taken && proto.Equal(told.announcement, withoutLoad(a))
}

func (t *toldTable) sent(a *pb.Announcement) {
	t.full[a.GetServer().GetId()] = &toldAnnouncement{announcement: withoutLoad(a)}
}

// taken notes that control has answered a report, and which servers it must
// have whole: a new leader has heard none of them.
func (t *toldTable) taken(req *pb.ReportRequest, tellInFull []string) {
	for _, a := range req.GetAnnouncements() {
		told := t.full[a.GetServer().GetId()]
		if told != nil && proto.Equal(told.announcement, withoutLoad(a)) {
			told.taken = true
		}
	}
	for _, id := range tellInFull {
		t.forget(id)
	}
}

func (t *toldTable) forget(id string) { delete(t.full, id) }

func withoutLoad(a *pb.Announcement) *pb.Announcement {
	return &pb.Announcement{
		Server: a.GetServer(), OrderId: a.GetOrderId(),
		OrderToken: a.GetOrderToken(), RunningOrderId: a.GetRunningOrderId(),
	}
}

// heartbeatServes tells whether a heartbeat may stand for the announcement: the
// server serves by its own word and by the view's, and carries out no order.
func heartbeatServes(a engineapi.Announcement, shown *pb.BackendServer) bool {
	return shown != nil && shown.GetState() == pb.ServerState_SERVER_STATE_SERVING &&
		a.State == engineapi.StateServing && a.RunningOrder == ""
}
