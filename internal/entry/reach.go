package entry

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// unansweredTime is how long a server may leave a request without any sign of life before it
	// counts as not answering. Sound servers may pause for about a second.
	unansweredTime = time.Second
	// quietTime is how long no server of a pool may have answered before the entry takes itself for
	// cut off from it: while servers fail for other reasons, some of the others answer.
	quietTime = 300 * time.Millisecond
	// silenceTime is how long the last of the servers must have been silent. A sound server answers
	// a probe within it, if not the first one on a busy machine.
	silenceTime = 300 * time.Millisecond
	// enoughSilent is how many servers that don't answer are proof in a large pool.
	enoughSilent = 8
	// firstSilent is how many of them are reason to probe the others after quietTime. After
	// unansweredTime one is.
	firstSilent = 2
	// reachInterval is the time between two looks at the servers.
	reachInterval = 100 * time.Millisecond
)

// reach is what the entry finds out about its links to the pools of servers.
//
// A machine can lose its links to all servers while callers, control and other entries still reach
// it. Its requests would hang or fail one after the other, although another entry could pass them
// on. The sign is that no server of a pool answers: one that does shows that the link is there, so
// that failures of some servers, however many, are no reason.
type reach struct {
	// cutOffSince has the pools that the entry is cut off from.
	cutOffSince map[string]time.Duration
	// quiet has all pools at the last look, and whether their servers have stopped to answer.
	quiet    map[string]bool
	lookedAt time.Duration
}

func newReach() reach { return reach{cutOffSince: make(map[string]time.Duration)} }

// poolReach is what is known of one pool.
type poolReach struct {
	servers, silent int
	// lastAnswer is when one of them answered last, lastSilent when one fell silent last.
	lastAnswer, lastSilent time.Duration
}

// noAnswer records that the server did not answer.
func (s *server) noAnswer(now time.Duration) {
	if !s.silent() {
		s.unansweredAt = now
	}
}

// silent reports whether the server has not answered since a request or probe went unanswered.
func (s *server) silent() bool { return s.unansweredAt > s.aliveAt }

// anySilent reports whether a server that could run the request does not answer this entry.
func (r *Reducer) anySilent(q *request) bool {
	return slices.ContainsFunc(r.servers.sorted, func(s *server) bool {
		if !s.silent() {
			return false
		}
		d := r.decisionServer(s, true)
		return d.Serves(&q.work)
	})
}

// noteUnanswered records which servers have left a request without a sign of life for too long. On
// a connection that carries no more packets nothing else tells for many seconds.
func (r *Reducer) noteUnanswered(s *server) {
	for _, id := range s.running {
		if sent := r.requests[id].sentAt; sent > s.aliveAt && r.now-sent >= unansweredTime {
			s.noAnswer(r.now)
		}
	}
}

// pools returns what is known of the pools of servers that could take work.
func (r *Reducer) pools() map[string]*poolReach {
	pools := make(map[string]*poolReach)
	for _, s := range r.servers.sorted {
		if s.backpressure.Leaving || s.pb.Drained || s.pb.State != pb.ServerState_SERVER_STATE_SERVING {
			continue
		}
		r.noteUnanswered(s)
		pool := roleOf(s.pb).pool
		p := pools[pool]
		if p == nil {
			p = &poolReach{}
			pools[pool] = p
		}
		p.servers++
		p.lastAnswer = max(p.lastAnswer, s.aliveAt)
		if s.silent() {
			p.silent++
			p.lastSilent = max(p.lastSilent, s.unansweredAt)
		}
	}
	return pools
}

// quiet reports whether servers of the pool don't answer and none has of late.
func (p *poolReach) quiet(now time.Duration) bool {
	switch quietFor := now - p.lastAnswer; {
	case p.silent >= min(firstSilent, p.servers):
		return quietFor >= quietTime
	default:
		return p.silent > 0 && quietFor >= unansweredTime
	}
}

// untested reports whether nothing was heard of the pool of late, as nothing was sent to it. While the
// entry is cut off from another pool, it asks these servers too.
func (p *poolReach) untested(now time.Duration) bool { return now-p.lastAnswer >= unansweredTime }

func (p *poolReach) unreachable(now time.Duration) bool {
	return p.quiet(now) && p.silent >= min(enoughSilent, p.servers) && now-p.lastSilent >= silenceTime
}

// updateReach finds the pools that the entry is cut off from. A pool counts until one of its
// servers answers.
func (r *Reducer) updateReach() {
	if r.now-r.reach.lookedAt < reachInterval {
		return
	}
	pools := r.pools()
	r.reach.lookedAt, r.reach.quiet = r.now, make(map[string]bool, len(pools))
	for _, name := range sortedKeys(pools) {
		p := pools[name]
		since, cutOff := r.reach.cutOffSince[name]
		r.reach.quiet[name] = p.quiet(r.now) || len(r.reach.cutOffSince) > 0 && p.untested(r.now)
		switch {
		case cutOff && p.lastAnswer > since:
			r.setCutOff(name, p, false)
		case !cutOff && p.unreachable(r.now):
			r.setCutOff(name, p, true)
		}
	}
	for _, name := range sortedKeys(r.reach.cutOffSince) {
		if pools[name] == nil {
			r.setCutOff(name, &poolReach{}, false)
		}
	}
}

func (r *Reducer) setCutOff(pool string, p *poolReach, cutOff bool) {
	reason := "a server answers again"
	if cutOff {
		r.reach.cutOffSince[pool] = r.now
		reason = "cut off: no server answers"
	} else {
		delete(r.reach.cutOffSince, pool)
	}
	r.dirty = true
	r.emit(LogDecision{Kind: LogReach, Server: pool, Reason: reason, Figures: []Figure{
		{Name: "servers", Value: float64(p.servers)}, {Name: "silent", Value: float64(p.silent)},
		{Name: "last_answer_ms_ago", Value: float64((r.now - p.lastAnswer).Milliseconds())},
	}})
}

// cutOffPools returns the pools that the entry is cut off from, and whether those are all.
func (r *Reducer) cutOffPools() (pools map[string]bool, all bool) {
	pools = make(map[string]bool, len(r.reach.cutOffSince))
	for name := range r.reach.cutOffSince {
		pools[name] = true
	}
	return pools, len(pools) > 0 && len(pools) == len(r.reach.quiet)
}
