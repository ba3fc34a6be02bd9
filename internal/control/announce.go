package control

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/incarnation"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Announce is a backend server's own word, told to control with no entry
// between. It is answered with a ReportResponse once what it changes is
// committed, at once if it changes nothing.
type Announce struct {
	ID           uint64
	Announcement *pb.Announcement
	// Sequence grows from word to word of one life of the server.
	Sequence uint64
}

// Leave is the last word of one life of a backend server: it takes no more new
// work. It is answered as Announce is.
type Leave struct {
	ID          uint64
	Incarnation string
}

func (Announce) isEvent() {}
func (Leave) isEvent()    {}

// lastSequence is that of a last word: nothing of that life comes after it.
const lastSequence = math.MaxUint64

// onAnnounce takes a server's own word.
//
// Failure: a server says that it leaves and is answered, and the leader dies
// before the next one knows. The server, sure of being known to leave, stops
// while entries still send it work. So the answer waits for the commit.
func (r *Reducer) onAnnounce(e Announce) {
	if r.lead == nil {
		r.reply(e.ID, nil, r.notLeader())
		return
	}
	told := e.Announcement.GetServer()
	if told.GetId() == "" || told.GetIncarnation() == "" || told.GetAddress() == "" {
		r.reply(e.ID, nil, invalid("the announcement lacks id, incarnation or address"))
		return
	}
	r.lead.heardAt = r.now
	r.takeWord(e.ID, e.Announcement, e.Sequence)
}

func (r *Reducer) onLeave(e Leave) {
	if r.lead == nil {
		r.reply(e.ID, nil, r.notLeader())
		return
	}
	sv := r.state.byIncarnation(e.Incarnation)
	if sv == nil {
		r.log(slog.LevelInfo, "unknown backend server leaves", Field{"incarnation", e.Incarnation})
		r.lead.noteLeft(r.now, e.Incarnation)
		r.reply(e.ID, &pb.ReportResponse{}, nil)
		return
	}
	told := proto.CloneOf(sv.told)
	if told.State != pb.ServerState_SERVER_STATE_GONE {
		told.State = pb.ServerState_SERVER_STATE_LEAVING
	}
	r.takeWord(e.ID, &pb.Announcement{Server: told}, lastSequence)
}

// takeWord drops a word that a later one of the same life has overtaken: a late
// "serving" would put work on a server that leaves.
func (r *Reducer) takeWord(callID uint64, a *pb.Announcement, sequence uint64) {
	if _, left := r.lead.left[a.GetServer().GetIncarnation()]; left {
		r.log(slog.LevelInfo, "announcement of a server that has left dropped",
			Field{"server", a.GetServer().GetId()}, Field{"incarnation", a.GetServer().GetIncarnation()})
		r.reply(callID, &pb.ReportResponse{}, nil)
		return
	}
	w := r.lead.servers[a.GetServer().GetId()]
	sameLife := w != nil && w.incarnation == a.GetServer().GetIncarnation()
	if sameLife && sequence < w.sequence {
		r.reply(callID, &pb.ReportResponse{}, nil)
		return
	}
	r.onAnnouncement("", a)
	r.onReportedRole(a.GetServer())
	w = r.lead.servers[a.GetServer().GetId()]
	if w == nil || w.incarnation != a.GetServer().GetIncarnation() {
		// Of a life that was replaced: there is nothing to wait for.
		r.reply(callID, &pb.ReportResponse{}, nil)
		return
	}
	w.sequence = sequence
	if w.proposed == nil {
		r.reply(callID, &pb.ReportResponse{}, nil)
		return
	}
	w.waiting = append(w.waiting, callID)
}

const (
	// leftKept is how long a life that left unheard is remembered: announcements that
	// were held up arrive some seconds late.
	leftKept = 30 * time.Second
	// maxLeft bounds them: calls with made-up ids can't fill memory.
	maxLeft = 1024
)

// noteLeft remembers a life that left before it was heard of.
//
// Failure: a server starts and is told to go at once. Its last word overtakes its first
// announcement, is confirmed, and the announcement then registers it as serving: requests
// go to a server that counts on getting none.
func (l *leadership) noteLeft(now time.Duration, life string) {
	if len(l.left) < maxLeft {
		l.left[life] = now
	}
}

// sweepLeft forgets lives that left long ago.
func (l *leadership) sweepLeft(now time.Duration) {
	for life, at := range l.left {
		if now-at >= leftKept {
			delete(l.left, life)
		}
	}
}

// answerWaiting answers the server's calls that wait for its registration.
func (r *Reducer) answerWaiting(w *serverWatch, ok bool) {
	for _, id := range w.waiting {
		r.replyApplied(id, &pb.ReportResponse{}, ok)
	}
	w.waiting = nil
}

// failWaiting answers all such calls at the end of a leadership.
func (r *Reducer) failWaiting(l *leadership) {
	for _, id := range slices.Sorted(maps.Keys(l.servers)) {
		r.answerWaiting(l.servers[id], false)
	}
}

// byIncarnation finds the server in that life, or nil.
func (s *State) byIncarnation(life string) *server {
	for _, sv := range s.sortedServers() {
		if incarnation.Matches(life, sv.told.GetIncarnation()) {
			return sv
		}
	}
	return nil
}
