package consensus

import (
	"cmp"
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// quorumSize is the number of voters in a majority.
func quorumSize(voters int) int { return voters/2 + 1 }

// quorumValue is the greatest value that a majority has reached, given each voter's
// value.
func quorumValue[T cmp.Ordered](values []T) T {
	var zero T
	if len(values) == 0 {
		return zero
	}
	slices.Sort(values)
	return values[len(values)-quorumSize(len(values))]
}

// voterIDs lists the voters in the order of the member list, during a replacement the outgoing and the
// incoming one too.
func voterIDs(m *pb.Membership) []uint64 { return memberIDs(m, votes) }

func memberIDs(m *pb.Membership, include func(pb.ReplicaRole) bool) []uint64 {
	ids := make([]uint64, 0, len(m.GetMembers()))
	for _, member := range m.GetMembers() {
		if include(member.Role) {
			ids = append(ids, member.Identity.Id)
		}
	}
	return ids
}

func votes(role pb.ReplicaRole) bool {
	return role == pb.ReplicaRole_REPLICA_ROLE_VOTER || role == pb.ReplicaRole_REPLICA_ROLE_OUTGOING || role == pb.ReplicaRole_REPLICA_ROLE_INCOMING
}

// isReplacing reports whether a voter is about to take another one's place.
func isReplacing(m *pb.Membership) bool {
	return slices.ContainsFunc(m.GetMembers(), func(member *pb.ReplicaMember) bool {
		return member.Role == pb.ReplicaRole_REPLICA_ROLE_OUTGOING || member.Role == pb.ReplicaRole_REPLICA_ROLE_INCOMING
	})
}

// votingSets returns the sets of voters of each of which a quorum holds a majority: all voters, or during a
// replacement those of before it and those of after it (joint consensus, Ongaro, "Consensus: Bridging
// Theory and Practice", section 4.3).
func votingSets(m *pb.Membership) [][]uint64 {
	if !isReplacing(m) {
		return [][]uint64{voterIDs(m)}
	}
	before := memberIDs(m, func(r pb.ReplicaRole) bool { return votes(r) && r != pb.ReplicaRole_REPLICA_ROLE_INCOMING })
	after := memberIDs(m, func(r pb.ReplicaRole) bool { return votes(r) && r != pb.ReplicaRole_REPLICA_ROLE_OUTGOING })
	return [][]uint64{before, after}
}

// isQuorum reports whether the replicas that has accepts are a quorum.
func isQuorum(m *pb.Membership, has func(id uint64) bool) bool {
	for _, voters := range votingSets(m) {
		count := 0
		for _, id := range voters {
			if has(id) {
				count++
			}
		}
		if len(voters) == 0 || count < quorumSize(len(voters)) {
			return false
		}
	}
	return true
}

// reachedByQuorum is the greatest value that a quorum has reached, given each voter's value.
func reachedByQuorum[T cmp.Ordered](m *pb.Membership, value func(id uint64) T) T {
	var reached T
	for i, voters := range votingSets(m) {
		values := make([]T, 0, len(voters))
		for _, id := range voters {
			values = append(values, value(id))
		}
		if v := quorumValue(values); i == 0 || v < reached {
			reached = v
		}
	}
	return reached
}

// findMember returns the member with that id, nil if there is none.
func findMember(m *pb.Membership, id uint64) *pb.ReplicaMember {
	for _, member := range m.GetMembers() {
		if member.Identity.Id == id {
			return member
		}
	}
	return nil
}

func isVoter(m *pb.Membership, id uint64) bool { return votes(findMember(m, id).GetRole()) }
