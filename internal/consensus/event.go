package consensus

import "goldcrestseam.dev/goldcrestseam/internal/rpc/pb"

// Event is what a Node steps on: a tick, a message, a request of its host or
// the host's word that an effect is done.
type Event interface{ isEvent() }

// Tick lets time pass; the host sends one every Config.TickInterval or sooner.
type Tick struct{}

// Receive is a message of another replica. The host has checked the cluster id
// and the sender's identity (store.Store.Admit).
type Receive struct {
	Message *pb.Message
	// Incarnation is the sender's, so that a learner's promotion binds it.
	Incarnation string
}

// Propose asks for Data to be appended. The answer is a ProposalAppended with
// the same ID, and later an Apply of that index and term; or ProposalRefused.
type Propose struct {
	ID   uint64
	Data []byte
}

// ProposeMembership asks for a change of the member list, one at a time.
type ProposeMembership struct {
	ID     uint64
	Change MembershipChange
}

// ReadIndex asks for an index that covers everything committed up to now.
// The answer is ReadReady or ReadRefused with the same ID.
type ReadIndex struct{ ID uint64 }

// Persisted tells that the Persist effect with that sequence number is synced.
type Persisted struct{ Sequence uint64 }

// Applied tells how far the host has applied, so that the log may be cut.
type Applied struct{ Index uint64 }

// SnapshotTaken hands over a snapshot of the state at Meta.Index, Meta being what
// TakeSnapshot gave, sealed by SetSnapshotChecksum. It is synced already; the log before
// it may be cut.
type SnapshotTaken struct {
	Meta *pb.SnapshotMeta
	Data []byte
}

// SnapshotRestored tells that a RestoreSnapshot effect has been synced and applied.
type SnapshotRestored struct{ Index uint64 }

// TransferLeadership asks a leader to hand over to the voter whose log is most
// complete, as a planned stop begins. It lets its lease run out first. LeaderChanged
// tells how it went; a transfer that fails ends in an ordinary election.
type TransferLeadership struct{}

// RemovedByPeer tells that a peer answered that the group has removed this
// replica's identity (StepResponse.removed).
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

// MembershipChange is one step of the member list: add a learner, make a
// learner a voter (done by the leader itself once it has caught up), or remove.
type MembershipChange struct {
	// Add is the replica to add as a learner; nil when removing.
	Add *pb.ReplicaMember
	// RemoveID is the replica id to remove; zero when adding.
	RemoveID uint64
}
