package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// maxSharedParts bounds the parts of a prompt that are told apart if it crashes servers.
const maxSharedParts = 32

func engineSpeed(set *settings.Entry) decision.EngineSpeed {
	return decision.EngineSpeed{PrefillRate: set.Engines.PrefillRate, TokenTime: set.Engines.TokenTime}
}

func credentialLimits(c settings.Credentials) entry.CredentialLimits {
	return entry.CredentialLimits{Strict: c.Strict, ConfirmedWithin: c.ConfirmedWithin}
}

// requestArrived describes the request to the reducer. arrivedAt is its arrival as time since
// boot, from the origin of the stream that it takes up, nil for none.
func (s *Server) requestArrived(
	r *Request, arrivedAt time.Duration, route *declaration.HostRoute, snap *entry.Snapshot, from *decision.Origin,
) entry.RequestArrived {
	service := targetOf(r, route, snap.Declaration, from)
	profile := snap.Declaration.Profile(route.Profile)
	timeout := route.Timeout
	if r.CallerTimeout > 0 {
		timeout = min(timeout, r.CallerTimeout-transitAllowance)
	}
	w := decision.Work{
		RequestID: host.NewRunKey(r.ID), MemberWeight: 1, Service: service.Name, Profile: profile.Name,
		ProfileShare: profile.Share, Class: profile.Class, Kind: service.Kind, Model: service.Model,
		Arrived: arrivedAt, FirstTokenBy: arrivedAt + profile.FirstToken, FinishBy: arrivedAt + timeout,
		SoftFirstTokenDeadline: true, EngineSpeed: engineSpeed(s.host.Settings), Rank: route.Rank,
		Origin: from, Resumed: from != nil,
	}
	w.EngineSpeed.KVTransferRate = service.KVTransferRate
	if r.Prompt != nil {
		r.Prompt.addTo(&w)
	}
	return entry.RequestArrived{
		Work: w, Retry: retryRule(route), Fingerprint: fingerprint(r), RetryBudget: profile.RetryBudget,
		MaxRuns: route.MaxRuns, HardDeadline: true, MembersOnly: route.MembersOnly, Credential: credentialHash(r),
		Forwarded: r.ForwardedBy != "",
	}
}

// targetOf returns the service that runs the request: for a stream that is taken up the one that began
// it, if the route still leads there.
func targetOf(r *Request, route *declaration.HostRoute, d *declaration.Declaration, from *decision.Origin) *declaration.Service {
	if from != nil {
		for _, t := range route.Targets {
			service := d.Service(t.Service)
			if service != nil && poolOf(service) == from.Pool && (t.Weight > 0 || len(route.Targets) == 1) {
				return service
			}
		}
	}
	return d.Service(route.Target(r.ID))
}

func credentialHash(r *Request) string {
	if r.Credential == "" {
		return ""
	}
	return declaration.HashCredential(r.Credential)
}

func (p *Prompt) addTo(w *decision.Work) {
	w.PromptTokens, w.OutputTokens, w.OutputUncertain = p.Tokens, p.MaxOutputTokens, true
	if p.ExpectedOutputTokens > 0 && (p.MaxOutputTokens == 0 || p.ExpectedOutputTokens < p.MaxOutputTokens) {
		w.OutputTokens = p.ExpectedOutputTokens
	}
	// A part's KV cache is valid only after the same preceding parts, so each hash covers all
	// parts before it too.
	chain := xxhash.New()
	_, _ = chain.WriteString(p.Model)
	// The last part is not shared with other requests.
	w.SharedBlocks = max(0, len(p.Parts)-1)
	for i, part := range p.Parts {
		if i < w.SharedBlocks && i < maxSharedParts {
			w.Parts = append(w.Parts, decision.PromptPart(xxhash.Sum64String(p.Model+"\x00"+part.ID)))
		}
		_, _ = chain.WriteString("\x00" + part.ID)
		w.Prefix = append(w.Prefix, chain.Sum64())
		w.BlockTokens = append(w.BlockTokens, part.Tokens)
	}
}

func retryRule(route *declaration.HostRoute) entry.RetryRule {
	switch route.Repeat {
	case declaration.RepeatAllowed:
		return entry.RetryAllowed
	case declaration.RepeatResumed:
		return entry.RetryResuming
	default:
		return entry.RetryNever
	}
}

// fingerprint hashes what the caller asks for, equal for all tries of one request.
func fingerprint(r *Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Host, r.Method, r.URI} {
		_, _ = h.WriteString(part + "\x00")
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// connectionShare returns this entry's share of the connections that a server of the service
// accepts; 0 for no bound.
func connectionShare(service *declaration.Service, entries int) int {
	if service == nil || service.MaxConnections == 0 {
		return 0
	}
	return max(1, service.MaxConnections/max(1, entries))
}
