package control

import (
	"log/slog"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Node is the consensus node that the Reducer hosts (consensus.Node).
type Node interface {
	Step(now time.Duration, ev consensus.Event) []consensus.Effect
	// LeaseUntil is when this replica's authority as a leader ends, since boot;
	// zero when it does not lead.
	LeaseUntil() time.Duration
	// Status is what the leader knows of the group.
	Status() consensus.Status
	// IsRemoved tells whether the group has removed that identity.
	IsRemoved(id *pb.ReplicaIdentity) bool
}

// Config sets up a Reducer.
type Config struct {
	// Cluster is the cluster id; calls with another one are refused.
	Cluster string
	// ID is this replica's.
	ID uint64
	// Sender names this process and its incarnation in orders.
	Sender string
	// TargetVoters is the number of voters that the group maintains by itself; 0: operators
	// change the member list.
	TargetVoters int
	// OrderPause is the longest pause of a control process that is stated for
	// engines that ignore fencing tokens.
	OrderPause time.Duration
	// Duties says what is done outside of the deployment in its name.
	Duties DutiesConfig
}

// Reducer is one control replica. It is not safe for concurrent use.
type Reducer struct {
	cfg   Config
	node  Node
	state *State

	now time.Duration
	// wallMS is the wall clock that the last Tick carried, wallAt its time.
	wallMS int64
	wallAt time.Duration

	effects []Effect
	// work holds consensus effects that are still to be carried out.
	work []consensus.Effect

	term    uint64
	leader  uint64
	members *pb.Membership
	// committed is the latest member list known to be committed.
	committed *pb.Membership
	// lead is what only a ready leader keeps; nil otherwise.
	lead *leadership

	nextID    uint64
	proposals map[uint64]*proposal
	// appended finds the proposal at a log index.
	appended map[uint64]*proposal
	reads    map[uint64]func(ok bool)
	// restoring holds the state that a RestoreSnapshot effect will put in place.
	restoring *State
}

// proposal is a command or membership change on its way through the log.
type proposal struct {
	index uint64
	term  uint64
	// done gets the command's answer once it is applied; ok is false when it is
	// not known whether it ever will be.
	done func(answer proto.Message, ok bool)
	// refused, if set, is called instead of done when the log does not take it
	// though this replica leads.
	refused func(reason consensus.RefusalReason)
}

// NewReducer gives a replica that starts from state.
func NewReducer(cfg Config, node Node, state *State) *Reducer {
	return &Reducer{
		cfg: cfg, node: node, state: state, members: &pb.Membership{}, committed: &pb.Membership{},
		proposals: make(map[uint64]*proposal),
		appended:  make(map[uint64]*proposal),
		reads:     make(map[uint64]func(bool)),
	}
}

// State gives the replicated state; the caller must not keep it over a Step.
func (r *Reducer) State() *State { return r.state }

// Step takes one event at the given time since boot and returns what the runner
// must do, in order.
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
		r.onCallGone(e.ID)
	case Announce:
		r.onAnnounce(e)
	case Leave:
		r.onLeave(e)
	case OrderAnswered:
		r.onOrderAnswered(e)
	case OrderUnanswered:
		r.onOrderUnanswered(e)
	case DutyAnswered:
		r.onDutyAnswered(e)
	case QueryRemoved:
		r.reply(e.ID, &pb.StepResponse{Removed: r.node.IsRemoved(e.Identity)}, nil)
	case Stop:
		r.stepNode(consensus.TransferLeadership{})
	}
	r.settleStep()
	return r.effects
}

// settleStep does what follows from whatever the step has changed.
func (r *Reducer) settleStep() {
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
}

func (r *Reducer) onConsensus(ev consensus.Event) {
	if _, ok := ev.(consensus.SnapshotRestored); ok && r.restoring != nil {
		r.state, r.restoring = r.restoring, nil
	}
	r.stepNode(ev)
}

// stepNode steps the consensus node and carries out its effects in order; what
// they lead to comes after them.
func (r *Reducer) stepNode(ev consensus.Event) {
	running := len(r.work) > 0
	r.work = append(r.work, r.node.Step(r.now, ev)...)
	if running {
		return
	}
	for len(r.work) > 0 {
		// The effect stays in work while it runs, so that steps of the node
		// that it causes only queue theirs.
		r.onEffect(r.work[0])
		r.work = r.work[1:]
	}
	r.work = nil
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
	}
	r.emitMembers()
}

func (r *Reducer) emitMembers() {
	r.emit(Members{Membership: r.members, Committed: r.committed, Leader: r.leader, IsLeader: r.lead != nil})
}

// endLeadership answers all that wait: what they asked for may still come about,
// under the next leader.
func (r *Reducer) endLeadership() {
	lead := r.lead
	r.lead = nil
	for _, w := range lead.watches {
		r.reply(w.callID, nil, r.notLeader())
	}
	r.failWaiting(lead)
	r.failProposals()
}

// notLeader is the answer of a replica that can't serve a call, with the
// address of the one that can, as far as it is known.
func (r *Reducer) notLeader() error {
	return twirp.NewError(twirp.Unavailable, "this replica does not lead").
		WithMeta("leader", r.addressOf(r.leader))
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

// wall is the wall clock now, in Unix milliseconds.
func (r *Reducer) wall() int64 { return r.wallMS + (r.now - r.wallAt).Milliseconds() }

// leased tells whether a quorum has confirmed just now that no other leads.
func (r *Reducer) leased() bool { return r.now < r.node.LeaseUntil() }
