package proof

import (
	"fmt"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

// engineOrders tracks the orders of one incarnation of an engine.
type engineOrders struct {
	runningID   string
	newestToken engineapi.FencingToken
	startedIDs  map[string]bool
}

// CheckOrders checks the journals of engines for conflicting orders. It reports
// an order that an engine started while carrying out another one, one with an
// older fencing token than an order started before, the same one started twice,
// and every stream that an engine cancelled because it started an order. started
// is the number of orders started.
func CheckOrders(records []journal.Record) (started int, findings []string) {
	byIncarnation := make(map[string]*engineOrders)
	for _, r := range records {
		if r.Order == nil {
			continue
		}
		e := byIncarnation[r.Incarnation]
		if e == nil {
			e = &engineOrders{startedIDs: make(map[string]bool)}
			byIncarnation[r.Incarnation] = e
		}
		switch r.Event {
		case journal.OrderStarted:
			started++
			findings = append(findings, e.start(r)...)
		case journal.RequestCancelled:
			findings = append(findings, r.Server+" cancelled "+r.RequestID+" for an order")
		case journal.OrderDone:
			if e.runningID == r.Order.ID {
				e.runningID = ""
			}
		}
	}
	return started, findings
}

func (e *engineOrders) start(r journal.Record) (findings []string) {
	o := r.Order
	addFinding := func(format string, args ...any) {
		findings = append(findings, fmt.Sprintf("%s started order %s (%s %s, token %v, from %s): ", r.Server, o.ID, o.Kind, o.Role, o.Token, o.Sender)+
			fmt.Sprintf(format, args...))
	}
	if e.runningID != "" && e.runningID != o.ID {
		addFinding("order %s was still running", e.runningID)
	}
	if o.Token.Less(e.newestToken) {
		addFinding("an order with the newer token %v was started before", e.newestToken)
	}
	if e.startedIDs[o.ID] {
		addFinding("it was started before")
	}
	e.runningID, e.startedIDs[o.ID] = o.ID, true
	if e.newestToken.Less(o.Token) {
		e.newestToken = o.Token
	}
	return findings
}
