package control

import (
	"log/slog"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/incarnation"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Announce carries an announcement that a backend server sent to control directly instead
// of through an entry. It is answered with a ReportResponse: after the commit if it changes
// the replicated state, at once otherwise.
type Announce struct {
	ID           uint64
	Announcement *pb.Announcement
	// Sequence increases with each announcement of one server incarnation.
	Sequence uint64
	// Relayed is set if another replica took the announcement and forwarded it.
	Relayed bool
}

// Leave is the final message of one server incarnation: the server accepts no new work. It
// is answered in the same way as Announce.
type Leave struct {
	ID          uint64
	Incarnation string
}

func (Announce) isEvent() {}
func (Leave) isEvent()    {}

// finalSequence is the sequence number of a Leave: no announcement of that incarnation
// supersedes it.
const finalSequence = math.MaxUint64

// onAnnounce handles an announcement that a server sent directly.
//
// Failure: a server reports that it is leaving and gets its answer, and the leader dies
// before the next leader knows. The server relies on the answer and stops while entries
// still send it requests. So the answer waits for the commit.
func (r *Reducer) onAnnounce(e Announce) {
	if r.lead == nil {
		r.reply(e.ID, nil, r.notLeader())
		return
	}
	info := e.Announcement.GetServer()
	if info.GetId() == "" || info.GetIncarnation() == "" || info.GetAddress() == "" {
		r.reply(e.ID, nil, invalid("the announcement lacks id, incarnation or address"))
		return
	}
	r.lead.lastContactAt = r.now
	source := announcementSource{via: "server", sequence: e.Sequence}
	if e.Relayed {
		source.via = "replica"
	}
	r.onDirectAnnouncement(e.ID, e.Announcement, source)
}

func (r *Reducer) onLeave(e Leave) {
	if r.lead == nil {
		r.reply(e.ID, nil, r.notLeader())
		return
	}
	known := r.latestRecord(e.Incarnation)
	if known == nil {
		r.log(slog.LevelInfo, "unknown backend server is leaving", Field{"incarnation", e.Incarnation})
		r.recordDeparted(e.Incarnation, r.answerReport(e.ID))
		return
	}
	info := proto.CloneOf(known)
	info.Left = true
	if info.State != pb.ServerState_SERVER_STATE_GONE {
		info.State = pb.ServerState_SERVER_STATE_LEAVING
	}
	r.onDirectAnnouncement(e.ID, &pb.Announcement{Server: info}, announcementSource{via: "leave", sequence: finalSequence})
}

// announcementSource is where the leader has an announcement from.
type announcementSource struct {
	// via is "server", "replica", "leave" or the name of an entry.
	via string
	// sequence is that of the announcement; zero from entries, which have none.
	sequence uint64
}

// direct reports whether the server sent the announcement to a control replica itself.
func (s announcementSource) direct() bool { return s.sequence > 0 }

func (s announcementSource) fields() []Field {
	return []Field{{"via", s.via}, {"sequence", s.sequence}}
}

// onDirectAnnouncement ignores an announcement that a later one of the same incarnation has
// overtaken: a delayed "serving" would route requests to a server that is leaving.
func (r *Reducer) onDirectAnnouncement(callID uint64, a *pb.Announcement, source announcementSource) {
	if !r.believed(a, source) {
		r.onDoubted(a.GetServer(), source, r.answerReport(callID))
		return
	}
	t := r.lead.servers[a.GetServer().GetId()]
	if t != nil && sameVoice(r.holder(a.GetServer().GetId()), a.GetServer(), source) && r.overtaken(t, a.GetServer(), source) {
		r.logDropped("a later one was accepted", a.GetServer(), source)
		r.reply(callID, &pb.ReportResponse{}, nil)
		return
	}
	r.onAnnouncement(source, a)
	r.onReportedRole(a.GetServer())
	t = r.lead.servers[a.GetServer().GetId()]
	if t == nil || t.incarnation != a.GetServer().GetIncarnation() {
		// The incarnation has been replaced, so there is no commit to wait for.
		r.reply(callID, &pb.ReportResponse{}, nil)
		return
	}
	t.sequence = source.sequence
	if t.proposed == nil {
		r.reply(callID, &pb.ReportResponse{}, nil)
		return
	}
	t.waiting = append(t.waiting, callID)
}

// answerReport returns a function that answers a call once its outcome is known.
func (r *Reducer) answerReport(callID uint64) func(ok bool, err error) {
	return func(ok bool, err error) {
		if err != nil {
			r.reply(callID, nil, err)
			return
		}
		r.replyApplied(callID, &pb.ReportResponse{}, ok)
	}
}

// logDropped logs that an announcement changes nothing, with the reason.
func (r *Reducer) logDropped(reason string, info *pb.BackendServer, source announcementSource) {
	fields := append(source.fields(), Field{"server", info.GetId()}, Field{"incarnation", info.GetIncarnation()},
		Field{"state", info.GetState().String()}, Field{"reason", reason})
	r.log(slog.LevelInfo, "announcement dropped", fields...)
}

// answerWaitingCalls answers the server's calls that wait for its registration.
func (r *Reducer) answerWaitingCalls(t *trackedServer, ok bool) {
	for _, id := range t.waiting {
		r.replyApplied(id, &pb.ReportResponse{}, ok)
	}
	t.waiting = nil
}

// failWaitingCalls answers all of these calls with an error when a leadership ends.
func (r *Reducer) failWaitingCalls(l *leadership) {
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		r.answerWaitingCalls(l.servers[id], false)
	}
}

// latestRecord returns the server with that incarnation as it will be once all proposals are
// committed, or nil.
//
// Failure: a Leave arrives while the server's first announcement is being committed. If it
// counted as that of an unknown server, the commit would make the server serve although its
// Leave was confirmed.
func (r *Reducer) latestRecord(incarnationID string) *pb.BackendServer {
	for _, id := range slices.Sorted(maps.Keys(r.lead.servers)) {
		proposed := r.lead.servers[id].proposed
		if proposed != nil && incarnation.Matches(incarnationID, proposed.GetIncarnation()) {
			return proposed
		}
	}
	return r.state.byIncarnation(incarnationID).recorded()
}

// byIncarnation returns the server with that incarnation, or nil.
func (s *State) byIncarnation(incarnationID string) *server {
	for _, sv := range s.sortedServers() {
		if incarnation.Matches(incarnationID, sv.info.GetIncarnation()) {
			return sv
		}
	}
	return nil
}
