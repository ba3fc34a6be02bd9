package entry

import (
	"cmp"
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/wire"
)

// fleet gives the servers as the decisions see them, for one request: one that a
// server has failed goes to others while there are any. While there are no suspects
// it is the same for all and made once per step and
// dispatch: with thousands of servers and a full queue it is the largest cost
// of a step.
func (r *Reducer) fleet(q *request) decision.Fleet {
	if len(r.suspects.byKey) > 0 {
		f := r.newFleet(q, func(s *server) bool { return r.suspects.apart(r, q, s) })
		r.suspects.spread(r, q, &f)
		return f
	}
	if len(q.tried) > 0 {
		if f := r.newFleet(q, func(s *server) bool { return !slices.Contains(q.tried, s) }); anyServes(&f, &q.work) {
			return f
		}
	}
	if q.reserved != nil {
		return r.newFleet(q, func(*server) bool { return true })
	}
	if r.sharedFleet == nil {
		f := r.newFleet(nil, func(*server) bool { return true })
		r.sharedFleet = &f
	}
	return *r.sharedFleet
}

// anyLeft tells whether a server is there that could run the request now or after
// it has cooled.
func (r *Reducer) anyLeft(q *request) bool {
	return slices.ContainsFunc(r.servers.sorted, func(s *server) bool {
		if s.wants.Leaving || s.died || s.pb.Drained || s.pb.State == pb.ServerState_SERVER_STATE_GONE {
			return false
		}
		d := r.decisionServer(s, true)
		return d.Serves(&q.work)
	})
}

// mayTake tells whether a request may go to the server, also by a permit that it holds; a nil
// request holds none.
func (r *Reducer) mayTake(q *request, s *server) bool {
	return s.mayTakeWork(r.now, r.stale()) ||
		q != nil && q.reserved == s && s.inUse(r.now, r.stale()) && !s.wants.BackingOff(r.now)
}

func (r *Reducer) newFleet(q *request, allowed func(*server) bool) decision.Fleet {
	f := decision.Fleet{
		DataCentre: r.cfg.Identity.DataCentre, Entries: max(1, len(r.view.entries)),
		PrefixReportsEnabled: r.peers.known(r) >= mostPeers,
	}
	f.Servers = make([]decision.Server, 0, len(r.servers.sorted))
	stale, deal := r.stale(), r.peers.group.dealer(r.now)
	for _, s := range r.servers.sorted {
		usable := r.mayTake(q, s) && allowed(s)
		server := r.decisionServer(s, usable)
		if s.wants.Limited(r.now) {
			server.RateLimit, server.AvailableIn = s.wants.Limit.Rate(), s.wants.AvailableIn(r.now)
			server.Throttled = !usable && s.inUse(r.now, stale) && allowed(s)
		}
		server.PreferredByOtherGroup = deal.othersFirst(s.pb)
		f.Servers = append(f.Servers, server)
	}
	return f
}

func (r *Reducer) decisionServer(s *server, usable bool) decision.Server {
	running, waiting := s.others.Estimate(r.now, *s.usualOfRole)
	fixed := 0.0
	if r.speeds.learns(s) {
		fixed = r.speeds.reading(s).FixedSeconds() * s.slowness.Value(r.now)
	}
	return decision.Server{
		ID: s.pb.Id, Incarnation: s.pb.Incarnation, Address: s.pb.Address,
		DataCentre: s.pb.DataCentre, Kind: wire.Kind(s.pb.Kind), Services: s.pb.Services,
		Model: s.pb.Model, Adapters: s.pb.Adapters,
		// A plain service does all of its work, as a mixed engine does.
		Role:   cmp.Or(wire.Role(s.pb.Role), engineapi.RoleMixed),
		Usable: usable, Slots: int(s.pb.Slots), Load: r.loadOf(s), ReportedAt: s.reportedAt,
		ReportsCountsOnly: s.countsOnly(), EstimatedPeerRunning: running, EstimatedPeerWaiting: waiting,
		PeerBacklog: r.peers.heard.BacklogAt(r.now, s.pb.Id), PeerCoverage: r.peers.known(r),
		PrefillOverheadSeconds: fixed, MeanPrefillTokens: s.usual.unread, MeanKVTokens: s.usual.kv, InFlight: r.sent(s),
	}
}

// countsOnly tells that the server reports how many requests it has, and no
// tokens: its rates are never reported either.
func (s *server) countsOnly() bool { return s.load.PrefillRate == 0 && s.load.DecodeRate == 0 }

// loadOf is the server's load with the rates that are assumed of it if it
// reports none.
func (r *Reducer) loadOf(s *server) engineapi.Load {
	load := s.load
	if s.pb.Kind != pb.ServerKind_SERVER_KIND_MODEL {
		return load
	}
	if r.speeds.learns(s) {
		load.PrefillRate = r.speeds.reading(s).Rate() / s.slowness.Value(r.now)
	}
	if load.KVTokens == 0 {
		load.KVTokens = r.view.cacheTokens[s.pb.Model]
	}
	if load.DecodeRate == 0 && r.cfg.AssumedPace.TokenTime > 0 {
		load.DecodeRate = float64(max(1, s.pb.Slots)) / r.speeds.tokenTime(s)
	}
	return load
}

func (r *Reducer) sent(s *server) decision.InFlight {
	sent := decision.InFlight{Requests: len(s.running)}
	for _, id := range s.running {
		q := r.requests[id]
		if s == q.prefiller() {
			sent.PrefillTokens += q.prefillLeft()
			sent.PrefillBacklog.AddTokens(q.work.Rank, q.prefillLeft())
			if q.work.Class != declaration.ClassBulk {
				sent.UrgentPrefillTokens += q.prefillLeft()
			}
		}
		sent.DecodeTokens += q.decodeLeft()
		sent.KVTokens += q.work.PromptTokens + q.work.OutputTokens
	}
	for _, w := range s.since {
		sent.RequestsSinceReport++
		sent.PrefillTokensSinceReport += w.tokens.Prefill
		sent.DecodeTokensSinceReport += w.tokens.Decode
		sent.KVTokensSinceReport += w.tokens.KV
	}
	return sent
}
