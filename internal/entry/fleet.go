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

// fleet returns the servers in the form that the decisions use, for one request. A request that
// a server has failed goes to other servers as long as there are any, and not to the server's next
// incarnation, which is empty and the cheapest. While no request is on
// probation, the fleet is the same for all others and is built once per step and dispatch: with
// thousands of servers and a full queue it is the largest cost of a step.
func (r *Reducer) fleet(q *request) decision.Fleet {
	isolates := r.anyOnProbation()
	if len(q.failedServers) > 0 {
		f := r.fleetFor(q, isolates, func(s *server) bool { return !slices.Contains(q.failedServers, s.pb.Id) })
		if anyServes(&f, &q.work) {
			return f
		}
	}
	if isolates || q.reserved != nil {
		return r.fleetFor(q, isolates, func(*server) bool { return true })
	}
	if r.sharedFleet == nil {
		f := r.newFleet(nil, func(*server) bool { return true })
		r.sharedFleet = &f
	}
	return *r.sharedFleet
}

// fleetFor returns the allowed servers for one request. If it isolates, suspects are kept from each
// other and from other requests.
func (r *Reducer) fleetFor(q *request, isolates bool, allowed func(*server) bool) decision.Fleet {
	if !isolates {
		return r.newFleet(q, allowed)
	}
	f := r.newFleet(q, func(s *server) bool { return allowed(s) && r.suspects.mayShareServer(r, q, s) })
	r.suspects.pinToServer(r, q, &f)
	return f
}

// anyCandidate reports whether some server could run the request at once or after its cool-down.
func (r *Reducer) anyCandidate(q *request) bool {
	return slices.ContainsFunc(r.servers.sorted, func(s *server) bool {
		if !s.mayServe() {
			return false
		}
		d := r.decisionServer(s, true)
		return d.Serves(&q.work)
	})
}

// mayServe reports whether the server may take work, now or later.
func (s *server) mayServe() bool {
	return !s.backpressure.Leaving && !s.died && !s.pb.Drained && s.pb.State != pb.ServerState_SERVER_STATE_GONE
}

// canTake reports whether a request may go to the server, including by a permit that the request
// holds. A nil request holds none.
func (r *Reducer) canTake(q *request, s *server) bool {
	return s.acceptsWork(r.now, r.stale()) ||
		q != nil && q.reserved == s && s.available(r.now, r.stale()) && !s.backpressure.BackingOff(r.now)
}

func (r *Reducer) newFleet(q *request, allowed func(*server) bool) decision.Fleet {
	f := decision.Fleet{
		DataCentre: r.cfg.Identity.DataCentre, Entries: max(1, len(r.view.entries)),
		PrefixReportsEnabled: r.peers.knownFraction(r) >= minPeersKnown,
	}
	f.Servers = make([]decision.Server, 0, len(r.servers.sorted))
	stale, partition := r.stale(), r.peers.group.partition(r.now)
	for _, s := range r.servers.sorted {
		usable := r.canTake(q, s) && allowed(s)
		server := r.decisionServer(s, usable)
		if s.backpressure.Limited(r.now) {
			server.RateLimit, server.AvailableIn = s.backpressure.Limit.Rate(), s.backpressure.AvailableIn(r.now)
			server.Throttled = !usable && s.available(r.now, stale) && allowed(s)
		}
		server.PreferredByOtherGroup = partition.preferredByOthers(s.pb)
		f.Servers = append(f.Servers, server)
	}
	return f
}

func (r *Reducer) decisionServer(s *server, usable bool) decision.Server {
	running, waiting := s.otherEntries.Estimate(r.now, *s.roleAverage)
	fixed := 0.0
	if r.speeds.learnsFrom(s) {
		fixed = r.speeds.prefillEstimate(s).FixedSeconds() * s.slowness.Value(r.now)
	}
	return decision.Server{
		ID: s.pb.Id, Incarnation: s.pb.Incarnation, Address: s.pb.Address,
		DataCentre: s.pb.DataCentre, SoftwareVersion: s.pb.SoftwareVersion, Kind: wire.Kind(s.pb.Kind), Services: s.pb.Services,
		Model: s.pb.Model, Adapters: s.pb.Adapters,
		// A plain service does all of its work by itself, as a mixed engine does.
		Role:   cmp.Or(wire.Role(s.pb.Role), engineapi.RoleMixed),
		Usable: usable, Slots: int(s.pb.Slots), Load: r.effectiveLoad(s), ReportedAt: s.reportedAt,
		ReportsCountsOnly: s.reportsCountsOnly(), EstimatedPeerRunning: running, EstimatedPeerWaiting: waiting,
		PeerBacklog: r.peers.reports.BacklogAt(r.now, s.pb.Id), PeerCoverage: r.peers.knownFraction(r),
		PrefillOverheadSeconds: fixed, MeanPrefillTokens: s.averageWork.prefill, MeanKVTokens: s.averageWork.kv, InFlight: r.outstanding(s),
	}
}

// reportsCountsOnly reports whether the server reports request counts but no tokens. Such a
// server never reports rates either.
func (s *server) reportsCountsOnly() bool { return s.load.PrefillRate == 0 && s.load.DecodeRate == 0 }

// effectiveLoad returns the server's load, with assumed rates if it reports none.
func (r *Reducer) effectiveLoad(s *server) engineapi.Load {
	load := s.load
	if s.pb.Kind != pb.ServerKind_SERVER_KIND_MODEL {
		return load
	}
	if r.speeds.learnsFrom(s) {
		load.PrefillRate = r.speeds.prefillEstimate(s).Rate() / s.slowness.Value(r.now)
	}
	if load.KVTokens == 0 {
		load.KVTokens = r.view.cacheTokens[s.pb.Model]
	}
	if load.DecodeRate == 0 && r.cfg.AssumedSpeed.TokenTime > 0 {
		load.DecodeRate = float64(max(1, s.pb.Slots)) / r.speeds.tokenTime(s)
	}
	return load
}

func (r *Reducer) outstanding(s *server) decision.InFlight {
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
	for _, w := range s.sentSinceReport {
		sent.RequestsSinceReport++
		sent.PrefillTokensSinceReport += w.tokens.Prefill
		sent.DecodeTokensSinceReport += w.tokens.Decode
		sent.KVTokensSinceReport += w.tokens.KV
	}
	return sent
}
