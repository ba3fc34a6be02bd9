package placement

import (
	"slices"
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
	// slowBy is how many times the median time of the servers that do the same work
	// counts as slow. They are compared as they are now: a full batch takes 1.8 to 2.9
	// times what one stream takes alone, which is no fault of the server.
	slowBy = 2.5
	// minCompared is how many such servers must be known, itself included: of two,
	// neither is the usual one.
	minCompared = 3
	// decreaseEvery bounds decreases to one per interval: all streams of one
	// slow second tell the same thing.
	decreaseEvery = time.Second
	// smoothing is the weight of a new result in a server's average.
	smoothing = 0.1
)

// limit is what is known of one server.
type limit struct {
	id   string
	work sameWork
	// factor of the slots that may be used.
	factor float64
	// tokenTime is the smoothed time per token, in seconds; 0 when not known.
	tokenTime float64
	decreased time.Duration
}

// sameWork names servers whose times can be compared: a call of a plain service takes
// 20 ms, ten tokens of a stream 90 ms.
type sameWork struct {
	kind, pool string
	role       engineapi.Role
}

func workOf(s *decision.Server) sameWork {
	w := sameWork{kind: s.Kind, pool: s.Model, role: s.Role}
	if len(s.Services) > 0 {
		w.pool = s.Services[0]
	}
	return w
}

// limits has them by id, and aligned with the fleet so that a pick looks nothing
// up in a map while the fleet stays the same.
type limits struct {
	byID    map[string]*limit
	aligned []*limit
	// index has each server's place in the fleet.
	index map[string]int
	// times is used again for each comparison.
	times []float64
}

func newLimits() limits {
	return limits{byID: make(map[string]*limit), index: make(map[string]int)}
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
		l.aligned[i].work = workOf(&fleet.Servers[i])
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
	if usual, ok := l.usual(server.work); ok && server.tokenTime > slowBy*usual {
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
		return r.DecodeTime.Seconds() / float64(r.Tokens-1)
	}
	return r.TotalTime.Seconds()
}

// usual is the median of the present times of the servers that do the same work, which
// a third of slow ones does not move; false while too few are known.
//
// Failure: held against the time that was usual before, all engines of a fleet counted as
// slow when its load rose, and as slow beside plain services, whose calls are short. Their
// places fell to a half and less, and requests waited two seconds, beside engines that had
// room.
func (l *limits) usual(work sameWork) (float64, bool) {
	l.times = l.times[:0]
	for _, s := range l.aligned {
		if s != nil && s.work == work && s.tokenTime > 0 {
			l.times = append(l.times, s.tokenTime)
		}
	}
	if len(l.times) < minCompared {
		return 0, false
	}
	slices.Sort(l.times)
	return l.times[len(l.times)/2], true
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
