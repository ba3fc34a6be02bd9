package consensus

import (
	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("consensus")

var (
	// IdentityMismatch: a replica is not who the group knows under its id.
	IdentityMismatch = Namespace.NewType("wrong_identity")
	// RolledBack: a replica's folder is older than what that replica has said.
	RolledBack = Namespace.NewType("rolled_back")
	// UnknownBoot: a replica speaks in a boot that is not known here yet. Its
	// HELLO is on its way; until then its messages count as lost.
	UnknownBoot = Namespace.NewType("unintroduced")
	// RemovedIdentity: the group has removed the replica.
	RemovedIdentity = Namespace.NewType("removed_identity")
)

// CheckPeer decides whether messages of from may be taken, given the latest life
// and boot of that id that the host has synced (nil if none) and the committed
// member list. If the answer is nil and from is news, the host syncs it before
// it steps on the messages. Errors: IdentityMismatch, RolledBack, UnknownBoot,
// RemovedIdentity. Messages of a leader need CheckLeader only; see AllLeaderMessages.
//
// It guards against a replica that has forgotten what it promised: a wiped or
// foreign folder speaks under another incarnation, and a folder put back from an
// older copy under a boot that was seen already. Either could vote twice or help
// commit without entries that it once acknowledged.
//
// The list is the committed one: a replica that holds the removal of its leader
// as an entry that was never committed must go on hearing that leader, else
// nothing would ever replace the entry.
func CheckPeer(from, known *pb.ReplicaIdentity, committed *pb.Membership) error {
	if from.GetId() == 0 || from.Incarnation == "" || from.Boot == 0 || from.BootNonce == 0 {
		return IdentityMismatch.New("the identity is not complete")
	}
	if wasRemoved(committed, from) {
		return RemovedIdentity.New("replica %d (%s) was removed", from.Id, from.Incarnation)
	}
	member := findMember(committed, from.Id)
	if bound := member.GetIdentity().GetIncarnation(); bound != "" && bound != from.Incarnation {
		return IdentityMismatch.New("replica %d is %s, not %s", from.Id, bound, from.Incarnation)
	}
	if known == nil || known.Incarnation != from.Incarnation && takesOver(from, known, committed) {
		return nil
	}
	return checkLife(from, known)
}

// takesOver tells whether another life may speak under an id: the member list
// names it, or the known one was removed, or its word counts nowhere yet, since
// the id is no member's or that of a learner whose life is still to be named.
func takesOver(from, known *pb.ReplicaIdentity, committed *pb.Membership) bool {
	member := findMember(committed, from.Id)
	named := member != nil && member.Identity.Incarnation == from.Incarnation
	return member == nil || named || wasRemoved(committed, known) || unnamedLearner(member)
}

func unnamedLearner(m *pb.ReplicaMember) bool {
	return m.GetRole() == pb.ReplicaRole_REPLICA_ROLE_LEARNER && m.Identity.Incarnation == ""
}

// CheckLeader decides whether a leader's messages may be taken: a life that the
// group has removed can't lead any more. It is told so and stops. Errors:
// RemovedIdentity.
func CheckLeader(from *pb.ReplicaIdentity, committed *pb.Membership) error {
	if wasRemoved(committed, from) {
		return RemovedIdentity.New("replica %d (%s) was removed", from.GetId(), from.GetIncarnation())
	}
	return nil
}

// AllLeaderMessages tells whether all the messages are such as only the leader of a term
// sends. They are taken whoever the sender is: a life that the group does not
// count never wins an election. And they must be taken: a replica that has missed
// a replacement under an old id would refuse that id's new life, and would never
// catch up while that life leads.
func AllLeaderMessages(messages []*pb.Message) bool {
	for _, m := range messages {
		switch m.GetKind() {
		case pb.MessageKind_MESSAGE_KIND_APPEND,
			pb.MessageKind_MESSAGE_KIND_HEARTBEAT,
			pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		default:
			return false
		}
	}
	return len(messages) > 0
}

func checkLife(from, known *pb.ReplicaIdentity) error {
	if from.Incarnation != known.Incarnation {
		return IdentityMismatch.New("replica %d is %s, not %s", from.Id, known.Incarnation, from.Incarnation)
	}
	if from.Boot == known.Boot && from.BootNonce == known.BootNonce {
		return nil
	}
	if from.Boot > known.Boot && len(from.PastNonces) == 0 {
		return UnknownBoot.New("replica %d speaks in boot %d before its HELLO", from.Id, from.Boot)
	}
	if from.Boot <= known.Boot || !follows(from, known) {
		return RolledBack.New("replica %d comes with boot %d, which does not follow boot %d as known here",
			from.Id, from.Boot, known.Boot)
	}
	return nil
}

// MaxPastNonces is how many past nonces a folder keeps.
const MaxPastNonces = 64

// follows tells whether a boot's history holds the one that is known. The number
// alone would not do: a folder put back and started often enough passes it. A
// peer that has missed more than MaxPastNonces boots can't tell and takes its word.
func follows(from, known *pb.ReplicaIdentity) bool {
	missed := from.Boot - known.Boot - 1
	return missed >= uint64(len(from.PastNonces)) || from.PastNonces[missed] == known.BootNonce
}

// AdvanceBoot makes the identity that of the next boot; the host syncs it before
// the replica speaks under it. The first boot has a past nonce too, since an
// introduction is known by it.
func AdvanceBoot(id *pb.ReplicaIdentity, nonce uint64) {
	past := append([]uint64{id.BootNonce}, id.PastNonces...)
	id.PastNonces = past[:min(len(past), MaxPastNonces)]
	id.Boot++
	id.BootNonce = max(nonce, 1)
}

// TargetIdentity is the identity under which to address a replica: the life that
// leads under that id (empty if none was heard), the member list's, the life that
// spoke last (nil if none), or just the id. A learner whose life is still to be
// named is addressed by its id: an earlier life may have spoken under it.
func TargetIdentity(id uint64, leads string, known *pb.ReplicaIdentity, members *pb.Membership) *pb.ReplicaIdentity {
	member := findMember(members, id)
	lives := []string{leads, member.GetIdentity().GetIncarnation(), known.GetIncarnation()}
	if unnamedLearner(member) {
		lives = nil
	}
	for _, life := range lives {
		to := &pb.ReplicaIdentity{Id: id, Incarnation: life}
		if life != "" && !wasRemoved(members, to) {
			return to
		}
	}
	return &pb.ReplicaIdentity{Id: id}
}
