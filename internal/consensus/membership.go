package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxRemoved bounds the list of removed identities. An identity that drops off the
// list is still no member, so no quorum counts it; it only isn't told to stop.
const maxRemoved = 64

// memberHistory holds the member lists that the log contains. A list takes effect
// when it is appended, committed or not: consecutive lists differ by one member, so
// a quorum of the old and one of the new share a replica.
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

// decodeMembership decodes a membership entry; nil for other kinds.
func decodeMembership(e *pb.LogEntry) (*pb.Membership, error) {
	if e.GetKind() != pb.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP {
		return nil, nil
	}
	m := &pb.Membership{}
	if err := proto.Unmarshal(e.Data, m); err != nil {
		return nil, err
	}
	return m, validateMembers(m)
}

// validateMembers returns an error if a received list contains a member without an
// id.
func validateMembers(m *pb.Membership) error {
	for _, member := range m.GetMembers() {
		if member.GetIdentity().GetId() == 0 {
			return IdentityMismatch.New("a member has no id")
		}
	}
	return nil
}

func (h *memberHistory) last() memberList { return h.lists[len(h.lists)-1] }

func (h *memberHistory) current() *pb.Membership { return h.last().membership }

// at returns the list in force at a log index.
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

// truncate drops the lists from a log index on, and returns true if there were any.
func (h *memberHistory) truncate(from uint64) bool {
	kept := len(h.lists)
	for kept > 1 && h.lists[kept-1].index >= from {
		kept--
	}
	changed := kept < len(h.lists)
	h.lists = h.lists[:kept]
	return changed
}

// compact drops the lists that are not in force at the given index or later.
func (h *memberHistory) compact(index uint64) {
	for len(h.lists) > 1 && h.lists[1].index <= index {
		h.lists = h.lists[1:]
	}
}

// pending reports whether the latest list is not committed yet.
func (h *memberHistory) pending(commit uint64) bool { return h.last().index > commit }

func (n *Node) onProposeMembership(e ProposeMembership) {
	if reason := n.membershipChangeRefusal(); reason != 0 {
		n.emit(ProposalRefused{ID: e.ID, Reason: reason})
		return
	}
	next := cloneMembership(n.members.current())
	if reason := n.applyChange(next, e.Change); reason != 0 {
		n.emit(ProposalRefused{ID: e.ID, Reason: reason})
		return
	}
	entry := n.appendMembership(next)
	n.emit(ProposalAppended{ID: e.ID, Index: entry.Index, Term: entry.Term})
	n.replicateAll()
}

// membershipChangeRefusal allows one change at a time, and only once the leader has
// committed an entry of its own term.
//
// Two pending changes can lead to two disjoint quorums. So can a single change by a
// leader that has not committed in its term: an earlier leader's change, unknown to
// it, may be on a quorum of its own.
func (n *Node) membershipChangeRefusal() RefusalReason {
	switch {
	case n.role != leader || n.transferLeaseExpired():
		return NotLeader
	case !n.log.matches(n.log.commit, n.term):
		return NotReady
	case n.members.pending(n.log.commit):
		return ChangePending
	}
	return 0
}

// applyChange edits a member list, or returns why the change is refused.
func (n *Node) applyChange(m *pb.Membership, c MembershipChange) RefusalReason {
	switch {
	case isReplacing(m):
		return ChangePending
	case c.Add != nil:
		return addLearner(m, c.Add)
	case c.PromoteID != 0:
		return n.beginReplacement(m, c.RemoveID, c.PromoteID)
	}
	return n.removeMember(m, c.RemoveID)
}

// beginReplacement lets a learner take a voter's place. Until the list is committed, and the next one
// drops the voter, both vote; see votingSets.
//
// Failure: with the lost voter removed first, two of three are left, and with one of these the quorum is lost for good
// though the removed one is back from a loss of power with all that it had. With the learner promoted
// first, a quorum is all live ones, and the loss of the learner, which is new, is one too many.
func (n *Node) beginReplacement(m *pb.Membership, outgoing, incoming uint64) RefusalReason {
	from, to := findMember(m, outgoing), findMember(m, incoming)
	if from.GetRole() != pb.ReplicaRole_REPLICA_ROLE_VOTER || to.GetRole() != pb.ReplicaRole_REPLICA_ROLE_LEARNER || outgoing == n.cfg.ID {
		return InvalidChange
	}
	named := to.Identity.Incarnation != "" && to.Identity.Incarnation == n.incarnationOf(to)
	if !named || !n.keepsUp(to) {
		return NotReady
	}
	from.Role, to.Role = pb.ReplicaRole_REPLICA_ROLE_OUTGOING, pb.ReplicaRole_REPLICA_ROLE_INCOMING
	if !n.isActiveQuorum(m, n.cfg.ElectionTimeout) {
		return QuorumAtRisk
	}
	return 0
}

// endReplacement removes the outgoing voter, and returns false if there is none.
func (n *Node) endReplacement(m *pb.Membership) bool {
	if !isReplacing(m) {
		return false
	}
	for _, member := range slices.Clone(m.Members) {
		switch member.Role {
		case pb.ReplicaRole_REPLICA_ROLE_OUTGOING:
			n.dropMember(m, member)
		case pb.ReplicaRole_REPLICA_ROLE_INCOMING:
			member.Role = pb.ReplicaRole_REPLICA_ROLE_VOTER
		}
	}
	return true
}

// dropMember moves a member to the removed ones.
func (n *Node) dropMember(m *pb.Membership, member *pb.ReplicaMember) {
	removed := &pb.ReplicaIdentity{Id: member.Identity.Id, Incarnation: n.incarnationOf(member)}
	m.Removed = append(m.Removed, removed)
	m.Removed = m.Removed[max(0, len(m.Removed)-maxRemoved):]
	m.Members = slices.DeleteFunc(m.Members, func(other *pb.ReplicaMember) bool { return other == member })
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

// removeMember removes a member from the list. It refuses a removal after which the
// responsive voters would be no quorum: with one replica lost, removing a healthy
// one by mistake would leave the group permanently without a quorum.
func (n *Node) removeMember(m *pb.Membership, id uint64) RefusalReason {
	member := findMember(m, id)
	if member == nil {
		return InvalidChange
	}
	n.dropMember(m, member)
	if !n.isActiveQuorum(m, n.cfg.ElectionTimeout) {
		return QuorumAtRisk
	}
	return 0
}

// incarnationOf returns the member's incarnation if the list or this leader knows
// it.
func (n *Node) incarnationOf(member *pb.ReplicaMember) string {
	switch pr := n.leaderState.progress[member.Identity.Id]; {
	case member.Identity.Incarnation != "":
		return member.Identity.Incarnation
	case member.Identity.Id == n.cfg.ID:
		return n.identity.GetIncarnation()
	case pr != nil:
		return pr.incarnation
	}
	return ""
}

// wasRemoved reports whether the group has removed that identity. A removed entry
// without an incarnation covers every incarnation of its id.
func wasRemoved(m *pb.Membership, id *pb.ReplicaIdentity) bool {
	for _, removed := range m.GetRemoved() {
		if removed.Id == id.GetId() && (removed.Incarnation == "" || removed.Incarnation == id.GetIncarnation()) {
			return true
		}
	}
	return false
}

// CommittedMembership returns the latest member list known to be committed.
func (n *Node) CommittedMembership() *pb.Membership { return n.members.at(n.log.commit).membership }

// IsRemoved reports whether the committed member list has removed that identity;
// the host then sets StepResponse.removed.
func (n *Node) IsRemoved(id *pb.ReplicaIdentity) bool {
	return wasRemoved(n.CommittedMembership(), id)
}

func (n *Node) appendMembership(m *pb.Membership) *pb.LogEntry {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshal fails only on invalid UTF-8, which settings and proto
		// decoding refuse.
		panic("consensus: membership: " + err.Error())
	}
	entry := n.appendEntry(pb.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP, data)
	n.members.add(entry.Index, m)
	n.onMembershipChanged()
	return entry
}

// adoptMemberships puts the member lists among newly appended entries into force.
func (n *Node) adoptMemberships(entries []*pb.LogEntry) {
	changed := false
	for _, e := range entries {
		if m, err := decodeMembership(e); err == nil && m != nil {
			n.members.add(e.Index, m)
			changed = true
		}
	}
	if changed {
		n.onMembershipChanged()
	}
}

func (n *Node) truncateMemberships(from uint64) {
	if n.members.truncate(from) {
		n.onMembershipChanged()
	}
}

func (n *Node) onMembershipChanged() {
	n.handshake.restrictToMembers(n.members.current())
	if n.role == leader {
		n.rebuildProgress()
	}
	n.emitMembershipChanged()
}

func (n *Node) emitMembershipChanged() {
	n.emittedMembershipIndex = n.members.at(n.log.commit).index
	n.emit(MembershipChanged{Membership: n.members.current(), Committed: n.CommittedMembership()})
}

// advanceMembership ends a replacement, records members' incarnations that the list lacks, or promotes
// a learner to a voter once it has synced everything that is committed, and the group
// has room for a voter.
//
// Promoted earlier, a learner would enlarge the quorum while it holds nothing: if a
// second replica were lost right after, committed entries would lie on one disk,
// and nothing could be committed until the learner had caught up. The incarnation
// is recorded in a separate change before, so that no other incarnation can be
// taken for the new voter.
func (n *Node) advanceMembership() {
	if n.role != leader || n.membershipChangeRefusal() != 0 {
		return
	}
	next := cloneMembership(n.members.current())
	if n.endReplacement(next) || n.recordIncarnations(next) || n.promoteLearner(next) {
		n.appendMembership(next)
		n.replicateAll()
	}
}

func (n *Node) promoteLearner(m *pb.Membership) bool {
	if n.cfg.MaxVoters > 0 && len(voterIDs(m)) >= n.cfg.MaxVoters {
		return false
	}
	for _, member := range m.Members {
		if member.Role == pb.ReplicaRole_REPLICA_ROLE_LEARNER && n.caughtUp(member) {
			member.Role = pb.ReplicaRole_REPLICA_ROLE_VOTER
			return true
		}
	}
	return false
}

// recordIncarnations records the incarnations of voters, and of learners that have
// caught up. An earlier response under a learner's id may be a delayed message of a
// previous incarnation. If that one were recorded, the running one would be
// refused, and the learner could not catch up until the operator removed it.
func (n *Node) recordIncarnations(m *pb.Membership) bool {
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

// caughtUp reports whether a learner may be promoted: it has everything that is
// committed, and has answered recently, so that the larger quorum can be met.
func (n *Node) caughtUp(member *pb.ReplicaMember) bool {
	pr := n.leaderState.progress[member.Identity.Id]
	return pr != nil && pr.active(n.now, n.cfg.ElectionTimeout) && pr.match >= n.log.commit
}

// keepsUp reports whether a replica has been caught up of late. While entries are committed all the
// time, one that keeps up lacks the last ones at most moments.
func (n *Node) keepsUp(member *pb.ReplicaMember) bool {
	pr := n.leaderState.progress[member.Identity.Id]
	return n.caughtUp(member) || pr.active(n.now, n.cfg.ElectionTimeout) && pr.caughtUpAt > 0 && n.now < pr.caughtUpAt+n.cfg.ElectionTimeout
}

// onAppliedMembership detects the removal of this replica once it is committed.
func (n *Node) onAppliedMembership(entries []*pb.LogEntry) {
	for _, e := range entries {
		m, err := decodeMembership(e)
		if err != nil || m == nil {
			continue
		}
		n.markFormedIfListed(m)
		if wasRemoved(m, n.identity) {
			n.onRemoved()
			return
		}
	}
}
