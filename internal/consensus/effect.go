package consensus

import "goldcrestseam.dev/goldcrestseam/internal/rpc/pb"

// Effect is what the host must do after a step, in the order given. Messages
// that depend on synced state are only given once Persisted has come, so the
// host may send at once whatever it is given.
type Effect interface{ isEffect() }

// Send hands a message to the network; it may be lost.
type Send struct{ Message *pb.Message }

// Persist asks the host to sync: first cut the log from TruncateFrom on (if not
// zero), then append Entries, then write HardState (if not nil), then drop the
// entries before CompactTo, as one transaction. The host answers with Persisted.
// At most one Persist is under way; what comes meanwhile goes into the next.
type Persist struct {
	Sequence     uint64
	HardState    *pb.HardState
	TruncateFrom uint64
	Entries      []*pb.LogEntry
	// CompactTo is the first index to keep; zero drops nothing. A snapshot that
	// covers everything before it has been synced.
	CompactTo uint64
}

// Apply hands over committed entries, each exactly once and in log order;
// membership entries and empty entries of new leaders are among them.
type Apply struct{ Entries []*pb.LogEntry }

// RestoreSnapshot asks the host to sync the snapshot in place of log and state,
// then to answer with SnapshotRestored.
type RestoreSnapshot struct {
	Meta *pb.SnapshotMeta
	Data []byte
}

// ProposalAppended tells where a proposal stands in the log; it is not
// committed yet. An Apply of another term at Index means that it was lost.
type ProposalAppended struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// ProposalRefused tells that a proposal is not in the log and never will be.
type ProposalRefused struct {
	ID     uint64
	Reason RefusalReason
}

// ReadReady answers a ReadIndex: state applied up to Index covers it.
type ReadReady struct {
	ID    uint64
	Index uint64
}

// ReadRefused tells that this replica can't confirm that it leads.
type ReadRefused struct{ ID uint64 }

// LeaderChanged tells of a new term, leader (zero if unknown) or own role.
type LeaderChanged struct {
	Term   uint64
	Leader uint64
	// LeaderReady is true once this replica leads and has committed an entry of its
	// own term.
	LeaderReady bool
}

// MembershipChanged tells the member list now in force, by which messages are
// addressed, and the latest that is known to be committed, by which peers are
// admitted.
type MembershipChanged struct {
	Membership *pb.Membership
	Committed  *pb.Membership
}

// TakeSnapshot asks the host for a snapshot of the state that the Apply effects
// up to here have built. Meta gives index, term and membership; the host syncs
// the snapshot and answers with SnapshotTaken.
type TakeSnapshot struct{ Meta *pb.SnapshotMeta }

// Removed tells that this replica's identity was removed; the host stops.
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

// RefusalReason says why a proposal was refused.
type RefusalReason int

const (
	// NotLeader: another replica leads, or none.
	NotLeader RefusalReason = iota + 1
	// ChangePending: a membership change is under way.
	ChangePending
	// NotReady: no entry of the own term is committed yet.
	NotReady
	// InvalidChange: the change names an unknown, present or removed replica.
	InvalidChange
	// QuorumAtRisk: after the removal, the voters that answer are no quorum.
	QuorumAtRisk
	// Overloaded: too many bytes wait to be committed.
	Overloaded
)
