package placement

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Bounds and steps of the factor by which a server's slots are multiplied.
const (
	fullFactor = 1.0
	// minFactor leaves a slow server a few requests: without any it could never show that it has
	// recovered.
	minFactor = 0.1
	// factorIncrease is added per good result: some 45 results lead from minFactor to fullFactor.
	factorIncrease = 0.02
	// factorDecrease multiplies the factor on a bad result.
	factorDecrease = 0.8
	// slowThreshold is the multiple of the median token time of comparable servers above which a
	// server counts as slow. A step with a full batch takes 1.8 to 2.9 times as long as one with
	// a single stream, which is no fault of the server, so only current times are compared.
	slowThreshold = 2.5
	// minComparedServers is the number of servers, itself included, that a comparison needs: of
	// two servers neither is the normal one.
	minComparedServers = 3
	// decreaseInterval is the minimum time between decreases: all streams of one slow second show
	// the same problem.
	decreaseInterval = time.Second
	// averageWeight is the weight of a new result in a server's moving average.
	averageWeight = 0.1
)

// serverLimit is the concurrency limit of one server.
type serverLimit struct {
	id    string
	group comparisonGroup
	// factor is the share of the slots that may be used.
	factor float64
	// tokenTime is the moving average of the time per token, in seconds; 0 if unknown.
	tokenTime    float64
	lastDecrease time.Duration
}

// comparisonGroup identifies servers whose times can be compared. A call of a plain service takes
// 20 ms, ten tokens of a stream take 90 ms.
type comparisonGroup struct {
	kind, pool string
	role       engineapi.Role
}

func groupOf(s *decision.Server) comparisonGroup {
	group := comparisonGroup{kind: s.Kind, pool: s.Model, role: s.Role}
	if len(s.Services) > 0 {
		group.pool = s.Services[0]
	}
	return group
}

// serverLimits holds the limits by server id, and aligned with the fleet so that a pick needs no
// map lookup while the fleet is unchanged.
type serverLimits struct {
	byID    map[string]*serverLimit
	aligned []*serverLimit
	// indexByID holds each server's index in the fleet.
	indexByID map[string]int
	// timesBuf is reused by every comparison.
	timesBuf []float64
}

func newServerLimits() serverLimits {
	return serverLimits{byID: make(map[string]*serverLimit), indexByID: make(map[string]int)}
}

func (l *serverLimits) alignWith(fleet *decision.Fleet) {
	if len(l.aligned) != len(fleet.Servers) {
		l.aligned = make([]*serverLimit, len(fleet.Servers))
		clear(l.indexByID)
	}
	for i := range fleet.Servers {
		id := fleet.Servers[i].ID
		if l.aligned[i] == nil || l.aligned[i].id != id {
			l.aligned[i] = l.get(id)
			l.indexByID[id] = i
		}
		l.aligned[i].group = groupOf(&fleet.Servers[i])
	}
}

// indexOf returns a server's index in the fleet that was aligned last.
func (l *serverLimits) indexOf(fleet *decision.Fleet, id string) (int, bool) {
	i, ok := l.indexByID[id]
	return i, ok && fleet.Servers[i].ID == id
}

func (l *serverLimits) get(id string) *serverLimit {
	limit := l.byID[id]
	if limit == nil {
		limit = &serverLimit{id: id, factor: fullFactor}
		l.byID[id] = limit
	}
	return limit
}

func (l *serverLimits) forget(id string) {
	delete(l.byID, id)
	for i := range l.aligned {
		if l.aligned[i] != nil && l.aligned[i].id == id {
			l.aligned[i] = nil
		}
	}
}

func (l *serverLimits) observe(now time.Duration, id string, r Result) {
	server := l.get(id)
	if r.Failed {
		server.decrease(now)
		return
	}
	measured := tokenTime(r)
	if measured <= 0 {
		return
	}
	server.tokenTime = movingAverage(server.tokenTime, measured)
	if median, ok := l.medianTokenTime(server.group); ok && server.tokenTime > slowThreshold*median {
		server.decrease(now)
		return
	}
	server.factor = min(fullFactor, server.factor+factorIncrease)
}

func (s *serverLimit) decrease(now time.Duration) {
	if s.lastDecrease != 0 && now-s.lastDecrease < decreaseInterval {
		return
	}
	s.lastDecrease = now
	s.factor = max(minFactor, s.factor*factorDecrease)
}

// tokenTime returns the time per token in seconds, or the time per call of a plain service.
func tokenTime(r Result) float64 {
	if r.Tokens > 1 {
		return r.DecodeTime.Seconds() / float64(r.Tokens-1)
	}
	return r.TotalTime.Seconds()
}

// medianTokenTime returns the median of the current token times of a group; false if too few
// times are known. The median is not affected if up to a third of the servers are slow.
//
// Two simpler comparisons fail. Compared with their own earlier times, all engines of a fleet
// count as slow when its load rises; compared with plain services, whose calls are short, they
// count as slow as well. In both cases the limits fall to half of the slots and less, and
// requests wait two seconds although engines have free slots.
func (l *serverLimits) medianTokenTime(group comparisonGroup) (float64, bool) {
	l.timesBuf = l.timesBuf[:0]
	for _, s := range l.aligned {
		if s != nil && s.group == group && s.tokenTime > 0 {
			l.timesBuf = append(l.timesBuf, s.tokenTime)
		}
	}
	if len(l.timesBuf) < minComparedServers {
		return 0, false
	}
	slices.Sort(l.timesBuf)
	return l.timesBuf[len(l.timesBuf)/2], true
}

func movingAverage(average, value float64) float64 {
	if average == 0 {
		return value
	}
	return average + averageWeight*(value-average)
}

// allowedSlots returns how many requests the server may have, at least one.
func (s *serverLimit) allowedSlots(server *decision.Server) float64 {
	return max(1, s.factor*float64(max(1, server.Slots)))
}
