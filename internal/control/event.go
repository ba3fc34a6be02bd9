package control

import (
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Event is an input of Reducer.Step.
type Event interface{ isEvent() }

// Tick advances the time. It carries the wall clock, which is only used to timestamp
// commands; leases use the time since boot.
type Tick struct{ WallMS int64 }

// Consensus wraps an event of the consensus node other than its Tick.
type Consensus struct{ Event consensus.Event }

// Call is an RPC of an entry or operator. Request is one of the request messages of the
// Control and Operator services; the answer is a Reply with the same ID.
type Call struct {
	ID      uint64
	Request proto.Message
}

// CallCanceled reports that the caller of a Call has stopped waiting for its Reply.
type CallCanceled struct{ ID uint64 }

// OrderAnswered carries an engine's answer to a SendOrder.
type OrderAnswered struct {
	Server string
	Answer engineapi.OrderAnswer
}

// OrderUnanswered reports that an order got no answer; the order may have arrived.
type OrderUnanswered struct {
	Server  string
	OrderID string
	// NotSent is true when no byte of the order left this process.
	NotSent bool
	// Reason is for the log.
	Reason string
}

// QueryRemoved asks whether the group has removed an identity; the answer is a Reply with
// the same ID and a StepResponse.
type QueryRemoved struct {
	ID       uint64
	Identity *pb.ReplicaIdentity
}

// LeaderFound reports the leader that has answered this replica's Join, and the members'
// addresses.
type LeaderFound struct {
	Leader   string
	Term     uint64
	Replicas []string
}

// SeedsChanged carries a new value of Config.Seeds.
type SeedsChanged struct{ Seeds []string }

// Stop begins a planned shutdown by transferring leadership.
type Stop struct{}

func (Tick) isEvent()            {}
func (Consensus) isEvent()       {}
func (Call) isEvent()            {}
func (CallCanceled) isEvent()    {}
func (OrderAnswered) isEvent()   {}
func (OrderUnanswered) isEvent() {}
func (QueryRemoved) isEvent()    {}
func (LeaderFound) isEvent()     {}
func (SeedsChanged) isEvent()    {}
func (Stop) isEvent()            {}
