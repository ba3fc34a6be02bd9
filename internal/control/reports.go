package control

import (
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/incarnation"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// onReport handles an entry's report. Server deaths are answered after the commit;
// everything else is repeated in the next report.
func (r *Reducer) onReport(id uint64, req *pb.ReportRequest) {
	if req.GetReplica() == "" || len(req.GetHeartbeats()) > 0 {
		// A report from another replica proves connectivity even where no entry or server
		// exists.
		r.lead.lastContactAt = r.now
	}
	for _, a := range req.GetAnnouncements() {
		r.onRelayedAnnouncement(announcementSource{via: req.GetEntry().GetName()}, a)
	}
	resp := &pb.ReportResponse{TellInFull: r.onHeartbeats(req.GetEntry().GetName(), req.GetHeartbeats()), Term: r.term}
	r.onUsage(req)
	for _, d := range req.GetDemand() {
		r.lead.demand.add(d)
		if d.GetPrefillTokens()+d.GetDecodeTokens() > 0 {
			r.lead.lastDemandAt = r.now
		}
	}
	update := &pb.QuarantineUpdate{
		Deaths: r.uncountedDeaths(req.GetDeaths()), Alive: r.chargedDeaths(req.GetAlive()), Cleared: r.knownSuspects(req.GetCleared()),
	}
	if len(update.Deaths)+len(update.Alive)+len(update.Cleared) == 0 {
		r.reply(id, resp, nil)
		return
	}
	cmd := &pb.Command{Op: &pb.Command_Quarantine{Quarantine: update}}
	r.propose(cmd, func(_ proto.Message, ok bool) {
		r.logDeaths(req.GetEntry().GetName(), update.Deaths, ok)
		r.logTakenBack(req.GetEntry().GetName(), update, ok)
		r.replyApplied(id, resp, ok)
	})
}

// chargedDeaths returns the deaths that some suspect is charged with.
func (r *Reducer) chargedDeaths(list []*pb.ServerDeath) []*pb.ServerDeath {
	return slices.DeleteFunc(slices.Clone(list), func(d *pb.ServerDeath) bool {
		for _, suspect := range r.state.suspects.byKey {
			if slices.Contains(suspect.GetDeaths(), deathKey(d)) {
				return false
			}
		}
		return true
	})
}

// knownSuspects returns the requests that are suspects.
func (r *Reducer) knownSuspects(list []*pb.Quarantine) []*pb.Quarantine {
	return slices.DeleteFunc(slices.Clone(list), func(q *pb.Quarantine) bool {
		return r.state.suspects.byKey[suspectKeyOf(q)] == nil
	})
}

// logTakenBack logs which charges an entry's report has taken back.
func (r *Reducer) logTakenBack(entry string, update *pb.QuarantineUpdate, committed bool) {
	if len(update.GetAlive())+len(update.GetCleared()) == 0 {
		return
	}
	r.log(slog.LevelInfo, "charges of suspects taken back", Field{"via", entry}, Field{"committed", committed},
		Field{"servers_alive", len(update.GetAlive())}, Field{"requests_cleared", len(update.GetCleared())})
}

// logDeaths logs what an entry's report of deaths has changed.
func (r *Reducer) logDeaths(entry string, deaths []*pb.ServerDeath, committed bool) {
	for _, d := range deaths {
		quarantined := 0
		for _, q := range d.GetSuspects() {
			if s := r.state.suspects.byKey[suspectKeyOf(q)]; s.GetVersion() > 0 {
				quarantined++
			}
		}
		r.log(slog.LevelInfo, "backend server's death reported", Field{"server", d.GetServer()},
			Field{"incarnation", d.GetIncarnation()}, Field{"via", entry}, Field{"committed", committed},
			Field{"suspects", len(d.GetSuspects())}, Field{"quarantined", quarantined})
	}
}

// uncountedDeaths drops the deaths that are already counted for all of their suspects, so
// that nine entries' reports of one death produce one command.
func (r *Reducer) uncountedDeaths(list []*pb.ServerDeath) []*pb.ServerDeath {
	return slices.DeleteFunc(slices.Clone(list), func(d *pb.ServerDeath) bool {
		return !slices.ContainsFunc(d.GetSuspects(), func(q *pb.Quarantine) bool {
			return !r.state.deathCounted(d, q)
		})
	})
}

func (s *State) deathCounted(d *pb.ServerDeath, q *pb.Quarantine) bool {
	suspect := s.suspects.byKey[suspectKeyOf(q)]
	return chargedScore(suspect, deathKey(d)) >= reportedScore(q)
}

// onRelayedAnnouncement handles an announcement from an entry, which gets no answer to it.
func (r *Reducer) onRelayedAnnouncement(source announcementSource, a *pb.Announcement) {
	if !r.believed(a, source) {
		r.onDoubted(a.GetServer(), source, func(bool, error) {})
		return
	}
	r.onAnnouncement(source, a)
}

// onAnnouncement renews a server's lease and registers changes.
func (r *Reducer) onAnnouncement(source announcementSource, a *pb.Announcement) {
	info := a.GetServer()
	if info.GetId() == "" || info.GetIncarnation() == "" || info.GetAddress() == "" {
		r.log(slog.LevelWarn, "announcement rejected: id, incarnation or address is missing", Field{"via", source.via})
		return
	}
	if incarnation.Before(info.GetIncarnation(), r.holder(info.GetId()).GetIncarnation()) {
		return
	}
	if r.lead.servers[info.GetId()] == nil && len(r.lead.servers) >= maxServers {
		r.log(slog.LevelError, "announcement rejected: too many backend servers", Field{"server", info.GetId()})
		return
	}
	if r.leftUnknown(info.GetIncarnation()) {
		r.logDropped("the server left before it was known", info, source)
		return
	}
	if r.hasLeft(info) && info.GetState() != pb.ServerState_SERVER_STATE_LEAVING && !info.GetLeft() {
		r.logDropped("the server has left", info, source)
		return
	}
	t := r.trackServer(info, source)
	if olderToken(a.GetOrderToken(), t.token) {
		// The announcement was made before the server carried out its last order.
		return
	}
	t.token, t.fullyAnnounced = a.GetOrderToken(), true
	t.leaseUntil = r.now + serverLease
	t.heard(r.now)
	r.recordLoad(t, a.GetLoad())
	r.registerChanged(t, info, source)
	r.onReportedOrder(info, a.GetOrderId())
}

// onHeartbeats renews the leases of servers that this leader has a full announcement of,
// and returns the servers that must announce in full: those with another incarnation than
// the known one, those that announced only to an earlier leader, and those for whose incarnation two
// writers report.
//
// A heartbeat carries neither state nor order, so that a late one can't undo a newer
// announcement: it only renews the lease.
func (r *Reducer) onHeartbeats(via string, list []*pb.Heartbeat) []string {
	var unknown []string
	for _, h := range list {
		t := r.lead.servers[h.GetServer()]
		if t == nil || !t.fullyAnnounced || t.twoVoices(r.now) || xxhash.Sum64String(t.incarnation) != h.GetIncarnationHash() {
			unknown = append(unknown, h.GetServer())
			r.onRivalHeartbeat(t, h, via)
			continue
		}
		t.leaseUntil = r.now + serverLease
		t.heard(r.now)
		r.recordLoad(t, h.GetLoad())
	}
	return unknown
}

func (r *Reducer) trackServer(info *pb.BackendServer, source announcementSource) *trackedServer {
	known, t := r.holder(info.GetId()), r.lead.servers[info.GetId()]
	if t != nil && (known == nil || sameVoice(known, info, source)) && t.incarnation == info.GetIncarnation() {
		return t
	}
	if t == nil || t.incarnation != info.GetIncarnation() {
		if t != nil {
			r.answerWaitingCalls(t, true)
		}
		next := &trackedServer{incarnation: info.GetIncarnation(), firstSeenAt: r.now}
		if t != nil {
			next.ended, next.checkedAt = t.ended, t.checkedAt
		}
		t = next
		r.lead.servers[info.GetId()] = t
	}
	if known != nil {
		t.replace(known)
		r.checkReplacement(t, known, info)
	}
	return t
}

// recordLoad keeps the newest load. Entries relay the same figures with different delays,
// so a load that was measured earlier does not replace a newer one.
func (r *Reducer) recordLoad(t *trackedServer, load *pb.Load) {
	at := r.now - time.Duration(load.GetAgeMs())*time.Millisecond
	if load == nil || at < t.loadMeasuredAt {
		return
	}
	t.load, t.loadMeasuredAt = load, at
}

// hasLeft reports whether this incarnation has said that it leaves: by the committed state or
// by what is being committed.
//
// Failure: a server's leaving is confirmed, and an announcement that it sent before arrives
// seconds later, perhaps at the next leader or through a slower entry. It would make the
// server serve again, and requests would reach a server that relies on getting none. No
// incarnation serves again after its leaving, so nothing needs to be known of the order in
// which announcements were sent.
func (r *Reducer) hasLeft(info *pb.BackendServer) bool {
	if sv := r.state.servers[info.GetId()]; sv != nil && sv.hasLeft(info.GetIncarnation()) {
		return true
	}
	t := r.lead.servers[info.GetId()]
	return t != nil && t.proposed.GetIncarnation() == info.GetIncarnation() && t.proposed.GetLeft()
}

// registerChanged registers a server if a property has changed that is part of the
// replicated state. Loads and lease renewals stay out of the log.
//
// Failure: an engine changes its role, and an announcement that it sent before is late and
// reaches the next leader, which would put the old role into force. So the record contains
// the sequence of the announcement that changed it; older ones are dropped.
func (r *Reducer) registerChanged(t *trackedServer, info *pb.BackendServer, source announcementSource) {
	info = proto.CloneOf(info)
	info.Drained, info.ChecksFencing = false, false
	info.Left = info.GetLeft() || info.GetState() == pb.ServerState_SERVER_STATE_LEAVING
	known := r.state.servers[info.GetId()].recorded()
	if sameExceptSequence(info, known) || sameExceptSequence(info, t.proposed) {
		return
	}
	info.Sequence = max(source.sequence, t.sequence)
	r.register(t, info)
	r.logChanged(info, source)
}

// sameExceptSequence compares info with a record and gives it the record's sequence.
func sameExceptSequence(info, recorded *pb.BackendServer) bool {
	info.Sequence = recorded.GetSequence()
	return recorded != nil && proto.Equal(info, recorded)
}

// logChanged logs what a server changes to, and the committed record that it replaces.
func (r *Reducer) logChanged(info *pb.BackendServer, source announcementSource) {
	known := r.state.servers[info.GetId()].recorded()
	fields := append([]Field{
		{"server", info.GetId()}, {"incarnation", info.GetIncarnation()}, {"state", info.GetState().String()},
		{"role", info.GetRole().String()}, {"model_version", info.GetModelVersion()},
		{"software_version", info.GetSoftwareVersion()},
		{"known_incarnation", known.GetIncarnation()}, {"known_state", known.GetState().String()},
		{"leads_for_ms", (r.now - r.lead.startedAt).Milliseconds()},
	}, source.fields()...)
	r.log(slog.LevelInfo, "backend server changed", fields...)
}

func olderToken(a, b *pb.FencingToken) bool {
	if a.GetTerm() != b.GetTerm() {
		return a.GetTerm() < b.GetTerm()
	}
	return a.GetSequence() < b.GetSequence()
}
