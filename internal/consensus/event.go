package consensus

import "goldcrestseam.dev/goldcrestseam/internal/rpc/pb"

// Event is an input to a Node: a tick, a message, a request of its host, or the
// completion of an effect.
type Event interface{ isEvent() }

// Tick reports that time has passed. The host sends one at a regular interval.
type Tick struct{}

// Receive is a message from another replica. The host has checked the cluster id
// and the sender's identity (store.Store.Admit).
type Receive struct {
	Message *pb.Message
	// Incarnation is the sender's. A learner's promotion records it in the
	// member list.
	Incarnation string
}

// Propose asks the leader to append Data. The answer is a ProposalAppended with the
// same ID, and later an Apply of that index and term; or ProposalRefused.
type Propose struct {
	ID   uint64
	Data []byte
}

// ProposeMembership asks for a change of the member list. Only one change may be
// pending.
type ProposeMembership struct {
	ID     uint64
	Change MembershipChange
}

// ReadIndex asks for an index that covers everything committed so far. The answer
// is ReadReady or ReadRefused with the same ID.
type ReadIndex struct{ ID uint64 }

// Persisted reports that the Persist effect with that sequence number is synced.
type Persisted struct{ Sequence uint64 }

// Applied reports how far the host has applied, so that the log may be compacted.
type Applied struct{ Index uint64 }

// SnapshotTaken delivers a snapshot of the state at Meta.Index. Meta is that of
// TakeSnapshot, completed by SetSnapshotChecksum. The snapshot is already synced,
// so the log before it may be compacted.
type SnapshotTaken struct {
	Meta *pb.SnapshotMeta
	Data []byte
}

// SnapshotRestored reports that a RestoreSnapshot effect is synced and applied.
type SnapshotRestored struct{ Index uint64 }

// TransferLeadership asks the leader to transfer leadership to the voter with the
// most complete log, at the start of a planned stop. The leader first lets its
// lease expire. LeaderChanged reports the result; a failed transfer leads to an
// ordinary election.
type TransferLeadership struct{}

// RemovedByPeer reports a peer's answer that the group has removed this replica's
// identity (StepResponse.removed).
type RemovedByPeer struct{}

func (Tick) isEvent()               {}
func (Receive) isEvent()            {}
func (Propose) isEvent()            {}
func (ProposeMembership) isEvent()  {}
func (ReadIndex) isEvent()          {}
func (Persisted) isEvent()          {}
func (Applied) isEvent()            {}
func (SnapshotTaken) isEvent()      {}
func (SnapshotRestored) isEvent()   {}
func (TransferLeadership) isEvent() {}
func (RemovedByPeer) isEvent()      {}

// MembershipChange is one change of the member list: add a learner, replace a voter by a learner, or remove a
// replica. The leader itself promotes a learner that has caught up to a voter.
type MembershipChange struct {
	// Add is the replica to add as a learner; nil otherwise.
	Add *pb.ReplicaMember
	// RemoveID is the id of the replica to remove; zero when adding.
	RemoveID uint64
	// PromoteID is the id of the learner that takes the removed voter's place; zero for none.
	PromoteID uint64
}
