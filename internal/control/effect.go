package control

import (
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Effect is an action that the runner must perform after a step, in the order returned.
type Effect interface{ isEffect() }

// ConsensusEffect wraps an effect of the consensus node that the runner must perform: Send,
// Persist, RestoreSnapshot or Removed.
type ConsensusEffect struct{ Effect consensus.Effect }

// SaveSnapshot asks the runner to write a snapshot of the state and sync it, then to step
// with consensus.SnapshotTaken.
type SaveSnapshot struct{ Snapshot consensus.SnapshotTaken }

// Reply answers the event with that ID: a Call, Announce, Leave or QueryRemoved.
type Reply struct {
	ID       uint64
	Response proto.Message
	// Err is a twirp error; nil when Response is valid.
	Err error
}

// SendOrder sends an order to an engine. The runner checks LeaseUntil right before it
// writes, and applies Timeout.
type SendOrder struct {
	Server  string
	Address string
	Order   engineapi.Order
	// Term is the term of the sending leader; the order's token has the term of its intent.
	Term uint64
	// LeaseUntil is when this leader's lease ends, as time since boot.
	LeaseUntil time.Duration
	Timeout    time.Duration
}

// Members reports the member list in force and the leader (zero if unknown).
type Members struct {
	Membership *pb.Membership
	// Committed is the latest member list known to be committed; connections of peers are
	// checked against it.
	Committed *pb.Membership
	Leader    uint64
	// IsLeader is true while this replica leads and is ready.
	IsLeader bool
	// LeaderAddress is the leader's address, also of one that this replica has only heard of;
	// empty if unknown. Replicas are the members' addresses as heard of.
	LeaderAddress string
	Replicas      []string
}

// Introduce sends the request to replicas that may not know the group; see introduce. A call that
// fails needs no answer: the next Introduce repeats it.
type Introduce struct {
	To      []string
	Request *pb.IntroduceRequest
}

// Fatal ends the process: continuing could serve answers from a corrupt state.
type Fatal struct{ Err error }

// Log writes one log line.
type Log struct {
	Level   slog.Level
	Message string
	Fields  []Field
}

// Field is one attribute of a log line.
type Field struct {
	Name  string
	Value any
}

func (ConsensusEffect) isEffect() {}
func (SaveSnapshot) isEffect()    {}
func (Reply) isEffect()           {}
func (SendOrder) isEffect()       {}
func (Members) isEffect()         {}
func (Introduce) isEffect()       {}
func (Fatal) isEffect()           {}
func (Log) isEffect()             {}
