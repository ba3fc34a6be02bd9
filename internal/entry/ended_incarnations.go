package entry

import "goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"

// maxEndedIncarnations bounds the incarnations whose backpressure state is kept after the view
// has dropped them.
const maxEndedIncarnations = 4096

// endedIncarnations keeps the backpressure state of servers that the view no longer contains,
// oldest first.
//
// A late heartbeat, or a control replica that lags behind, can bring back a server that the view
// had dropped. It is the same incarnation, and what it asked for still applies.
type endedIncarnations struct {
	states map[string]*backpressure.ServerState
	order  []string
}

// keep stores the state of a server that is dropped. It ignores nil and servers without such
// state.
func (e *endedIncarnations) keep(s *server) {
	if s == nil || !s.backpressure.HasSignal() {
		return
	}
	if e.states == nil {
		e.states = make(map[string]*backpressure.ServerState)
	}
	incarnation := s.pb.Incarnation
	if e.states[incarnation] == nil {
		e.order = append(e.order, incarnation)
	}
	e.states[incarnation] = s.backpressure
	if len(e.order) > maxEndedIncarnations {
		delete(e.states, e.order[0])
		e.order = e.order[1:]
	}
}

// take returns the known backpressure state of an incarnation, or an empty one.
func (e *endedIncarnations) take(incarnation string) *backpressure.ServerState {
	if known := e.states[incarnation]; known != nil {
		return known
	}
	return &backpressure.ServerState{}
}

// keepEnded stores the states of all servers that a full view may leave out.
func (t *serverTable) keepEnded(old map[string]*server) {
	for _, id := range sortedKeys(old) {
		t.ended.keep(old[id])
	}
}
