package consensus

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Role is what a replica is in its term.
type Role int

const (
	follower Role = iota
	// preCandidate asks whether it could win before it raises its term.
	preCandidate
	candidate
	leader
)

// String gives the role's name for logs.
func (r Role) String() string {
	switch r {
	case follower:
		return "follower"
	case preCandidate:
		return "pre-candidate"
	case candidate:
		return "candidate"
	case leader:
		return "leader"
	}
	return fmt.Sprintf("role(%d)", int(r))
}

const maxInt = math.MaxInt

// Node is one replica's consensus reducer. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	identity *pb.ReplicaIdentity
	random   *rand.Rand

	now     time.Duration
	effects []Effect

	term uint64
	vote uint64
	log  *entryLog
	// members is the membership history that the log holds.
	members   memberHistory
	persist   persistence
	formation formation

	role   Role
	leader uint64
	// started is false until the first Step, which gives the time of the start.
	started bool
	// heardAt is when this replica last heard the leader of its term, or its
	// start: then it may have answered a leader just before, in its last life.
	heardAt          time.Duration
	electionDeadline time.Duration
	votes            map[uint64]bool

	lead     leadership
	incoming snapshotReceiver
	// snapshot is the latest snapshot, for replicas that are far behind.
	snapshot        *pb.SnapshotMeta
	snapshotData    []byte
	snapshotAskedAt uint64

	removed   bool
	announced LeaderChanged
	// announcedList is the index of the committed member list last told.
	announcedList uint64
}

// NewNode rebuilds a replica from what its store recovered.
func NewNode(cfg Config, init InitialState) *Node {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg: cfg, identity: init.Identity,
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		log:      newEntryLog(init),
		term:     init.HardState.GetTerm(),
		vote:     init.HardState.GetVote(),
		snapshot: init.Snapshot, snapshotData: init.SnapshotData,
	}
	n.members = newMemberHistory(init)
	n.formation = newFormation(init)
	n.persist.syncedTerm = n.term
	return n
}

// Step takes one event at the given time since boot, which never runs backwards,
// and returns what the host must do, in order.
func (n *Node) Step(now time.Duration, ev Event) []Effect {
	n.effects = nil
	n.now = max(n.now, now)
	if !n.started {
		n.start()
	}
	if n.removed {
		return nil
	}
	n.dispatch(ev)
	n.applyCommitted()
	n.announce()
	n.flush()
	return n.effects
}

func (n *Node) start() {
	n.started = true
	n.heardAt = n.now
	if n.term == 0 {
		// A replica that was never in any term can't have answered a leader.
		n.heardAt = n.now - n.cfg.ElectionTimeout
	}
	n.resetElectionDeadline()
	n.emitMembers()
}

func (n *Node) dispatch(ev Event) {
	switch e := ev.(type) {
	case Tick:
		n.onTick()
	case Receive:
		n.onReceive(e)
	case Propose:
		n.onPropose(e)
	case ProposeMembership:
		n.onProposeMembership(e)
	case ReadIndex:
		n.onReadIndex(e)
	case Persisted:
		n.onPersisted(e)
	case SnapshotTaken:
		n.onSnapshotTaken(e)
	case SnapshotRestored:
		n.onSnapshotRestored(e)
	case TransferLeadership:
		n.onTransferLeadership()
	case RemovedByPeer:
		n.onRemoved()
	case Applied:
		// The Apply effects are carried out in order, so the node's own cursor
		// is enough.
	}
}

func (n *Node) onTick() {
	n.driveFormation()
	if n.role == leader {
		n.leaderTick()
		return
	}
	if n.now >= n.electionDeadline {
		n.startPreVote()
	}
}

func (n *Node) onReceive(e Receive) {
	m := e.Message
	if m == nil || m.From == 0 || m.To != n.cfg.ID {
		return
	}
	if n.onHello(m, e.Incarnation) {
		return
	}
	if m.Term > n.term && !n.onHigherTerm(m) {
		return
	}
	if m.Term < n.term {
		n.onLowerTerm(m)
		return
	}
	n.onMessage(m, e.Incarnation)
}

// onMessage handles a message of the own term, or a pre-vote for a later one.
func (n *Node) onMessage(m *pb.Message, incarnation string) {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.onPreVote(m)
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE:
		n.onPreVoteResponse(m)
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		n.onVote(m)
	case pb.MessageKind_MESSAGE_KIND_VOTE_RESPONSE:
		n.onVoteResponse(m)
	case pb.MessageKind_MESSAGE_KIND_APPEND,
		pb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.onLeaderMessage(m)
	case pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE,
		pb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE,
		pb.MessageKind_MESSAGE_KIND_SNAPSHOT_RESPONSE:
		n.onFollowerMessage(m, incarnation)
	case pb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		n.onTimeoutNow(m)
	}
}

// becomeFollower enters a term, zero leader meaning that it is unknown.
func (n *Node) becomeFollower(term, leaderID uint64) {
	if n.role == leader {
		n.endLeadership()
	}
	if term > n.term {
		n.term, n.vote = term, 0
		n.persist.hardDirty = true
	}
	n.role, n.leader, n.votes = follower, leaderID, nil
	n.resetElectionDeadline()
}

func (n *Node) applyCommitted() {
	last := min(n.log.commit, n.log.stable)
	if n.incoming.restoring() || last <= n.log.applied {
		return
	}
	entries := n.log.slice(n.log.applied+1, last, maxInt)
	n.log.applied = last
	n.emit(Apply{Entries: entries})
	n.onAppliedMembership(entries)
	n.maybeAskSnapshot()
}

// announce tells of a newly committed member list, and of a change of term,
// leader or readiness, once.
func (n *Node) announce() {
	if n.members.at(n.log.commit).index != n.announcedList {
		n.emitMembers()
	}
	now := LeaderChanged{Term: n.term, Leader: n.leader, LeaderReady: n.ready()}
	if now != n.announced {
		n.announced = now
		n.emit(now)
	}
}

// ready tells whether this replica leads and an entry of its term is committed
// and applied: only then is everything that earlier leaders committed known.
func (n *Node) ready() bool {
	if n.role != leader {
		return false
	}
	term, ok := n.log.term(n.log.applied)
	return ok && term == n.term
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) send(m *pb.Message) { n.emit(Send{Message: m}) }

// message starts a message of the current term.
func (n *Node) message(kind pb.MessageKind, to uint64) *pb.Message {
	return &pb.Message{Kind: kind, From: n.cfg.ID, To: to, Term: n.term}
}

func (n *Node) onRemoved() {
	if n.role == leader {
		n.endLeadership()
	}
	n.role, n.leader, n.removed = follower, 0, true
	n.emit(Removed{})
}

func cloneMembership(m *pb.Membership) *pb.Membership {
	if m == nil {
		return &pb.Membership{}
	}
	return proto.Clone(m).(*pb.Membership)
}
