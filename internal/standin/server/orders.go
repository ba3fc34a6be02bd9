package server

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

// orderState holds the engine's role, model and adapters, and the orders that it
// has received.
type orderState struct {
	role        engineapi.Role
	model       string
	version     string
	adapters    []string
	newestToken engineapi.FencingToken
	running     *engineapi.Order
	lastDone    engineapi.Order
	results     map[string]string
}

func newOrderState(role engineapi.Role, model, version string) orderState {
	return orderState{role: role, model: model, version: version, results: make(map[string]string)}
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engineapi.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil || o.ID == "" {
		http.Error(w, "not an order", http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, s.acceptOrder(o))
	s.triggerAnnounce()
}

func (s *Server) acceptOrder(o engineapi.Order) engineapi.OrderAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.orders
	s.journal.Write(journal.Record{Event: journal.OrderReceived, Order: &o, NewestToken: b.newestToken})
	result, reason := s.decideOrder(o)
	if result == "" {
		s.startOrder(o)
		result = engineapi.OrderRunning
	} else if result == engineapi.OrderStale || result == engineapi.OrderRefused {
		s.journal.Write(journal.Record{Event: journal.OrderRejected, Order: &o, NewestToken: b.newestToken, Reason: reason})
	}
	return engineapi.OrderAnswer{ID: o.ID, Result: result, Reason: reason, Newest: b.newestToken}
}

// decideOrder returns the result of an order that must not be started, or "" if
// it must. An engine that ignores fencing tokens starts every order whose ID it
// has not seen, if it is for this incarnation. The caller must hold mu.
func (s *Server) decideOrder(o engineapi.Order) (result, reason string) {
	b := &s.orders
	if known, ok := b.results[o.ID]; ok {
		return known, ""
	}
	if o.Incarnation != s.incarnation {
		return engineapi.OrderRefused, "the order is for another incarnation"
	}
	if s.config.Fencing == declaration.FencingIgnored {
		return "", ""
	}
	if !b.newestToken.Less(o.Token) {
		return engineapi.OrderStale, "this token or a newer one has been seen"
	}
	b.newestToken = o.Token
	if b.running != nil {
		return engineapi.OrderRefused, "another order is being carried out"
	}
	return "", ""
}

// startOrder starts an order. A change of role or model makes the engine
// unavailable and aborts its running streams. The caller must hold mu.
func (s *Server) startOrder(o engineapi.Order) {
	b := &s.orders
	if b.newestToken.Less(o.Token) {
		b.newestToken = o.Token
	}
	b.running = &o
	b.results[o.ID] = engineapi.OrderRunning
	s.journal.Write(journal.Record{Event: journal.OrderStarted, Order: &o})
	if o.Kind != engineapi.OrderLoadAdapter {
		s.abortStreams(&o, func(streamKey) bool { return true })
	}
	time.AfterFunc(s.config.realDuration(s.config.ChangeTime), func() { s.finishOrder(o) })
}

func (s *Server) finishOrder(o engineapi.Order) {
	s.mu.Lock()
	b := &s.orders
	switch o.Kind {
	case engineapi.OrderSetRole:
		b.role = o.Role
	case engineapi.OrderLoadModel:
		b.model, b.version = o.Model, o.Version
	case engineapi.OrderLoadAdapter:
		if !slices.Contains(b.adapters, o.Adapter) {
			b.adapters = append(b.adapters, o.Adapter)
		}
	}
	b.results[o.ID] = engineapi.OrderDone
	b.lastDone = o
	if o.Kind != engineapi.OrderLoadAdapter {
		s.model = enginemodel.New(s.modelTime(), s.config.modelConfig(), b.role)
	}
	if b.running != nil && b.running.ID == o.ID {
		b.running = nil
	}
	s.journal.Write(journal.Record{Event: journal.OrderDone, Order: &o})
	s.mu.Unlock()
	s.triggerAnnounce()
}
