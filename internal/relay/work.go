package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/admission"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

func pace(set *settings.Entry) decision.EngineSpeed {
	return decision.EngineSpeed{PrefillRate: set.Engines.PrefillRate, TokenTime: set.Engines.TokenTime}
}

func extraLimit(r settings.Repeats) *admission.ResendLimit {
	return &admission.ResendLimit{Ratio: r.Ratio, Constant: r.Extra, Window: r.Window}
}

func credentialLimits(c settings.Credentials) entry.CredentialLimits {
	return entry.CredentialLimits{Strict: c.Strict, ConfirmedWithin: c.ConfirmedWithin}
}

// arrived describes the request, which came at that time since boot, to the reducer.
func (s *Server) arrived(r *Request, at time.Duration, route *declaration.HostRoute, snap *entry.Snapshot) entry.RequestArrived {
	service := snap.Declaration.Service(route.Target(r.ID))
	profile := snap.Declaration.Profile(route.Profile)
	limit := route.Timeout
	if r.Patience > 0 {
		limit = min(limit, r.Patience-answerWay)
	}
	w := decision.Work{
		RequestID: host.NewRunKey(r.ID), MemberWeight: 1, Service: service.Name, Profile: profile.Name,
		ProfileShare: profile.Share, Class: profile.Class, Kind: service.Kind, Model: service.Model,
		Arrived: at, FirstTokenBy: at + profile.FirstToken, FinishBy: at + limit,
		SoftFirstTokenDeadline: true, EngineSpeed: pace(s.host.Settings), Rank: route.Rank,
	}
	w.EngineSpeed.KVTransferRate = service.MoveRate
	if r.Prompt != nil {
		r.Prompt.describe(&w)
	}
	return entry.RequestArrived{
		Work: w, Retry: repeat(route), Fingerprint: fingerprint(r), RetryBudget: profile.RetryBudget,
		MaxRuns: route.MaxRuns, HardDeadline: true, MembersOnly: route.MembersOnly, Credential: credentialHash(r),
	}
}

func credentialHash(r *Request) string {
	if r.Credential == "" {
		return ""
	}
	return declaration.HashCredential(r.Credential)
}

func (p *Prompt) describe(w *decision.Work) {
	w.PromptTokens, w.OutputTokens, w.OutputUncertain = p.Tokens, p.MaxOutput, true
	if p.LikelyOutput > 0 && (p.MaxOutput == 0 || p.LikelyOutput < p.MaxOutput) {
		w.OutputTokens = p.LikelyOutput
	}
	// Parts are cached only behind all parts before them: each one's hash has
	// those of its predecessors in it.
	chain := xxhash.New()
	_, _ = chain.WriteString(p.Model)
	// The last part is the request's own.
	w.SharedBlocks = max(0, len(p.Parts)-1)
	for _, part := range p.Parts {
		_, _ = chain.WriteString("\x00" + part.ID)
		w.Prefix = append(w.Prefix, chain.Sum64())
		w.BlockTokens = append(w.BlockTokens, part.Tokens)
	}
}

func repeat(route *declaration.HostRoute) entry.RetryRule {
	switch route.Repeat {
	case declaration.RepeatAllowed:
		return entry.RetryAllowed
	case declaration.RepeatResumed:
		return entry.RetryResuming
	default:
		return entry.RetryNever
	}
}

// fingerprint names what the caller asks, whichever try it is.
func fingerprint(r *Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Host, r.Method, r.URI} {
		_, _ = h.WriteString(part + "\x00")
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// share is this entry's part of the connections that a server accepts.
func share(service *declaration.Service, entries int) int {
	if service == nil || service.MaxConnections == 0 {
		return 0
	}
	return max(1, service.MaxConnections/max(1, entries))
}
