package consensus

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Event is what a Node steps on: a tick, a message, a request of its host or
// the host's word that an effect is done.
type Event interface{ isEvent() }

// Tick lets time pass; the host sends one every Config.TickInterval or sooner.
type Tick struct{}

// Receive is a message of another replica. The host has checked the cluster id
// and the sender's incarnation.
type Receive struct{ Message *pb.Message }

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

// SnapshotTaken hands over a snapshot of the state at Meta.Index. It is synced
// already; the log before it may be cut.
type SnapshotTaken struct {
	Meta *pb.SnapshotMeta
	Data []byte
}

// SnapshotRestored tells that a RestoreSnapshot effect has been synced and applied.
type SnapshotRestored struct{ Index uint64 }

func (Tick) isEvent()              {}
func (Receive) isEvent()           {}
func (Propose) isEvent()           {}
func (ProposeMembership) isEvent() {}
func (ReadIndex) isEvent()         {}
func (Persisted) isEvent()         {}
func (Applied) isEvent()           {}
func (SnapshotTaken) isEvent()     {}
func (SnapshotRestored) isEvent()  {}

// MembershipChange is one step of the member list: add a learner, make a
// learner a voter (done by the leader itself once it has caught up), or remove.
type MembershipChange struct {
	// Add is the replica to add as a learner; nil when removing.
	Add *pb.ReplicaMember
	// RemoveID is the replica id to remove; zero when adding.
	RemoveID uint64
}

// Config sets up a Node. Durations are exact; the host's ticks only bound how
// late they are noticed.
type Config struct {
	// ID is this replica; it must equal the identity in the data folder.
	ID uint64
	// ElectionTimeout is how long a follower waits for a leader: the real wait
	// is drawn between one and two times it. Default 400 ms.
	ElectionTimeout time.Duration
	// HeartbeatInterval is how often a leader sends heartbeats. Default 100 ms.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long a quorum's heartbeat answers let a leader
	// believe that no other leads, from when the heartbeat was sent. It must be
	// shorter than ElectionTimeout by the clock drift allowed. Default 300 ms.
	LeaseDuration time.Duration
	// Seed draws the election waits.
	Seed uint64
}
