package control

import (
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Event is what the Reducer steps on.
type Event interface{ isEvent() }

// Consensus wraps an event of the consensus node.
type Consensus struct{ Event consensus.Event }

// Call is an RPC of an entry or operator. Request is one of the request
// messages of the Control and Operator services; the answer is a Reply with
// the same ID.
type Call struct {
	ID      uint64
	Request proto.Message
}

// CallGone tells that the caller of a Call does not wait any more.
type CallGone struct{ ID uint64 }

// OrderAnswered is an engine's answer to a SendOrder.
type OrderAnswered struct {
	Server string
	Answer engineapi.OrderAnswer
}

// OrderUnanswered tells that an order got no answer: it may have arrived.
type OrderUnanswered struct {
	Server  string
	OrderID string
	// NotSent is true when no byte of it left this process.
	NotSent bool
}

// Stop begins the planned stop: leadership is handed on.
type Stop struct{}

func (Consensus) isEvent()       {}
func (Call) isEvent()            {}
func (CallGone) isEvent()        {}
func (OrderAnswered) isEvent()   {}
func (OrderUnanswered) isEvent() {}
func (Stop) isEvent()            {}
