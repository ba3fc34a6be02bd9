package entry

import "goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"

// maxEndedLives bounds the lives of servers whose word is kept after the view has dropped them.
const maxEndedLives = 4096

// livesEnded keeps what servers wanted that the view names no more, the oldest first.
//
// Failure: a late heartbeat, or a control replica that has fallen behind, brings a server back
// that the view had dropped. It is the same life, and what it said counts on.
type livesEnded struct {
	wants map[string]*backpressure.ServerState
	order []string
}

// keep keeps the word of a server that is dropped; nil and those without a word are passed over.
func (l *livesEnded) keep(s *server) {
	if s == nil || !s.wants.HasSignal() {
		return
	}
	if l.wants == nil {
		l.wants = make(map[string]*backpressure.ServerState)
	}
	life := s.pb.Incarnation
	if l.wants[life] == nil {
		l.order = append(l.order, life)
	}
	l.wants[life] = s.wants
	if len(l.order) > maxEndedLives {
		delete(l.wants, l.order[0])
		l.order = l.order[1:]
	}
}

// take gives what a life of a server is known to want.
func (l *livesEnded) take(life string) *backpressure.ServerState {
	if known := l.wants[life]; known != nil {
		return known
	}
	return &backpressure.ServerState{}
}

// keepEnded keeps the words of all servers that a whole view may leave out.
func (t *serverTable) keepEnded(old map[string]*server) {
	for _, id := range sortedKeys(old) {
		t.lives.keep(old[id])
	}
}
