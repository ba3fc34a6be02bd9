package control

import (
	"maps"
	"slices"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// propose appends a command to the log; done receives the answer.
func (r *Reducer) propose(cmd *pb.Command, done func(proto.Message, bool)) {
	r.start(cmd, &proposal{done: done})
}

// start appends a command to the log for a new proposal.
func (r *Reducer) start(cmd *pb.Command, p *proposal) {
	r.nextID++
	cmd.Proposer, cmd.Sequence = r.cfg.ID, r.nextID
	cmd.NowUnixMs = r.wall()
	data, err := proto.Marshal(cmd)
	if err != nil {
		// The command holds a string that is not UTF-8, which can't arrive through an RPC.
		p.done(nil, false)
		return
	}
	r.proposals[r.nextID] = p
	r.stepNode(consensus.Propose{ID: r.nextID, Data: data})
}

// proposeCall proposes a caller's command and answers the call with the result.
func (r *Reducer) proposeCall(callID uint64, cmd *pb.Command) {
	r.propose(cmd, func(answer proto.Message, ok bool) { r.replyApplied(callID, answer, ok) })
}

func (r *Reducer) replyApplied(callID uint64, answer proto.Message, ok bool) {
	if !ok {
		r.reply(callID, nil, r.notLeader())
		return
	}
	r.reply(callID, answer, nil)
}

func (r *Reducer) proposeMembership(callID uint64, change consensus.MembershipChange) {
	r.nextID++
	r.proposals[r.nextID] = &proposal{
		done:    func(answer proto.Message, ok bool) { r.replyApplied(callID, answer, ok) },
		refused: func(reason consensus.RefusalReason) { r.reply(callID, nil, membershipError(reason)) },
	}
	r.stepNode(consensus.ProposeMembership{ID: r.nextID, Change: change})
}

func (r *Reducer) onAppended(e consensus.ProposalAppended) {
	p := r.proposals[e.ID]
	if p == nil {
		return
	}
	delete(r.proposals, e.ID)
	p.index, p.term = e.Index, e.Term
	r.appended[e.Index] = p
}

func (r *Reducer) onRefused(e consensus.ProposalRefused) {
	p := r.proposals[e.ID]
	if p == nil {
		return
	}
	delete(r.proposals, e.ID)
	if p.refused != nil && r.lead != nil {
		p.refused(e.Reason)
		return
	}
	p.done(nil, false)
}

func (r *Reducer) onApply(entries []*pb.LogEntry) {
	for _, e := range entries {
		answer := r.state.Apply(e)
		if e.GetKind() == pb.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP {
			answer = &pb.ChangeReplicaResponse{Index: e.GetIndex()}
		}
		p := r.appended[e.GetIndex()]
		if p == nil {
			continue
		}
		delete(r.appended, e.GetIndex())
		// An entry of another term at this index means that the proposal was lost when its
		// leadership ended, and will never be applied.
		p.done(answer, p.term == e.GetTerm())
	}
	if len(entries) > 0 {
		r.stepNode(consensus.Applied{Index: entries[len(entries)-1].GetIndex()})
	}
}

// failProposals tells all waiting callers that the outcome of their proposals is unknown.
func (r *Reducer) failProposals() {
	for _, id := range slices.Sorted(maps.Keys(r.proposals)) {
		r.proposals[id].done(nil, false)
	}
	for _, index := range slices.Sorted(maps.Keys(r.appended)) {
		r.appended[index].done(nil, false)
	}
	clear(r.proposals)
	clear(r.appended)
}

// read calls done once the state covers everything that was committed before the call.
func (r *Reducer) read(done func(ok bool)) {
	r.nextID++
	r.reads[r.nextID] = done
	r.stepNode(consensus.ReadIndex{ID: r.nextID})
}

func (r *Reducer) finishRead(id uint64, ok bool) {
	done := r.reads[id]
	if done == nil {
		return
	}
	delete(r.reads, id)
	done(ok)
}

// readCall answers a call from the state after a quorum has confirmed this leader.
func (r *Reducer) readCall(callID uint64, answer func() proto.Message) {
	r.read(func(ok bool) {
		if !ok || r.lead == nil {
			r.reply(callID, nil, r.notLeader())
			return
		}
		r.reply(callID, answer(), nil)
	})
}

// membershipError returns the error for a change of the member list that was refused.
func membershipError(reason consensus.RefusalReason) error {
	switch reason {
	case consensus.ChangePending:
		return twirp.NewError(twirp.FailedPrecondition, "another change of the member list is under way; try again")
	case consensus.InvalidChange:
		return invalid("the change names an unknown, present or removed replica")
	}
	return errLogBusy
}

// errLogBusy answers a change that the log has no room for.
var errLogBusy = twirp.NewError(twirp.ResourceExhausted, "the log does not take the change now; try again")

func invalid(message string) error { return twirp.NewError(twirp.InvalidArgument, message) }
