package consensus

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Role is a replica's role in its term.
type Role int

const (
	follower Role = iota
	// preCandidate asks whether it could win an election before it raises its
	// term.
	preCandidate
	candidate
	leader
)

// String returns the role's name for logs.
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

	term     uint64
	votedFor uint64
	log      *entryLog
	// members is the history of member lists in the log.
	members   memberHistory
	persist   persistence
	handshake handshake

	role   Role
	leader uint64
	// started is false until the first Step, which gives the start time.
	started bool
	// lastLeaderContact is when this replica last received a message of the
	// leader of its term. It begins as the start time, since the replica may
	// have answered a leader just before it restarted.
	lastLeaderContact time.Duration
	electionDeadline  time.Duration
	// votes are those of this term, nil unless this replica stands for election in it; preVotes
	// are those of the present campaign.
	votes    map[uint64]bool
	preVotes map[uint64]bool
	// refusedBy are the voters that have refused the present campaign.
	refusedBy map[uint64]bool
	// roundTrip is how long answers to this replica's requests for votes, or to its heartbeats,
	// took of late; zero while it follows a leader.
	roundTrip time.Duration
	// roundTripSentAt is when the request was sent whose answer roundTrip is from, in an election.
	roundTripSentAt time.Duration
	// votesRequestedAt is when this replica last asked for votes or pre-votes, forcedElection whether it
	// did so for a transfer of leadership.
	votesRequestedAt time.Duration
	forcedElection   bool

	leaderState      leaderState
	incomingSnapshot snapshotReceiver
	// snapshot is the latest snapshot. It is sent to replicas that need
	// compacted entries.
	snapshot             *pb.SnapshotMeta
	snapshotData         []byte
	snapshotRequestIndex uint64
	// takingSnapshot is true from TakeSnapshot to SnapshotTaken.
	takingSnapshot bool
	// appliedBytes is the size of the entries applied since the last snapshot was requested.
	appliedBytes int

	removed       bool
	emittedLeader LeaderChanged
	// emittedMembershipIndex is the index of the committed member list last
	// reported.
	emittedMembershipIndex uint64
}

// NewNode rebuilds a replica from what its store recovered.
func NewNode(cfg Config, init InitialState) *Node {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg: cfg, identity: init.Identity,
		random:   rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		log:      newEntryLog(init),
		term:     init.HardState.GetTerm(),
		votedFor: init.HardState.GetVote(),
		snapshot: init.Snapshot, snapshotData: init.SnapshotData,
	}
	n.members = newMemberHistory(init)
	n.handshake = newHandshake(init)
	n.persist.syncedTerm = n.term
	return n
}

// Step handles one event and returns what the host must do, in order. The time is
// that since boot and never decreases.
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
	n.emitChanges()
	n.flush()
	return n.effects
}

func (n *Node) start() {
	n.started = true
	n.lastLeaderContact = n.now
	if n.term == 0 {
		// A replica that was never in any term can't have answered a leader.
		n.lastLeaderContact = n.now - n.cfg.ElectionTimeout
	}
	n.resetElectionDeadline()
	n.emitMembershipChanged()
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
		// Apply effects are carried out in order, so the node's own applied
		// index is enough.
	}
}

func (n *Node) onTick() {
	n.continueHandshake()
	if n.role == leader {
		n.leaderTick()
		return
	}
	n.askAgain()
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

// onMessage handles a message of the current term, or a pre-vote message for the
// next one.
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
		n.onReplicaResponse(m, incarnation)
	case pb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		n.onTimeoutNow(m)
	}
}

// becomeFollower enters a term. A zero leaderID means that the leader is unknown.
func (n *Node) becomeFollower(term, leaderID uint64) {
	if n.role == leader {
		n.resetLeaderState()
	}
	if term > n.term {
		n.term, n.votedFor = term, 0
		n.persist.hardStateDirty = true
	}
	n.role, n.leader, n.votes = follower, leaderID, nil
	if leaderID != 0 {
		n.roundTrip = 0
	}
	n.resetElectionDeadline()
}

func (n *Node) applyCommitted() {
	last := min(n.log.commit, n.log.stable)
	if n.incomingSnapshot.restoring() || last <= n.log.applied {
		return
	}
	entries := n.log.slice(n.log.applied+1, last, maxInt)
	n.log.applied = last
	n.appliedBytes += sizeOf(entries)
	n.emit(Apply{Entries: entries})
	n.onAppliedMembership(entries)
	n.maybeRequestSnapshot()
}

// emitChanges reports a newly committed member list, and a change of term, leader or
// readiness, once each.
func (n *Node) emitChanges() {
	if n.members.at(n.log.commit).index != n.emittedMembershipIndex {
		n.emitMembershipChanged()
	}
	current := LeaderChanged{Term: n.term, Leader: n.leader, LeaderReady: n.ready()}
	if current != n.emittedLeader {
		n.emittedLeader = current
		n.emit(current)
	}
}

// ready reports whether this replica is the leader and an entry of its term is
// committed and applied: only then does it know everything that earlier leaders
// committed.
func (n *Node) ready() bool {
	if n.role != leader {
		return false
	}
	term, ok := n.log.term(n.log.applied)
	return ok && term == n.term
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) send(m *pb.Message) { n.emit(Send{Message: m}) }

// message creates a message of the current term.
func (n *Node) message(kind pb.MessageKind, to uint64) *pb.Message {
	return &pb.Message{Kind: kind, From: n.cfg.ID, To: to, Term: n.term}
}

func (n *Node) onRemoved() {
	if n.role == leader {
		n.resetLeaderState()
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
