package control

import (
	"log/slog"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Node is the interface of the consensus node that the Reducer hosts (consensus.Node).
type Node interface {
	Step(now time.Duration, ev consensus.Event) []consensus.Effect
	// LeaseUntil is when this replica's leader lease ends, as time since boot; zero when it
	// does not lead.
	LeaseUntil() time.Duration
	// Status returns the leader's knowledge of the group.
	Status() consensus.Status
	// IsRemoved reports whether the group has removed that identity.
	IsRemoved(id *pb.ReplicaIdentity) bool
}

// Config configures a Reducer.
type Config struct {
	// Cluster is the cluster id; calls with another id are rejected.
	Cluster string
	// ID is the id of this replica, Address its address, host:port.
	ID      uint64
	Address string
	// Seeds are the addresses of replicas that processes ask first, host:port; see Introduce.
	Seeds []string
	// Sender identifies this process and its incarnation in orders.
	Sender string
	// TargetVoters is the number of voters that the group maintains by itself; 0: only
	// operators change the member list.
	TargetVoters int
	// OrderPause is the longest pause of a control process that must be tolerated for
	// engines that ignore fencing tokens.
	OrderPause time.Duration
	// MaxDeclarationBytes is the size of a declaration above which it is refused, together with the
	// document that it was read from; 0: no limit.
	MaxDeclarationBytes int
	// InForceWithin is the time within which a declaration should be in force at all entries in touch; 0: not checked.
	InForceWithin time.Duration
	// Duties configures the leader's calls to external services.
	Duties DutiesConfig
}

// Reducer is one control replica. It is not safe for concurrent use.
type Reducer struct {
	cfg   Config
	node  Node
	state *State

	now time.Duration
	// wallMS is the wall clock of the last Tick, wallAt the time of that Tick.
	wallMS int64
	wallAt time.Duration

	effects []Effect
	// pendingEffects holds consensus effects that are not carried out yet.
	pendingEffects []consensus.Effect

	term    uint64
	leader  uint64
	members *pb.Membership
	// committed is the latest member list known to be committed.
	committed *pb.Membership
	// lead is the state of a ready leader; nil otherwise.
	lead     *leadership
	standing standing
	// unleasedViews caches the views for entries that ask while this replica does not lead.
	unleasedViews viewCache
	// seeds are Config.Seeds as last changed, heard is the leader that was heard of, and
	// namedLeader is the leader's address as last emitted.
	seeds       []string
	heard       heardLeader
	namedLeader string

	nextID    uint64
	proposals map[uint64]*proposal
	// appended holds the proposals by log index.
	appended map[uint64]*proposal
	reads    map[uint64]func(ok bool)
	// restoring holds the state that a RestoreSnapshot effect is about to put in place.
	restoring *State
}

// proposal is a command or membership change that is being replicated.
type proposal struct {
	index uint64
	term  uint64
	// done receives the command's answer once it is applied; ok is false when it is unknown
	// whether it will ever be applied.
	done func(answer proto.Message, ok bool)
	// refused, if set, is called instead of done when the node refuses the proposal
	// although this replica leads.
	refused func(reason consensus.RefusalReason)
}

// NewReducer returns a replica that starts from state.
func NewReducer(cfg Config, node Node, state *State) *Reducer {
	return &Reducer{
		cfg: cfg, node: node, state: state, seeds: cfg.Seeds, members: &pb.Membership{}, committed: &pb.Membership{},
		proposals: make(map[uint64]*proposal),
		appended:  make(map[uint64]*proposal),
		reads:     make(map[uint64]func(bool)),
	}
}

// Consensus returns the state of the consensus node; the caller must not change it.
func (r *Reducer) Consensus() consensus.Status { return r.node.Status() }

// State returns the replicated state; the caller must not keep it across a Step.
func (r *Reducer) State() *State { return r.state }

// Step handles one event at the given time since boot and returns the effects that the
// runner must perform, in order.
func (r *Reducer) Step(now time.Duration, ev Event) []Effect {
	r.effects = nil
	r.now = max(r.now, now)
	switch e := ev.(type) {
	case Tick:
		r.onTick(e)
	case Consensus:
		r.onConsensus(e.Event)
	case Call:
		r.onCall(e)
	case CallCanceled:
		r.onCallCanceled(e.ID)
	case Announce:
		r.onAnnounce(e)
	case Leave:
		r.onLeave(e)
	case OrderAnswered:
		r.onOrderAnswered(e)
	case AddressChecked:
		r.onAddressChecked(e)
	case OrderUnanswered:
		r.onOrderUnanswered(e)
	case DutyAnswered:
		r.onDutyAnswered(e)
	case QueryRemoved:
		r.reply(e.ID, &pb.StepResponse{Removed: r.node.IsRemoved(e.Identity)}, nil)
	case LeaderFound:
		r.hear(e.Leader, e.Term, e.Replicas)
	case SeedsChanged:
		r.onSeedsChanged(e)
	case Stop:
		r.stepNode(consensus.TransferLeadership{})
	}
	r.finishStep()
	return r.effects
}

// finishStep proposes queued registrations and answers held watches at the end of a step.
func (r *Reducer) finishStep() {
	if r.lead == nil {
		return
	}
	r.flushRegistrations()
	r.answerWatches()
}

func (r *Reducer) onTick(e Tick) {
	r.wallMS, r.wallAt = e.WallMS, r.now
	r.stepNode(consensus.Tick{})
	if r.lead != nil {
		r.leaderTick()
	}
	r.observeStanding()
	if r.leaderAddress() != r.namedLeader {
		r.emitMembers()
	}
}

func (r *Reducer) onConsensus(ev consensus.Event) {
	if _, ok := ev.(consensus.SnapshotRestored); ok && r.restoring != nil {
		r.state, r.restoring = r.restoring, nil
	}
	r.stepNode(ev)
}

// stepNode steps the consensus node and carries out its effects in order; effects of nested
// steps come after them.
func (r *Reducer) stepNode(ev consensus.Event) {
	nested := len(r.pendingEffects) > 0
	r.pendingEffects = append(r.pendingEffects, r.node.Step(r.now, ev)...)
	if nested {
		return
	}
	for len(r.pendingEffects) > 0 {
		// The effect stays in the queue while it is carried out, so that nested steps of
		// the node only append theirs.
		r.onEffect(r.pendingEffects[0])
		r.pendingEffects = r.pendingEffects[1:]
	}
	r.pendingEffects = nil
}

func (r *Reducer) onEffect(eff consensus.Effect) {
	switch e := eff.(type) {
	case consensus.Apply:
		r.onApply(e.Entries)
	case consensus.ProposalAppended:
		r.onAppended(e)
	case consensus.ProposalRefused:
		r.onRefused(e)
	case consensus.ReadReady:
		r.finishRead(e.ID, true)
	case consensus.ReadRefused:
		r.finishRead(e.ID, false)
	case consensus.LeaderChanged:
		r.onLeaderChanged(e)
	case consensus.MembershipChanged:
		r.members, r.committed = e.Membership, e.Committed
		r.unleasedViews.reset()
		if r.lead != nil {
			r.lead.views.reset()
		}
		r.emitMembers()
	case consensus.TakeSnapshot:
		r.onTakeSnapshot(e)
	case consensus.RestoreSnapshot:
		r.onRestoreSnapshot(e)
	default:
		r.emit(ConsensusEffect{Effect: eff})
	}
}

func (r *Reducer) onTakeSnapshot(e consensus.TakeSnapshot) {
	data := r.state.Snapshot()
	consensus.SetSnapshotChecksum(e.Meta, data)
	r.emit(SaveSnapshot{Snapshot: consensus.SnapshotTaken{Meta: e.Meta, Data: data}})
}

func (r *Reducer) onRestoreSnapshot(e consensus.RestoreSnapshot) {
	state, err := RestoreState(e.Data)
	if err != nil {
		r.emit(Fatal{Err: err})
		return
	}
	r.restoring = state
	r.emit(ConsensusEffect{Effect: e})
}

func (r *Reducer) onLeaderChanged(e consensus.LeaderChanged) {
	r.term, r.leader = e.Term, e.Leader
	r.log(slog.LevelInfo, "leader changed",
		Field{"term", e.Term}, Field{"leader", e.Leader}, Field{"leads", e.LeaderReady})
	if r.lead != nil {
		r.endLeadership()
	}
	if e.LeaderReady {
		r.lead = newLeadership(r.now, r.state)
		r.logTakeover()
	}
	r.emitMembers()
}

// logTakeover logs what the new leader knows of servers from the committed state.
func (r *Reducer) logTakeover() {
	states := make(map[string]int)
	for _, sv := range r.state.sortedServers() {
		states[sv.info.GetState().String()]++
	}
	r.log(slog.LevelInfo, "leadership began", Field{"term", r.term}, Field{"applied_index", r.state.index},
		Field{"servers_by_state", states}, Field{"entries", len(r.state.entries)})
}

func (r *Reducer) emitMembers() {
	r.namedLeader = r.leaderAddress()
	r.emit(Members{
		Membership: r.members, Committed: r.committed, Leader: r.leader, IsLeader: r.lead != nil,
		LeaderAddress: r.namedLeader, Replicas: r.heard.replicas,
	})
}

// endLeadership answers all waiting calls with an error: their commands may still be
// applied under the next leader.
func (r *Reducer) endLeadership() {
	lead := r.lead
	r.lead = nil
	for _, w := range lead.watches {
		r.reply(w.callID, nil, r.notLeader())
	}
	r.failWaitingCalls(lead)
	r.failProposals()
}

// notLeader is the error of a replica that can't serve a call, with the reason and its age, and
// the leader's address if it is known.
func (r *Reducer) notLeader() error {
	return twirp.NewError(twirp.Unavailable, "this replica does not lead: "+r.standing.describe(r.now)).
		WithMeta("leader", r.leaderAddress())
}

func (r *Reducer) addressOf(id uint64) string {
	for _, m := range r.members.GetMembers() {
		if m.GetIdentity().GetId() == id {
			return m.GetAddress()
		}
	}
	return ""
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Reducer) reply(id uint64, resp proto.Message, err error) {
	r.emit(Reply{ID: id, Response: resp, Err: err})
}

func (r *Reducer) log(level slog.Level, message string, fields ...Field) {
	r.emit(Log{Level: level, Message: message, Fields: fields})
}

// wall returns the present wall clock in Unix milliseconds.
func (r *Reducer) wall() int64 { return r.wallMS + (r.now - r.wallAt).Milliseconds() }

// hasQuorumLease reports whether the leader lease that a quorum confirmed is still valid.
func (r *Reducer) hasQuorumLease() bool { return r.now < r.node.LeaseUntil() }
