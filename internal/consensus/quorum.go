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

// voterIDs lists the voters in the order of the member list.
func voterIDs(m *pb.Membership) []uint64 {
	ids := make([]uint64, 0, len(m.GetMembers()))
	for _, member := range m.GetMembers() {
		if member.Role == pb.ReplicaRole_REPLICA_ROLE_VOTER {
			ids = append(ids, member.Identity.Id)
		}
	}
	return ids
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

func isVoter(m *pb.Membership, id uint64) bool {
	return findMember(m, id).GetRole() == pb.ReplicaRole_REPLICA_ROLE_VOTER
}
