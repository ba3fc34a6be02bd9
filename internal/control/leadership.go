package control

import (
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// serverLease is how long a backend server counts as alive after its last
	// announcement: four announcements may be lost.
	serverLease = 5 * time.Second
	// entryLease is the same for entries, whose Watch comes at least every
	// watchHold.
	entryLease = 5 * time.Second
	// viewLease is how long an entry may act on a view from when it asked for
	// it. Two Watch answers may be lost; a server that leaves gets no new work
	// from a cut-off entry after it.
	viewLease = 1500 * time.Millisecond
	// watchHold is the longest that a Watch is held. It must leave more than
	// half of viewLease for the way of the answer.
	watchHold = 600 * time.Millisecond
	// deafAfter: a leader that has heard no entry, or has not run, for this
	// long does not believe that the servers are gone.
	deafAfter = 2 * time.Second
	// sweepInterval is how often a leader looks for leases that ran out.
	sweepInterval = 200 * time.Millisecond
	// expireInterval is how often a leader looks for what is past its window.
	expireInterval = 10 * time.Second
)

// leadership is what only a leader keeps. It is lost with it: the next leader
// begins with full leases.
type leadership struct {
	since time.Duration
	// servers and entries hold leases, by id and by name.
	servers map[string]*serverWatch
	entries map[string]*entryWatch
	// watches are the held Watch calls, the oldest first.
	watches []*heldWatch
	// newsAt is when the last round of news answered them.
	newsAt time.Duration
	views  viewCache
	// registrations wait for the end of the step, to go in one command.
	registrations []*pb.BackendServer
	deliveries    map[string]*delivery
	demand        demandWindow
	// offeredAt is when work was last heard to be offered, or when this leader began.
	offeredAt time.Duration
	plans     map[string]*modelPlan

	usage  usageLead
	duties dutyLead
	scale  scaleLead

	// joiners wait to be added, by address; mending is true while a change of the
	// member list is on its way.
	joiners map[string]*joiner
	mending bool

	// left are lives that left before this leader had heard of them, and when.
	left map[string]time.Duration

	// heardAt is when any entry was last heard, sweptAt when leases were last
	// looked at.
	heardAt time.Duration
	sweptAt time.Duration
	// expired is when an Expire was last thought of.
	expired time.Duration
}

// serverWatch is what a leader keeps of a backend server.
type serverWatch struct {
	until       time.Duration
	incarnation string
	// since is when this leader first knew of the life.
	since time.Duration
	// heard is set once this leader has a whole announcement of it.
	heard bool
	load  *pb.Load
	// loadAt is when the load was true: heard, less its age.
	loadAt time.Duration
	// leftAt is when it last said that it leaves.
	leftAt time.Duration
	// token is the newest order token that this incarnation has reported.
	token *pb.FencingToken
	// proposed is the registration that is on its way through the log, waiting
	// the server's own calls that are answered with it.
	proposed *pb.BackendServer
	waiting  []uint64
	// sequence is that of the newest word that the server itself has told here.
	sequence uint64
}

// entryWatch is what a leader keeps of an entry.
type entryWatch struct {
	until       time.Duration
	incarnation string
	// known is the view version that it has in force, revision the
	// declaration's.
	known    uint64
	revision uint64
	// viewUntil bounds the lease of any view that it may still act on.
	viewUntil time.Duration
	// past are incarnations that were replaced.
	past     []string
	proposed *pb.EntryInfo
}

// newLeadership begins with a full lease for all: the new leader has heard
// nobody yet, which tells nothing of them.
func newLeadership(now time.Duration, s *State) *leadership {
	l := &leadership{
		since: now, heardAt: now, offeredAt: now, sweptAt: now, expired: now,
		servers:    make(map[string]*serverWatch),
		entries:    make(map[string]*entryWatch),
		deliveries: make(map[string]*delivery),
		demand:     newDemandWindow(now),
		plans:      make(map[string]*modelPlan),
		joiners:    make(map[string]*joiner),
		left:       make(map[string]time.Duration),
		usage:      newUsageLead(),
		duties:     newDutyLead(),
		scale:      newScaleLead(),
	}
	for _, sv := range s.sortedServers() {
		l.servers[sv.told.GetId()] = &serverWatch{
			until: now + serverLease, incarnation: sv.told.GetIncarnation(), since: now,
		}
	}
	for _, e := range s.sortedEntries() {
		l.entries[e.info.GetIdentity().GetName()] = &entryWatch{
			until: now + entryLease, viewUntil: now + viewLease, incarnation: incarnationOf(e.info),
		}
	}
	return l
}

// leaderTick does what time alone brings about.
func (r *Reducer) leaderTick() {
	r.releaseWatches()
	if r.now < r.lead.sweptAt+sweepInterval {
		return
	}
	r.regrace()
	r.lead.sweptAt = r.now
	if !r.leased() {
		return
	}
	r.sweepServers()
	r.sweepEntries()
	r.lead.sweepLeft(r.now)
	r.driveOrders()
	r.driveRoles()
	r.driveUsage()
	r.driveScale()
	r.driveExpiry()
	r.mend()
}

// regrace gives every server a full lease again after the leader was deaf.
//
// Failure: the leader's process is stopped for some seconds, or it is cut off
// from the entries but not from the other replicas. All server leases run out at
// once, and every server would be GONE though all serve. Silence from everybody
// tells of the leader, not of the servers.
func (r *Reducer) regrace() {
	deaf := r.now-r.lead.heardAt > deafAfter || r.now-r.lead.sweptAt > deafAfter
	if !deaf {
		return
	}
	for _, w := range r.lead.servers {
		w.until = max(w.until, r.now+serverLease)
	}
}

// sweepServers finds the servers whose lease ran out.
func (r *Reducer) sweepServers() {
	for _, sv := range r.state.sortedServers() {
		id := sv.told.GetId()
		w := r.lead.servers[id]
		if sv.goneMS != 0 || w == nil || r.now < w.until || w.proposed != nil {
			continue
		}
		gone := proto.CloneOf(sv.told)
		gone.State = pb.ServerState_SERVER_STATE_GONE
		r.register(w, gone)
		r.log(slog.LevelWarn, "backend server is gone",
			Field{"server", id}, Field{"incarnation", gone.GetIncarnation()})
	}
	r.flushRegistrations()
}

// register queues a registration for the command at the end of the step.
func (r *Reducer) register(w *serverWatch, told *pb.BackendServer) {
	w.proposed = told
	r.lead.registrations = append(r.lead.registrations, told)
}

// flushRegistrations proposes what the step has queued as one command.
func (r *Reducer) flushRegistrations() {
	if r.lead == nil || len(r.lead.registrations) == 0 {
		return
	}
	list := r.lead.registrations
	r.lead.registrations = nil
	cmd := &pb.Command{Op: &pb.Command_Register{Register: &pb.RegisterServers{Servers: list}}}
	r.propose(cmd, func(_ proto.Message, ok bool) { r.registered(list, ok) })
}

func (r *Reducer) registered(list []*pb.BackendServer, ok bool) {
	if r.lead == nil {
		return
	}
	for _, told := range list {
		if w := r.lead.servers[told.GetId()]; w != nil && w.proposed == told {
			w.proposed = nil
			r.answerWaiting(w, ok)
		}
	}
}

// sweepEntries finds the entries whose lease ran out.
func (r *Reducer) sweepEntries() {
	var removed []string
	for _, e := range r.state.sortedEntries() {
		name := e.info.GetIdentity().GetName()
		w := r.lead.entries[name]
		if w == nil || r.now < w.until || w.proposed != nil {
			continue
		}
		w.proposed = e.info
		removed = append(removed, name)
		r.log(slog.LevelWarn, "entry is gone", Field{"entry", name})
	}
	if len(removed) == 0 {
		return
	}
	cmd := &pb.Command{Op: &pb.Command_Entry{Entry: &pb.EntryUpdate{Removed: removed}}}
	r.propose(cmd, func(_ proto.Message, ok bool) { r.entriesRemoved(removed, ok) })
}

func (r *Reducer) entriesRemoved(removed []string, ok bool) {
	if r.lead == nil {
		return
	}
	for _, name := range removed {
		w := r.lead.entries[name]
		if w == nil {
			continue
		}
		w.proposed = nil
		if ok && r.now >= w.until {
			delete(r.lead.entries, name)
		}
	}
}

// driveExpiry proposes Expire when something is past its window, so that an
// idle group's log does not grow.
func (r *Reducer) driveExpiry() {
	if r.now < r.lead.expired+expireInterval {
		return
	}
	r.lead.expired = r.now
	if !r.state.expiryDue(r.wall()) {
		return
	}
	r.propose(&pb.Command{Op: &pb.Command_Expire{Expire: &pb.Expire{}}}, func(proto.Message, bool) {})
}

// expiryDue tells whether an Expire at that time would drop something.
func (s *State) expiryDue(nowMS int64) bool {
	cut := (nowMS - s.limits().OnceWindow.Milliseconds()) / claimBucket.Milliseconds()
	for bucket := range s.claims.buckets {
		if bucket < cut {
			return true
		}
	}
	keep := s.limits().QuarantineTime.Milliseconds()
	for _, sus := range s.suspects.byKey {
		if nowMS >= max(sus.GetLastUnixMs()+keep, sus.GetExpiresUnixMs()) {
			return true
		}
	}
	for id, sv := range s.servers {
		if s.forgettable(id, sv, nowMS) {
			return true
		}
	}
	return false
}
