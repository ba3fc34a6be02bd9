package consensus

import (
	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("consensus")

var (
	// WrongIdentity: a replica is not who the group knows under its id.
	WrongIdentity = Namespace.NewType("wrong_identity")
	// RolledBack: a replica's folder is older than what that replica has said.
	RolledBack = Namespace.NewType("rolled_back")
	// RemovedIdentity: the group has removed the replica.
	RemovedIdentity = Namespace.NewType("removed_identity")
)

// CheckPeer decides whether messages of from may be taken, given the latest life
// and boot of that id that the host has synced (nil if none) and the member list
// in force. If the answer is nil and from is news, the host syncs it before it
// steps on the messages. Errors: WrongIdentity, RolledBack, RemovedIdentity.
//
// It guards against a replica that has forgotten what it promised: a wiped or
// foreign folder speaks under another incarnation, and a folder put back from an
// older copy under a boot that was seen already. Either could vote twice or help
// commit without entries that it once acknowledged.
func CheckPeer(from, known *pb.ReplicaIdentity, members *pb.Membership) error {
	if from.GetId() == 0 || from.Incarnation == "" || from.Boot == 0 || from.BootNonce == "" {
		return WrongIdentity.New("the identity is not complete")
	}
	if wasRemoved(members, from) {
		return RemovedIdentity.New("replica %d (%s) was removed", from.Id, from.Incarnation)
	}
	member := findMember(members, from.Id)
	if bound := member.GetIdentity().GetIncarnation(); bound != "" && bound != from.Incarnation {
		return WrongIdentity.New("replica %d is %s, not %s", from.Id, bound, from.Incarnation)
	}
	if known == nil {
		return nil
	}
	if known.Incarnation != from.Incarnation {
		return checkNewLife(from, known, member, members)
	}
	return checkBoot(from, known)
}

// checkNewLife tells whether another incarnation may take an id over: the member
// list names it, or the known one was removed, or the id is no member's.
func checkNewLife(from, known *pb.ReplicaIdentity, member *pb.ReplicaMember, members *pb.Membership) error {
	named := member.GetIdentity().GetIncarnation() == from.Incarnation
	if named || member == nil || wasRemoved(members, known) {
		return nil
	}
	return WrongIdentity.New("replica %d is %s, not %s", from.Id, known.Incarnation, from.Incarnation)
}

func checkBoot(from, known *pb.ReplicaIdentity) error {
	if from.Boot < known.Boot || from.Boot == known.Boot && from.BootNonce != known.BootNonce {
		return RolledBack.New("replica %d comes with boot %d (%s) after boot %d (%s)",
			from.Id, from.Boot, from.BootNonce, known.Boot, known.BootNonce)
	}
	return nil
}

// TargetIdentity is the identity under which to address a replica: the member
// list's, or the life that spoke last (nil if none), or just the id.
func TargetIdentity(id uint64, known *pb.ReplicaIdentity, members *pb.Membership) *pb.ReplicaIdentity {
	if bound := findMember(members, id).GetIdentity().GetIncarnation(); bound != "" {
		return &pb.ReplicaIdentity{Id: id, Incarnation: bound}
	}
	if known == nil || wasRemoved(members, known) {
		return &pb.ReplicaIdentity{Id: id}
	}
	return &pb.ReplicaIdentity{Id: id, Incarnation: known.Incarnation}
}
