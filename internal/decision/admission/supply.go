package admission

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// supply sums up the servers that can run a work and what they have to do.
type supply struct {
	servers       int
	slots         int
	running       float64
	prefillRate   float64 // tokens/s of all
	decodeRate    float64 // tokens/s of all
	prefillTokens float64 // that wait at servers
	urgentTokens  float64 // those of them that urgent work waits for
	decodeTokens  float64 // that run or wait at servers
	// bestPrefill and bestToken are what one request gets at best: tokens/s
	// and time per token.
	bestPrefill float64
}

// supplyFor adds the servers up. A server's report is as old as its lag; what
// was sent since, by this entry and presumably by each of the others, is added.
func supplyFor(now time.Duration, w *decision.Work, fleet *decision.Fleet) supply {
	var s supply
	for i := range fleet.Servers {
		server := &fleet.Servers[i]
		// What a server that names a limit takes has nothing to do with its places.
		if server.Serves(w) && server.RateLimit == 0 {
			s.add(now, w, server, float64(max(1, fleet.Entries)))
		}
	}
	return s
}

func (s *supply) add(now time.Duration, w *decision.Work, server *decision.Server, entries float64) {
	load := &server.Load
	s.servers++
	s.slots += max(1, server.Slots)
	s.running += float64(load.Running+load.Queued) + float64(server.InFlight.RequestsSinceReport)*entries
	if server.Kind == declaration.KindPlain {
		return
	}
	if server.ReportsCountsOnly {
		s.addCounted(w, server)
		return
	}
	age := max(0, (now - server.ReportedAt).Seconds())
	prefillRate, decodeRate := server.PrefillRate(), server.DecodeRate()
	if server.Role != engineapi.RoleDecode {
		s.prefillRate += prefillRate
		s.bestPrefill = max(s.bestPrefill, prefillRate)
		s.prefillTokens += left(float64(load.QueuedPrefillTokens), prefillRate, age) +
			float64(server.InFlight.PrefillTokensSinceReport)*entries
	}
	s.urgentTokens += float64(server.InFlight.UrgentPrefillTokens) * entries
	if server.Role != engineapi.RolePrefill {
		s.decodeRate += decodeRate
		s.decodeTokens += left(float64(load.RunningDecodeTokens), decodeRate, age) +
			float64(server.InFlight.DecodeTokensSinceReport)*entries
	}
}

// addCounted adds a server that reports counts only. Its estimate is of all
// entries' requests, so that nothing is multiplied by them.
func (s *supply) addCounted(w *decision.Work, server *decision.Server) {
	if server.Role != engineapi.RoleDecode {
		s.prefillRate += server.PrefillRate()
		s.bestPrefill = max(s.bestPrefill, server.PrefillRate())
		backlog := server.PrefillTokensAhead(w)
		s.prefillTokens += backlog
		s.urgentTokens += backlog
	}
	if server.Role != engineapi.RolePrefill {
		s.decodeRate += server.DecodeRate()
		s.decodeTokens += float64(server.InFlight.DecodeTokens)
	}
}

// left is what remains of reported tokens after age seconds of work at rate.
func left(tokens, rate, age float64) float64 { return max(0, tokens-rate*age) }
