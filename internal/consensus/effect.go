package consensus

import "goldcrestseam.dev/goldcrestseam/internal/rpc/pb"

// Effect is what the host must do after a step, in the order given. A message that
// depends on synced state is emitted only after the matching Persisted event, so
// the host may send every message at once.
type Effect interface{ isEffect() }

// Send passes a message to the network, which may lose it.
type Send struct{ Message *pb.Message }

// Persist asks the host to sync, in one transaction: delete the log from
// TruncateFrom on (if not zero), append Entries, write HardState (if not nil), and
// delete the entries before CompactTo. The host answers with Persisted. At most one
// Persist is outstanding; later changes go into the next one.
type Persist struct {
	Sequence     uint64
	HardState    *pb.HardState
	TruncateFrom uint64
	Entries      []*pb.LogEntry
	// CompactTo is the first index to keep; zero deletes nothing. A snapshot
	// that covers everything before it is already synced.
	CompactTo uint64
}

// Apply delivers committed entries, each exactly once and in log order, including
// membership entries and the empty entries of new leaders.
type Apply struct{ Entries []*pb.LogEntry }

// RestoreSnapshot asks the host to replace log and state by the snapshot, sync it,
// and answer with SnapshotRestored.
type RestoreSnapshot struct {
	Meta *pb.SnapshotMeta
	Data []byte
}

// ProposalAppended reports the log position of a proposal, which is not committed
// yet. An Apply of another term at Index means that the proposal was lost.
type ProposalAppended struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// ProposalRefused reports that a proposal is not in the log and never will be.
type ProposalRefused struct {
	ID     uint64
	Reason RefusalReason
}

// ReadReady answers a ReadIndex: a state applied up to Index is recent enough.
type ReadReady struct {
	ID    uint64
	Index uint64
}

// ReadRefused reports that this replica can't confirm that it is the leader.
type ReadRefused struct{ ID uint64 }

// LeaderChanged reports a new term, leader (zero if unknown) or readiness of this
// replica as the leader.
type LeaderChanged struct {
	Term   uint64
	Leader uint64
	// LeaderReady is true once this replica is the leader and has committed an
	// entry of its own term.
	LeaderReady bool
}

// MembershipChanged reports the member list in force, which gives the addresses of
// messages, and the latest list known to be committed, which decides which peers
// are admitted.
type MembershipChanged struct {
	Membership *pb.Membership
	Committed  *pb.Membership
}

// TakeSnapshot asks the host for a snapshot of the state built by the Apply effects
// up to here. Meta gives index, term and membership. The host syncs the snapshot
// and answers with SnapshotTaken.
type TakeSnapshot struct{ Meta *pb.SnapshotMeta }

// Removed reports that this replica's identity was removed; the host stops.
type Removed struct{}

func (Send) isEffect()              {}
func (Persist) isEffect()           {}
func (Apply) isEffect()             {}
func (RestoreSnapshot) isEffect()   {}
func (ProposalAppended) isEffect()  {}
func (ProposalRefused) isEffect()   {}
func (ReadReady) isEffect()         {}
func (ReadRefused) isEffect()       {}
func (LeaderChanged) isEffect()     {}
func (MembershipChanged) isEffect() {}
func (TakeSnapshot) isEffect()      {}
func (Removed) isEffect()           {}

// RefusalReason is why a proposal was refused.
type RefusalReason int

const (
	// NotLeader: this replica is not the leader, or is transferring leadership.
	NotLeader RefusalReason = iota + 1
	// ChangePending: a membership change is not committed yet.
	ChangePending
	// NotReady: the leader has not committed an entry of its own term yet.
	NotReady
	// InvalidChange: the change removes an unknown replica, or adds one that is
	// present, was removed, or has no id or address.
	InvalidChange
	// QuorumAtRisk: after the removal, the responsive voters would be no
	// quorum.
	QuorumAtRisk
	// Overloaded: too many bytes are waiting to be committed.
	Overloaded
)
