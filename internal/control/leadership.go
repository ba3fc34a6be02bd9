package control

import (
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// serverLease is how long a backend server counts as alive after its last announcement.
	// At one announcement a second, four may be lost.
	serverLease = 5 * time.Second
	// entryLease is the same for entries, which send a Watch at least every watchHold.
	entryLease = 5 * time.Second
	// viewLease is how long an entry may route by a view, counted from its request for the
	// view. Two Watch answers may be lost. A server that is leaving gets no new requests
	// from a partitioned entry after this time.
	viewLease = 1500 * time.Millisecond
	// watchHold is the longest time that a Watch is held open. It must leave more than half
	// of viewLease for delivering the answer.
	watchHold = 600 * time.Millisecond
	// isolatedAfter is the silence after which a leader considers itself isolated: if no
	// entry, server or relaying replica reached it, or it did not run, for this long, it
	// does not declare servers GONE.
	isolatedAfter = 2 * time.Second
	// sweepInterval is how often a leader looks for expired leases.
	sweepInterval = 200 * time.Millisecond
	// expireInterval is how often a leader looks for records that are past their retention.
	expireInterval = 10 * time.Second
)

// leadership is the in-memory state of a leader. It is lost with the leadership: the next
// leader begins with full leases.
type leadership struct {
	startedAt time.Duration
	// servers and entries hold leases, by id and by name.
	servers map[string]*trackedServer
	entries map[string]*trackedEntry
	// watches are the held Watch calls, oldest first.
	watches []*heldWatch
	// lastRoundAt is when a new view was last sent to the held watches.
	lastRoundAt time.Duration
	views       viewCache
	inForce     inForce
	// registrations are proposed as one command at the end of the step.
	registrations []*pb.BackendServer
	deliveries    map[string]*delivery
	demand        demandWindow
	// lastDemandAt is when an entry last reported demand, or when this leadership began.
	lastDemandAt time.Duration
	plans        map[string]*modelPlan

	usage  leaderUsage
	duties leaderDuties
	scale  leaderScale

	// joiners are the replicas that wait to be added, by address. membershipChangePending
	// is true while a change of the member list is in progress.
	joiners                 map[string]*joiner
	membershipChangePending bool
	// stoppingAt is when a replica last said that it is about to stop, by id.
	stoppingAt map[uint64]time.Duration
	// recordingReplicas is true while addresses of replicas are being recorded.
	recordingReplicas bool
	// group is the state of the control group as last logged.
	group         groupCondition
	introductions introductions

	// departing counts the calls of incarnations that left unknown, until the commit.
	departing map[string]int

	// lastContactAt is when an entry, a server or a relaying replica last reached this
	// leader. lastSweepAt is when leases were last checked.
	lastContactAt time.Duration
	lastSweepAt   time.Duration
	// lastExpiryCheckAt is when the leader last checked whether to propose an Expire.
	lastExpiryCheckAt time.Duration
}

// trackedServer is the leader's in-memory state of a backend server.
type trackedServer struct {
	leaseUntil  time.Duration
	incarnation string
	// firstSeenAt is when this leader first learned of the incarnation.
	firstSeenAt time.Duration
	// fullyAnnounced is set once this leader has received a full announcement of the
	// incarnation.
	fullyAnnounced bool
	load           *pb.Load
	// loadMeasuredAt is when the load was measured: the time of receipt less the load's
	// age.
	loadMeasuredAt time.Duration
	// token is the newest order token that this incarnation has reported.
	token *pb.FencingToken
	// proposed is the registration that is being replicated. waiting holds the ids of the
	// server's calls that are answered once it is committed.
	proposed *pb.BackendServer
	waiting  []uint64
	// sequence is that of the newest announcement that the server sent to this leader
	// directly, or of the last one that changed its record at an earlier leader.
	sequence uint64
	low      lowReports
	// heardAt is when the incarnation last reported, or when this leadership began.
	heardAt time.Duration
	rival   *rival
	// checkedAt is when the address was last checked, zero for never. ended are incarnations that
	// a check has shown to have ended, at most maxPastIncarnations.
	checkedAt time.Duration
	ended     []string
}

// trackedEntry is the leader's in-memory state of an entry.
type trackedEntry struct {
	leaseUntil  time.Duration
	incarnation string
	// knownVersion is the view version that the entry uses, revision its declaration
	// revision.
	knownVersion uint64
	revision     uint64
	// viewUntil is when the last lease of any view that the entry may still use ends.
	viewUntil time.Duration
	// pastIncarnations are incarnations that were replaced.
	pastIncarnations []string
	proposed         *pb.EntryInfo
}

// newLeadership gives every known server and entry a full lease: the new leader has
// received no reports yet, which says nothing about them.
func newLeadership(now time.Duration, s *State) *leadership {
	l := &leadership{
		startedAt: now, lastContactAt: now, lastDemandAt: now, lastSweepAt: now, lastExpiryCheckAt: now,
		servers:       make(map[string]*trackedServer),
		entries:       make(map[string]*trackedEntry),
		deliveries:    make(map[string]*delivery),
		demand:        newDemandWindow(now),
		plans:         make(map[string]*modelPlan),
		joiners:       make(map[string]*joiner),
		stoppingAt:    make(map[uint64]time.Duration),
		introductions: introductions{askedAt: make(map[string]time.Duration)},
		departing:     make(map[string]int),
		usage:         newLeaderUsage(),
		duties:        newLeaderDuties(),
		scale:         newLeaderScale(),
	}
	for _, sv := range s.sortedServers() {
		l.servers[sv.info.GetId()] = &trackedServer{
			leaseUntil: now + serverLease, incarnation: sv.info.GetIncarnation(), firstSeenAt: now,
			sequence: sv.info.GetSequence(), heardAt: now,
		}
	}
	for _, e := range s.sortedEntries() {
		l.entries[e.info.GetIdentity().GetName()] = &trackedEntry{
			leaseUntil: now + entryLease, viewUntil: now + viewLease, incarnation: incarnationOf(e.info),
			pastIncarnations: e.pastIncarnations,
		}
	}
	return l
}

// leaderTick performs the leader's periodic work.
func (r *Reducer) leaderTick() {
	r.answerExpiredWatches()
	r.followDeclarations()
	r.introduce()
	if r.now < r.lead.lastSweepAt+sweepInterval {
		return
	}
	r.extendLeasesAfterIsolation()
	r.lead.lastSweepAt = r.now
	if !r.hasQuorumLease() {
		return
	}
	r.sweepServers()
	r.sweepEntries()
	r.advanceOrders()
	r.reconcileEngines()
	r.processUsage()
	r.reconcileScale()
	r.proposeExpiry()
	r.recordReplicas()
	r.reconcileMembership()
}

// extendLeasesAfterIsolation renews the lease of every server after the leader was
// isolated.
//
// Failure: the leader's process is paused for some seconds, or the leader is partitioned
// from the entries but not from the other replicas. All server leases expire at once, and
// every server would become GONE although all of them serve. Silence from all entries
// indicates a fault of the leader, not of the servers.
func (r *Reducer) extendLeasesAfterIsolation() {
	isolated := r.now-r.lead.lastContactAt > isolatedAfter || r.now-r.lead.lastSweepAt > isolatedAfter
	if !isolated {
		return
	}
	for _, t := range r.lead.servers {
		t.leaseUntil = max(t.leaseUntil, r.now+serverLease)
	}
}

// sweepServers marks the servers whose lease has expired as GONE.
func (r *Reducer) sweepServers() {
	for _, sv := range r.state.sortedServers() {
		id := sv.info.GetId()
		t := r.lead.servers[id]
		if sv.goneMS != 0 || t == nil || r.now < t.leaseUntil || t.proposed != nil {
			continue
		}
		gone := proto.CloneOf(sv.info)
		gone.State = pb.ServerState_SERVER_STATE_GONE
		r.register(t, gone)
		r.log(slog.LevelWarn, "backend server lease expired",
			Field{"server", id}, Field{"incarnation", gone.GetIncarnation()})
	}
	r.flushRegistrations()
}

// register queues a registration for the command at the end of the step.
func (r *Reducer) register(t *trackedServer, info *pb.BackendServer) {
	t.proposed = info
	r.lead.registrations = append(r.lead.registrations, info)
}

// flushRegistrations proposes the queued registrations as one command.
func (r *Reducer) flushRegistrations() {
	if r.lead == nil || len(r.lead.registrations) == 0 {
		return
	}
	list := r.lead.registrations
	r.lead.registrations = nil
	cmd := &pb.Command{Op: &pb.Command_Register{Register: &pb.RegisterServers{Servers: list}}}
	r.propose(cmd, func(_ proto.Message, ok bool) { r.onRegistered(list, ok) })
}

func (r *Reducer) onRegistered(list []*pb.BackendServer, ok bool) {
	if r.lead == nil {
		return
	}
	for _, info := range list {
		if t := r.lead.servers[info.GetId()]; t != nil && t.proposed == info {
			t.proposed = nil
			r.answerWaitingCalls(t, ok)
		}
	}
}

// sweepEntries removes the entries whose lease has expired.
func (r *Reducer) sweepEntries() {
	var removed []string
	for _, e := range r.state.sortedEntries() {
		name := e.info.GetIdentity().GetName()
		t := r.lead.entries[name]
		if t == nil || r.now < t.leaseUntil || t.proposed != nil {
			continue
		}
		t.proposed = e.info
		removed = append(removed, name)
		r.log(slog.LevelWarn, "entry lease expired", Field{"entry", name})
	}
	if len(removed) == 0 {
		return
	}
	cmd := &pb.Command{Op: &pb.Command_Entry{Entry: &pb.EntryUpdate{Removed: removed}}}
	r.propose(cmd, func(_ proto.Message, ok bool) { r.onEntriesRemoved(removed, ok) })
}

func (r *Reducer) onEntriesRemoved(removed []string, ok bool) {
	if r.lead == nil {
		return
	}
	for _, name := range removed {
		t := r.lead.entries[name]
		if t == nil {
			continue
		}
		t.proposed = nil
		if ok && r.now >= t.leaseUntil {
			delete(r.lead.entries, name)
		}
	}
}

// proposeExpiry proposes an Expire only when a record is past its retention, so that the
// log of an idle group does not grow.
func (r *Reducer) proposeExpiry() {
	if r.now < r.lead.lastExpiryCheckAt+expireInterval {
		return
	}
	r.lead.lastExpiryCheckAt = r.now
	if !r.state.expiryDue(r.wall()) {
		return
	}
	r.propose(&pb.Command{Op: &pb.Command_Expire{Expire: &pb.Expire{}}}, func(proto.Message, bool) {})
}

// expiryDue reports whether an Expire at that time would remove any record.
func (s *State) expiryDue(nowMS int64) bool {
	firstKept := (nowMS - s.limits().IdempotencyWindow.Milliseconds()) / claimBucketWidth.Milliseconds()
	for bucket := range s.claims.buckets {
		if bucket < firstKept {
			return true
		}
	}
	keep := s.limits().QuarantineTime.Milliseconds()
	for _, suspect := range s.suspects.byKey {
		if nowMS >= max(suspect.GetLastUnixMs()+keep, suspect.GetExpiresUnixMs()) {
			return true
		}
	}
	for id, sv := range s.servers {
		if s.serverExpired(id, sv, nowMS) {
			return true
		}
	}
	return s.departed.anyExpired(nowMS)
}
