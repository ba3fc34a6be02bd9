package admission

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// serverCapacity sums up the servers that can run a request and their backlog.
type serverCapacity struct {
	servers       int
	slots         int
	running       float64
	prefillRate   float64 // tokens/s of all servers
	decodeRate    float64 // tokens/s of all servers
	prefillTokens float64 // waiting at servers
	urgentTokens  float64 // the part that an urgent request waits for
	decodeTokens  float64 // running or waiting at servers
	// maxPrefillRate is the rate, in tokens/s, of the server that prefills fastest.
	maxPrefillRate float64
}

// capacityFor adds up the servers. A server's report is as old as its lag, so the requests
// sent since are added: this entry's, multiplied by the number of entries, on the
// assumption that the others have sent as much.
func capacityFor(now time.Duration, w *decision.Work, fleet *decision.Fleet) serverCapacity {
	var s serverCapacity
	for i := range fleet.Servers {
		server := &fleet.Servers[i]
		// The slots of a server with a rate limit say nothing about how much it accepts.
		if server.Serves(w) && server.RateLimit == 0 {
			s.add(now, w, server, float64(max(1, fleet.Entries)))
		}
	}
	return s
}

func (s *serverCapacity) add(now time.Duration, w *decision.Work, server *decision.Server, entries float64) {
	load := &server.Load
	s.servers++
	s.slots += max(1, server.Slots)
	s.running += float64(load.Running+load.Queued) + float64(server.InFlight.RequestsSinceReport)*entries
	if server.Kind == declaration.KindPlain {
		return
	}
	if server.ReportsCountsOnly {
		s.addCountsOnly(w, server)
		return
	}
	age := max(0, (now - server.ReportedAt).Seconds())
	prefillRate, decodeRate := server.PrefillRate(), server.DecodeRate()
	if server.Role != engineapi.RoleDecode {
		s.prefillRate += prefillRate
		s.maxPrefillRate = max(s.maxPrefillRate, prefillRate)
		s.prefillTokens += remaining(float64(load.QueuedPrefillTokens), prefillRate, age) +
			float64(server.InFlight.PrefillTokensSinceReport)*entries
	}
	s.urgentTokens += float64(server.InFlight.UrgentPrefillTokens) * entries
	if server.Role != engineapi.RolePrefill {
		s.decodeRate += decodeRate
		s.decodeTokens += remaining(float64(load.RunningDecodeTokens), decodeRate, age) +
			float64(server.InFlight.DecodeTokensSinceReport)*entries
	}
}

// addCountsOnly adds a server that reports only counts. Its estimate covers the requests of
// all entries, so nothing is multiplied by their number.
func (s *serverCapacity) addCountsOnly(w *decision.Work, server *decision.Server) {
	if server.Role != engineapi.RoleDecode {
		s.prefillRate += server.PrefillRate()
		s.maxPrefillRate = max(s.maxPrefillRate, server.PrefillRate())
		backlog := server.PrefillTokensAhead(w)
		s.prefillTokens += backlog
		s.urgentTokens += backlog
	}
	if server.Role != engineapi.RolePrefill {
		s.decodeRate += server.DecodeRate()
		s.decodeTokens += float64(server.InFlight.DecodeTokens)
	}
}

// remaining returns what is left of the reported tokens after age seconds of work at rate.
func remaining(tokens, rate, age float64) float64 { return max(0, tokens-rate*age) }
