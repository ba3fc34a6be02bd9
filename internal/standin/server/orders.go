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

// orderBook is what an engine knows of its orders, and what they made of it.
type orderBook struct {
	role     engineapi.Role
	model    string
	version  string
	adapters []string
	newest   engineapi.FencingToken
	running  *engineapi.Order
	last     engineapi.Order
	results  map[string]string
}

func newOrderBook(role engineapi.Role, model, version string) orderBook {
	return orderBook{role: role, model: model, version: version, results: make(map[string]string)}
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o engineapi.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil || o.ID == "" {
		http.Error(w, "not an order", http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, s.takeOrder(o))
	s.announceNow()
}

func (s *Server) takeOrder(o engineapi.Order) engineapi.OrderAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.orders
	s.journal.Write(journal.Record{Event: journal.OrderReceived, Order: &o, NewestToken: b.newest})
	result, reason := s.judge(o)
	if result == "" {
		s.begin(o)
		result = engineapi.OrderRunning
	} else if result == engineapi.OrderStale || result == engineapi.OrderRefused {
		s.journal.Write(journal.Record{Event: journal.OrderRejected, Order: &o, NewestToken: b.newest, Reason: reason})
	}
	return engineapi.OrderAnswer{ID: o.ID, Result: result, Reason: reason, Newest: b.newest}
}

// judge gives the result of an order that is not to be begun, else "". An
// engine that ignores fencing tokens begins whatever is new to it.
func (s *Server) judge(o engineapi.Order) (result, reason string) {
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
	if !b.newest.Less(o.Token) {
		return engineapi.OrderStale, "this token or a newer one has been seen"
	}
	b.newest = o.Token
	if b.running != nil {
		return engineapi.OrderRefused, "another order is being carried out"
	}
	return "", ""
}

// begin must be called with mu held. A change of role or model takes the
// engine away: what still runs on it is cut.
func (s *Server) begin(o engineapi.Order) {
	b := &s.orders
	if b.newest.Less(o.Token) {
		b.newest = o.Token
	}
	b.running = &o
	b.results[o.ID] = engineapi.OrderRunning
	s.journal.Write(journal.Record{Event: journal.OrderStarted, Order: &o})
	if o.Kind != engineapi.OrderLoadAdapter {
		s.cutStreams(&o, func(streamKey) bool { return true })
	}
	time.AfterFunc(s.config.real(s.config.ChangeTime), func() { s.finishOrder(o) })
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
	b.last = o
	if o.Kind != engineapi.OrderLoadAdapter {
		s.model = enginemodel.New(s.now(), s.config.model(), b.role)
	}
	if b.running != nil && b.running.ID == o.ID {
		b.running = nil
	}
	s.journal.Write(journal.Record{Event: journal.OrderDone, Order: &o})
	s.mu.Unlock()
	s.announceNow()
}
