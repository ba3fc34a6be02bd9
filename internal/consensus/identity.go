package consensus

import (
	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("consensus")

var (
	// IdentityMismatch: a replica's identity is not the one that the group
	// knows for its id.
	IdentityMismatch = Namespace.NewType("wrong_identity")
	// RolledBack: a replica's data folder is older than one that the replica
	// has already sent messages from.
	RolledBack = Namespace.NewType("rolled_back")
	// UnknownBoot: a replica sends messages in a boot that is not known here
	// yet. Its HELLO is on its way; until it arrives the messages count as
	// lost.
	UnknownBoot = Namespace.NewType("unintroduced")
	// RemovedIdentity: the group has removed the replica.
	RemovedIdentity = Namespace.NewType("removed_identity")
)

// CheckPeer decides whether messages of from may be accepted, given the latest
// incarnation and boot of that id that the host has synced (nil if none) and the
// committed member list. If the result is nil and from differs from known, the host
// syncs it before it steps on the messages. Errors: IdentityMismatch, RolledBack,
// UnknownBoot, RemovedIdentity. Messages of a leader need only CheckLeader; see
// AllLeaderMessages.
//
// It guards against a replica that has lost votes or acknowledgements. A wiped
// folder, or that of another replica, has another incarnation; a folder restored
// from an older copy has a boot that was already used. Either could vote twice in a
// term, or help commit entries without holding ones that it acknowledged earlier.
//
// The committed list is used because a replica may hold an uncommitted entry that
// removes its leader. It must still accept that leader's messages, or nothing would
// ever replace the entry.
func CheckPeer(from, known *pb.ReplicaIdentity, committed *pb.Membership) error {
	if from.GetId() == 0 || from.Incarnation == "" || from.Boot == 0 || from.BootNonce == 0 {
		return IdentityMismatch.New("the identity is not complete")
	}
	if wasRemoved(committed, from) {
		return RemovedIdentity.New("replica %d (%s) was removed", from.Id, from.Incarnation)
	}
	member := findMember(committed, from.Id)
	if expected := member.GetIdentity().GetIncarnation(); expected != "" && expected != from.Incarnation {
		return IdentityMismatch.New("replica %d is %s, not %s", from.Id, expected, from.Incarnation)
	}
	if known == nil || known.Incarnation != from.Incarnation && mayReuseID(from, known, committed) {
		return nil
	}
	return checkKnownIncarnation(from, known)
}

// mayReuseID reports whether another incarnation may use an id: the member list
// names it, or the known one was removed, or its votes and acknowledgements count
// nowhere yet, since the id is not a member's or is that of a learner without a
// listed incarnation.
func mayReuseID(from, known *pb.ReplicaIdentity, committed *pb.Membership) bool {
	member := findMember(committed, from.Id)
	listed := member != nil && member.Identity.Incarnation == from.Incarnation
	return member == nil || listed || wasRemoved(committed, known) || isLearnerWithoutIncarnation(member)
}

func isLearnerWithoutIncarnation(m *pb.ReplicaMember) bool {
	return m.GetRole() == pb.ReplicaRole_REPLICA_ROLE_LEARNER && m.Identity.Incarnation == ""
}

// CheckLeader decides whether a leader's messages may be accepted: an incarnation
// that the group has removed can no longer lead. It learns of the removal from the
// answer and stops. Errors: RemovedIdentity.
func CheckLeader(from *pb.ReplicaIdentity, committed *pb.Membership) error {
	if wasRemoved(committed, from) {
		return RemovedIdentity.New("replica %d (%s) was removed", from.GetId(), from.GetIncarnation())
	}
	return nil
}

// AllLeaderMessages reports whether all messages are of kinds that only the leader
// of a term sends. They are accepted from any incarnation that was not removed,
// since one that the group does not count never wins an election. They must be
// accepted: a replica that has missed a replacement under an existing id would
// otherwise refuse the new incarnation, and never catch up while that one leads.
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

func checkKnownIncarnation(from, known *pb.ReplicaIdentity) error {
	if from.Incarnation != known.Incarnation {
		return IdentityMismatch.New("replica %d is %s, not %s", from.Id, known.Incarnation, from.Incarnation)
	}
	if from.Boot == known.Boot && from.BootNonce == known.BootNonce {
		return nil
	}
	if from.Boot > known.Boot && len(from.PastNonces) == 0 {
		return UnknownBoot.New("replica %d speaks in boot %d before its HELLO", from.Id, from.Boot)
	}
	if from.Boot <= known.Boot || !continuesBootHistory(from, known) {
		return RolledBack.New("replica %d comes with boot %d, which does not follow boot %d as known here",
			from.Id, from.Boot, known.Boot)
	}
	return nil
}

// MaxPastNonces is the number of past boot nonces that a data folder keeps.
const MaxPastNonces = 64

// continuesBootHistory reports whether a boot's history contains the known boot.
// Comparing boot numbers is not enough: an old folder that is started often enough
// reaches a higher one. A peer that has missed more than MaxPastNonces boots can't
// check and accepts the boot.
func continuesBootHistory(from, known *pb.ReplicaIdentity) bool {
	missed := from.Boot - known.Boot - 1
	return missed >= uint64(len(from.PastNonces)) || from.PastNonces[missed] == known.BootNonce
}

// AdvanceBoot changes the identity to that of the next boot; the host syncs it
// before the replica sends messages with it. The first boot also gets a past nonce,
// since a non-empty history marks the identity as one from a HELLO.
func AdvanceBoot(id *pb.ReplicaIdentity, nonce uint64) {
	past := append([]uint64{id.BootNonce}, id.PastNonces...)
	id.PastNonces = past[:min(len(past), MaxPastNonces)]
	id.Boot++
	id.BootNonce = max(nonce, 1)
}

// TargetIdentity returns the identity to address a replica by. It takes the first
// incarnation that is known and not removed of: the one that was last seen as
// leader under that id (empty if none), the member list's, and the latest one that
// sent other messages (nil if none). Otherwise it is the id alone. A learner
// without a listed incarnation is addressed by its id, since the known incarnation
// may be an earlier one.
func TargetIdentity(id uint64, leaderIncarnation string, known *pb.ReplicaIdentity, members *pb.Membership) *pb.ReplicaIdentity {
	member := findMember(members, id)
	incarnations := []string{leaderIncarnation, member.GetIdentity().GetIncarnation(), known.GetIncarnation()}
	if isLearnerWithoutIncarnation(member) {
		incarnations = nil
	}
	for _, incarnation := range incarnations {
		to := &pb.ReplicaIdentity{Id: id, Incarnation: incarnation}
		if incarnation != "" && !wasRemoved(members, to) {
			return to
		}
	}
	return &pb.ReplicaIdentity{Id: id}
}
