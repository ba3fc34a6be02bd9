package proof

import (
	"fmt"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

// engineOrders is one life of one engine as the order check goes through it.
type engineOrders struct {
	running string
	newest  engineapi.FencingToken
	began   map[string]bool
}

// CheckOrders goes through the journals and tells of every conflicting order
// that an engine began: another one while one was carried out, one with an older
// token than one begun before, or the same one twice; and of every stream that
// an engine still ran when it began an order. began counts orders begun.
func CheckOrders(records []journal.Record) (began int, findings []string) {
	lives := make(map[string]*engineOrders)
	for _, r := range records {
		if r.Order == nil {
			continue
		}
		e := lives[r.Incarnation]
		if e == nil {
			e = &engineOrders{began: make(map[string]bool)}
			lives[r.Incarnation] = e
		}
		switch r.Event {
		case journal.OrderStarted:
			began++
			findings = append(findings, e.begin(r)...)
		case journal.RequestCancelled:
			findings = append(findings, r.Server+" cut "+r.RequestID+" for an order")
		case journal.OrderDone:
			if e.running == r.Order.ID {
				e.running = ""
			}
		}
	}
	return began, findings
}

func (e *engineOrders) begin(r journal.Record) (findings []string) {
	o := r.Order
	find := func(format string, args ...any) {
		findings = append(findings, fmt.Sprintf("%s began %s (%s %s, token %v, from %s): ", r.Server, o.ID, o.Kind, o.Role, o.Token, o.Sender)+
			fmt.Sprintf(format, args...))
	}
	if e.running != "" && e.running != o.ID {
		find("%s was being carried out", e.running)
	}
	if o.Token.Less(e.newest) {
		find("a newer token %v had been begun", e.newest)
	}
	if e.began[o.ID] {
		find("a second time")
	}
	e.running, e.began[o.ID] = o.ID, true
	if e.newest.Less(o.Token) {
		e.newest = o.Token
	}
	return findings
}
