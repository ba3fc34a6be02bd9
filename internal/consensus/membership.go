package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxRemoved bounds the list of removed identities. One that has dropped off it is still
// no member, so no quorum counts it; it is just not told to stop.
const maxRemoved = 64

// memberHistory holds the member lists that the log brings into force. A list
// counts from when it is appended, committed or not: a quorum of the old list
// and one of the new share a replica, since they differ by one.
type memberHistory struct{ lists []memberList }

type memberList struct {
	index      uint64
	membership *pb.Membership
}

func newMemberHistory(init InitialState) memberHistory {
	base := memberList{membership: cloneMembership(init.Membership)}
	if init.Snapshot != nil {
		base = memberList{index: init.Snapshot.Index, membership: cloneMembership(init.Snapshot.Membership)}
	}
	h := memberHistory{lists: []memberList{base}}
	for _, e := range init.Entries {
		if m, err := decodeMembership(e); err == nil && m != nil && e.Index > base.index {
			h.add(e.Index, m)
		}
	}
	return h
}

// decodeMembership reads a membership entry; nil for other kinds.
func decodeMembership(e *pb.LogEntry) (*pb.Membership, error) {
	if e.GetKind() != pb.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP {
		return nil, nil
	}
	m := &pb.Membership{}
	if err := proto.Unmarshal(e.Data, m); err != nil {
		return nil, err
	}
	return m, checkMembers(m)
}

// checkMembers tells whether a list that comes from elsewhere can be used.
func checkMembers(m *pb.Membership) error {
	for _, member := range m.GetMembers() {
		if member.GetIdentity().GetId() == 0 {
			return IdentityMismatch.New("a member has no id")
		}
	}
	return nil
}

func (h *memberHistory) last() memberList { return h.lists[len(h.lists)-1] }

func (h *memberHistory) current() *pb.Membership { return h.last().membership }

// at gives the list in force at a log index.
func (h *memberHistory) at(index uint64) memberList {
	for i := len(h.lists) - 1; i > 0; i-- {
		if h.lists[i].index <= index {
			return h.lists[i]
		}
	}
	return h.lists[0]
}

func (h *memberHistory) add(index uint64, m *pb.Membership) {
	h.lists = append(h.lists, memberList{index: index, membership: m})
}

// truncate drops the lists from a log index on; true if there were any.
func (h *memberHistory) truncate(from uint64) bool {
	kept := len(h.lists)
	for kept > 1 && h.lists[kept-1].index >= from {
		kept--
	}
	changed := kept < len(h.lists)
	h.lists = h.lists[:kept]
	return changed
}

// compact drops the lists that no index from the given one on needs.
func (h *memberHistory) compact(index uint64) {
	for len(h.lists) > 1 && h.lists[1].index <= index {
		h.lists = h.lists[1:]
	}
}

// pending tells whether the latest list is not committed yet.
func (h *memberHistory) pending(commit uint64) bool { return h.last().index > commit }

func (n *Node) onProposeMembership(e ProposeMembership) {
	if reason := n.refuseChange(); reason != 0 {
		n.emit(ProposalRefused{ID: e.ID, Reason: reason})
		return
	}
	next := cloneMembership(n.members.current())
	if reason := n.change(next, e.Change); reason != 0 {
		n.emit(ProposalRefused{ID: e.ID, Reason: reason})
		return
	}
	entry := n.appendMembership(next)
	n.emit(ProposalAppended{ID: e.ID, Index: entry.Index, Term: entry.Term})
	n.replicateAll()
}

// refuseChange keeps changes one at a time and after an own entry's commit.
//
// Two changes under way can leave two disjoint quorums. So can one of a leader
// that has not committed in its term: a change of an earlier term that it does
// not know may be on a quorum of its own.
func (n *Node) refuseChange() RefusalReason {
	switch {
	case n.role != leader || n.handingOver():
		return NotLeader
	case !n.log.matches(n.log.commit, n.term):
		return NotReady
	case n.members.pending(n.log.commit):
		return ChangePending
	}
	return 0
}

// change edits a member list, or says why the change is refused.
func (n *Node) change(m *pb.Membership, c MembershipChange) RefusalReason {
	if c.Add != nil {
		return addLearner(m, c.Add)
	}
	return n.removeMember(m, c.RemoveID)
}

func addLearner(m *pb.Membership, add *pb.ReplicaMember) RefusalReason {
	id := add.GetIdentity().GetId()
	if id == 0 || add.Address == "" || findMember(m, id) != nil || wasRemoved(m, add.Identity) {
		return InvalidChange
	}
	learner := proto.Clone(add).(*pb.ReplicaMember)
	learner.Role = pb.ReplicaRole_REPLICA_ROLE_LEARNER
	m.Members = append(m.Members, learner)
	return 0
}

// removeMember takes a member off the list. It refuses a removal after which the
// voters that answer now are no quorum: with one replica lost, removing a sound
// one by mistake would end the group for good.
func (n *Node) removeMember(m *pb.Membership, id uint64) RefusalReason {
	member := findMember(m, id)
	if member == nil {
		return InvalidChange
	}
	gone := &pb.ReplicaIdentity{Id: id, Incarnation: n.incarnationOf(member)}
	m.Removed = append(m.Removed, gone)
	m.Removed = m.Removed[max(0, len(m.Removed)-maxRemoved):]
	m.Members = slices.DeleteFunc(m.Members, func(other *pb.ReplicaMember) bool { return other == member })
	voters := voterIDs(m)
	if len(voters) == 0 || n.activeAmong(voters) < quorumSize(len(voters)) {
		return QuorumAtRisk
	}
	return 0
}

// incarnationOf is the member's incarnation as far as it is known here.
func (n *Node) incarnationOf(member *pb.ReplicaMember) string {
	switch pr := n.lead.progress[member.Identity.Id]; {
	case member.Identity.Incarnation != "":
		return member.Identity.Incarnation
	case member.Identity.Id == n.cfg.ID:
		return n.identity.GetIncarnation()
	case pr != nil:
		return pr.incarnation
	}
	return ""
}

// wasRemoved tells whether the group has removed that identity. One that was
// removed before its incarnation was known stands for all of its id.
func wasRemoved(m *pb.Membership, id *pb.ReplicaIdentity) bool {
	for _, gone := range m.GetRemoved() {
		if gone.Id == id.GetId() && (gone.Incarnation == "" || gone.Incarnation == id.GetIncarnation()) {
			return true
		}
	}
	return false
}

// CommittedMembership is the latest member list that is known to be committed.
func (n *Node) CommittedMembership() *pb.Membership { return n.members.at(n.log.commit).membership }

// IsRemoved tells whether the committed member list has removed that identity;
// the host then answers it with StepResponse.removed.
func (n *Node) IsRemoved(id *pb.ReplicaIdentity) bool {
	return wasRemoved(n.CommittedMembership(), id)
}

func (n *Node) appendMembership(m *pb.Membership) *pb.LogEntry {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshal fails on invalid UTF-8 only, which settings and proto refuse.
		panic("consensus: membership: " + err.Error())
	}
	entry := n.appendOwn(pb.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP, data)
	n.members.add(entry.Index, m)
	n.membersChanged()
	return entry
}

// takeMembers brings the member lists among newly appended entries into force.
func (n *Node) takeMembers(entries []*pb.LogEntry) {
	changed := false
	for _, e := range entries {
		if m, err := decodeMembership(e); err == nil && m != nil {
			n.members.add(e.Index, m)
			changed = true
		}
	}
	if changed {
		n.membersChanged()
	}
}

func (n *Node) truncateMembers(from uint64) {
	if n.members.truncate(from) {
		n.membersChanged()
	}
}

func (n *Node) membersChanged() {
	n.formation.forgetLeft(n.members.current())
	if n.role == leader {
		n.syncProgress()
	}
	n.emitMembers()
}

func (n *Node) emitMembers() {
	n.announcedList = n.members.at(n.log.commit).index
	n.emit(MembershipChanged{Membership: n.members.current(), Committed: n.CommittedMembership()})
}

// settleMembers names the lives of members where the list lacks them, and makes a
// learner a voter once it has synced everything that is committed now.
//
// Promoted earlier, a learner would enlarge the quorum while it holds nothing:
// with a second replica lost right after, what is committed would lie on one disk,
// and nothing could be committed until the learner had caught up. Its life is named
// in a change before, so that no other life can be taken for the new voter.
func (n *Node) settleMembers() {
	if n.role != leader || n.refuseChange() != 0 {
		return
	}
	next := cloneMembership(n.members.current())
	if n.bindIncarnations(next) || n.promoteLearner(next) {
		n.appendMembership(next)
		n.replicateAll()
	}
}

func (n *Node) promoteLearner(m *pb.Membership) bool {
	for _, member := range m.Members {
		if member.Role == pb.ReplicaRole_REPLICA_ROLE_LEARNER && n.caughtUp(member) {
			member.Role = pb.ReplicaRole_REPLICA_ROLE_VOTER
			return true
		}
	}
	return false
}

// bindIncarnations names the lives of voters, and of learners that have caught up.
// What answers earlier under a learner's id may be a late message of an earlier
// life: were that one named, the life that runs would be refused, and the learner
// would stay behind until the operator removed it.
func (n *Node) bindIncarnations(m *pb.Membership) bool {
	changed := false
	for _, member := range m.Members {
		if member.Role == pb.ReplicaRole_REPLICA_ROLE_LEARNER && !n.caughtUp(member) {
			continue
		}
		if known := n.incarnationOf(member); member.Identity.Incarnation != known {
			member.Identity.Incarnation = known
			changed = true
		}
	}
	return changed
}

// caughtUp tells whether a learner may vote: it has everything committed, and
// answers now, so that the larger quorum can be met.
func (n *Node) caughtUp(member *pb.ReplicaMember) bool {
	pr := n.lead.progress[member.Identity.Id]
	return pr != nil && pr.active(n.now, n.cfg.ElectionTimeout) && pr.match >= n.log.commit
}

// onAppliedMembership notices the own removal once it is committed.
func (n *Node) onAppliedMembership(entries []*pb.LogEntry) {
	for _, e := range entries {
		m, err := decodeMembership(e)
		if err != nil || m == nil {
			continue
		}
		n.noteBound(m)
		if wasRemoved(m, n.identity) {
			n.onRemoved()
			return
		}
	}
}
