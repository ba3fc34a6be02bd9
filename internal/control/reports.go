package control

import (
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// leavingSticks is for how long after a server said that it leaves another word
// of the same incarnation counts as late. Entries relay announcements every
// second, so an older "serving" can come after a newer "leaving".
const leavingSticks = 3 * time.Second

// onReport takes in what an entry has learned. Deaths are answered once they
// are committed; all the rest comes again with the next report.
func (r *Reducer) onReport(id uint64, req *pb.ReportRequest) {
	if req.GetReplica() == "" || len(req.GetHeartbeats()) > 0 {
		// Another replica is heard also where neither entries nor servers are.
		r.lead.heardAt = r.now
	}
	for _, a := range req.GetAnnouncements() {
		r.onAnnouncement(req.GetEntry().GetName(), a)
	}
	resp := &pb.ReportResponse{TellInFull: r.onHeartbeats(req.GetHeartbeats()), Term: r.term}
	r.onUsage(req)
	for _, d := range req.GetDemand() {
		r.lead.demand.add(d)
		if d.GetPrefillTokens()+d.GetDecodeTokens() > 0 {
			r.lead.offeredAt = r.now
		}
	}
	deaths := r.newDeaths(req.GetDeaths())
	if len(deaths) == 0 {
		r.reply(id, resp, nil)
		return
	}
	cmd := &pb.Command{Op: &pb.Command_Quarantine{Quarantine: &pb.QuarantineUpdate{Deaths: deaths}}}
	r.propose(cmd, func(_ proto.Message, ok bool) {
		r.replyApplied(id, resp, ok)
	})
}

// newDeaths leaves out deaths that every suspect of theirs is counted for
// already, so that nine entries' reports of one death are one command.
func (r *Reducer) newDeaths(list []*pb.ServerDeath) []*pb.ServerDeath {
	return slices.DeleteFunc(slices.Clone(list), func(d *pb.ServerDeath) bool {
		return !slices.ContainsFunc(d.GetSuspects(), func(q *pb.Quarantine) bool {
			return !r.state.counted(d, q)
		})
	})
}

func (s *State) counted(d *pb.ServerDeath, q *pb.Quarantine) bool {
	sus := s.suspects.byKey[suspectKey{q.GetMember(), q.GetFingerprint()}]
	return slices.Contains(sus.GetDeaths(), d.GetServer()+"/"+d.GetIncarnation())
}

// onAnnouncement renews a server's lease and registers what is new of it.
func (r *Reducer) onAnnouncement(from string, a *pb.Announcement) {
	told := a.GetServer()
	if told.GetId() == "" || told.GetIncarnation() == "" || told.GetAddress() == "" {
		r.log(slog.LevelWarn, "announcement without id, incarnation or address refused", Field{"entry", from})
		return
	}
	if sv := r.state.servers[told.GetId()]; sv != nil && sv.earlier(told.GetIncarnation()) {
		return
	}
	if r.lead.servers[told.GetId()] == nil && len(r.lead.servers) >= maxServers {
		r.log(slog.LevelError, "too many backend servers; announcement refused", Field{"server", told.GetId()})
		return
	}
	w := r.serverWatch(told)
	if olderToken(a.GetOrderToken(), w.token) {
		// It was said before the server carried out its last order.
		return
	}
	w.token, w.heard = a.GetOrderToken(), true
	w.until = r.now + serverLease
	r.noteLoad(w, a.GetLoad())
	if r.lateServing(w, told) {
		return
	}
	r.registerChanged(w, told)
	r.onReportedOrder(told, a.GetOrderId())
}

// onHeartbeats renews the leases of servers that this leader has heard in full,
// and gives those that it has not: another life than the one known, or servers
// that told an earlier leader.
//
// A heartbeat carries neither state nor order, so that it can't take back what
// a server has said since: it only renews.
func (r *Reducer) onHeartbeats(list []*pb.Heartbeat) []string {
	var unknown []string
	for _, h := range list {
		w := r.lead.servers[h.GetServer()]
		if w == nil || !w.heard || xxhash.Sum64String(w.incarnation) != h.GetIncarnationHash() {
			unknown = append(unknown, h.GetServer())
			continue
		}
		w.until = r.now + serverLease
		r.noteLoad(w, h.GetLoad())
	}
	return unknown
}

func (r *Reducer) serverWatch(told *pb.BackendServer) *serverWatch {
	w := r.lead.servers[told.GetId()]
	if w == nil || w.incarnation != told.GetIncarnation() {
		if w != nil {
			r.answerWaiting(w, true)
		}
		w = &serverWatch{incarnation: told.GetIncarnation(), since: r.now}
		r.lead.servers[told.GetId()] = w
	}
	return w
}

// noteLoad keeps the newest load. Entries relay the same figures with different
// lags, so one that was true earlier does not replace a newer one.
func (r *Reducer) noteLoad(w *serverWatch, load *pb.Load) {
	at := r.now - time.Duration(load.GetAgeMs())*time.Millisecond
	if load == nil || at < w.loadAt {
		return
	}
	w.load, w.loadAt = load, at
}

// lateServing tells whether a "serving" was probably said before the "leaving"
// that is known.
//
// Failure: a server says that it leaves; the announcement of the second before,
// relayed by a slower entry, makes it serve again, and it gets new work.
func (r *Reducer) lateServing(w *serverWatch, told *pb.BackendServer) bool {
	if told.GetState() == pb.ServerState_SERVER_STATE_LEAVING {
		w.leftAt = r.now
		return false
	}
	return w.leftAt != 0 && r.now < w.leftAt+leavingSticks
}

// registerChanged registers a server of which something has changed that all
// must know. Loads and lease renewals stay out of the log.
func (r *Reducer) registerChanged(w *serverWatch, told *pb.BackendServer) {
	told = proto.CloneOf(told)
	told.Drained, told.ChecksFencing = false, false
	if known := r.state.servers[told.GetId()]; known != nil && proto.Equal(known.told, told) {
		return
	}
	if w.proposed != nil && proto.Equal(w.proposed, told) {
		return
	}
	r.register(w, told)
	r.log(slog.LevelInfo, "backend server changed", Field{"server", told.GetId()},
		Field{"incarnation", told.GetIncarnation()}, Field{"state", told.GetState().String()},
		Field{"role", told.GetRole().String()}, Field{"model_version", told.GetModelVersion()})
}

func olderToken(a, b *pb.FencingToken) bool {
	if a.GetTerm() != b.GetTerm() {
		return a.GetTerm() < b.GetTerm()
	}
	return a.GetSequence() < b.GetSequence()
}
