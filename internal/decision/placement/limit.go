package placement

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Bounds and steps of the factor by which a server's slots are multiplied.
const (
	// fullFactor: all slots.
	fullFactor = 1.0
	// minFactor keeps a slow server at a few requests: without any it could
	// never show that it is fast again.
	minFactor = 0.1
	// increase per good result; from minFactor to full in some 45 results.
	increase = 0.02
	// decrease on a bad one.
	decrease = 0.8
	// slowBy is how many times the typical latency of its role counts as slow.
	// A full batch takes 1.8 times what one stream takes alone, which is no
	// fault of the server.
	slowBy = 2.5
	// decreaseEvery bounds decreases to one per interval: all streams of one
	// slow second tell the same thing.
	decreaseEvery = time.Second
	// smoothing is the weight of a new result in a server's average.
	smoothing = 0.1
	// typicalStep is how far one result moves the typical time, up or down: so
	// it settles at the median, which a third of slow servers does not move.
	typicalStep = 0.02
)

// limit is what is known of one server.
type limit struct {
	id   string
	role engineapi.Role
	// factor of the slots that may be used.
	factor float64
	// tokenTime is the smoothed time per token, in seconds; 0 when not known.
	tokenTime float64
	decreased time.Duration
}

// limits has them by id, and aligned with the fleet so that a pick looks nothing
// up in a map while the fleet stays the same.
type limits struct {
	byID    map[string]*limit
	aligned []*limit
	// index has each server's place in the fleet.
	index map[string]int
	// typical is the median time per token of each role, in seconds: streams
	// beside prefill on a mixed engine take more than twice what they take on a
	// decode engine.
	typical map[engineapi.Role]*median
}

func newLimits() limits {
	return limits{
		byID: make(map[string]*limit), index: make(map[string]int),
		typical: make(map[engineapi.Role]*median),
	}
}

func (l *limits) align(fleet *decision.Fleet) {
	if len(l.aligned) != len(fleet.Servers) {
		l.aligned = make([]*limit, len(fleet.Servers))
		clear(l.index)
	}
	for i := range fleet.Servers {
		id := fleet.Servers[i].ID
		if l.aligned[i] == nil || l.aligned[i].id != id {
			l.aligned[i] = l.of(id)
			l.index[id] = i
		}
		l.aligned[i].role = fleet.Servers[i].Role
	}
}

// indexOf gives a server's place in the fleet that was aligned last.
func (l *limits) indexOf(fleet *decision.Fleet, id string) (int, bool) {
	i, ok := l.index[id]
	return i, ok && fleet.Servers[i].ID == id
}

func (l *limits) of(id string) *limit {
	known := l.byID[id]
	if known == nil {
		known = &limit{id: id, factor: fullFactor}
		l.byID[id] = known
	}
	return known
}

func (l *limits) forget(id string) {
	delete(l.byID, id)
	for i := range l.aligned {
		if l.aligned[i] != nil && l.aligned[i].id == id {
			l.aligned[i] = nil
		}
	}
}

func (l *limits) observe(now time.Duration, id string, r Result) {
	server := l.of(id)
	if r.Failed {
		server.lower(now)
		return
	}
	measured := tokenTime(r)
	if measured <= 0 {
		return
	}
	server.tokenTime = smooth(server.tokenTime, measured)
	if server.tokenTime > slowBy*l.median(server.role).add(measured) {
		server.lower(now)
		return
	}
	server.factor = min(fullFactor, server.factor+increase)
}

func (s *limit) lower(now time.Duration) {
	if s.decreased != 0 && now-s.decreased < decreaseEvery {
		return
	}
	s.decreased = now
	s.factor = max(minFactor, s.factor*decrease)
}

// tokenTime is the time per token in seconds, or per call of a plain service.
func tokenTime(r Result) float64 {
	if r.Tokens > 1 {
		return r.Decode.Seconds() / float64(r.Tokens-1)
	}
	return r.Took.Seconds()
}

func (l *limits) median(role engineapi.Role) *median {
	m := l.typical[role]
	if m == nil {
		m = &median{}
		l.typical[role] = m
	}
	return m
}

// median follows the middle of a stream of values.
type median struct {
	value float64
	count int
}

// add moves the median by one value, the first ones by more: the very first may
// be a slow server's.
func (m *median) add(v float64) float64 {
	m.count++
	step := max(typicalStep, 0.5/float64(m.count))
	switch {
	case m.count == 1:
		m.value = v
	case v > m.value:
		m.value *= 1 + step
	default:
		m.value *= 1 - step
	}
	return m.value
}

func smooth(old, value float64) float64 {
	if old == 0 {
		return value
	}
	return old + smoothing*(value-old)
}

// slots is how many requests the server may have, at least one.
func (s *limit) slots(server *decision.Server) float64 {
	return max(1, s.factor*float64(max(1, server.Slots)))
}
