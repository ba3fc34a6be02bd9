package control

import (
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Effect is what the runner must do after a step, in the order given.
type Effect interface{ isEffect() }

// ConsensusEffect wraps an effect of the consensus node that the runner must
// carry out: Send, Persist, RestoreSnapshot or Removed.
type ConsensusEffect struct{ Effect consensus.Effect }

// SaveSnapshot asks the runner to sync a snapshot of the state, then to step
// with consensus.SnapshotTaken.
type SaveSnapshot struct{ Snapshot consensus.SnapshotTaken }

// Reply answers a Call.
type Reply struct {
	ID       uint64
	Response proto.Message
	// Err is a twirp error, nil when Response counts.
	Err error
}

// SendOrder sends an order to an engine. The runner checks LeaseUntil right
// before it writes, and gives the call Timeout.
type SendOrder struct {
	Server  string
	Address string
	Order   engineapi.Order
	// Term is the sending leader's; the order's token bears that of its intent.
	Term uint64
	// LeaseUntil is when this leader's authority ends, since boot.
	LeaseUntil time.Duration
	Timeout    time.Duration
}

// Members tells the member list now in force and who leads (zero if unknown).
type Members struct {
	Membership *pb.Membership
	// Committed is the latest list known to be committed; peers are admitted by it.
	Committed *pb.Membership
	Leader    uint64
	// IsLeader is true while this replica leads and is ready.
	IsLeader bool
}

// Fatal ends the process: continuing could serve answers from a corrupt state.
type Fatal struct{ Err error }

// Log writes one log line.
type Log struct {
	Level   slog.Level
	Message string
	Fields  []Field
}

// Field is one value of a log line.
type Field struct {
	Name  string
	Value any
}

func (ConsensusEffect) isEffect() {}
func (SaveSnapshot) isEffect()    {}
func (Reply) isEffect()           {}
func (SendOrder) isEffect()       {}
func (Members) isEffect()         {}
func (Fatal) isEffect()           {}
func (Log) isEffect()             {}
