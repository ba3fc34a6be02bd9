package relay

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/origin"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// originSlack is how much longer than its caller's time a stream's origin is kept: a caller that takes
	// it up counts its time from a later moment.
	originSlack = 5 * time.Second
	// originRetryAfter is how long a caller waits to ask again if an entry did not say in time where a
	// stream began.
	originRetryAfter = 300 * time.Millisecond
)

// resumes reports whether the caller takes up a stream that an earlier request has begun.
func (r *Request) resumes(route *declaration.HostRoute) bool {
	return route.Stream && r.LastEventID != ""
}

// findOrigin returns where the stream began that the request takes up, or the refusal of a request
// whose stream began nobody knows where. Another server than the right one would join what doesn't
// fit together. The lookup is nil if nobody was asked.
func (s *Server) findOrigin(
	ctx context.Context, r *Request, route *declaration.HostRoute, snap *entry.Snapshot,
) (*decision.Origin, *host.Lookup, *outcome.Refusal) {
	if r.Resumes == "" {
		return nil, nil, refuseUnknownOrigin()
	}
	member := memberOf(r, snap)
	if route.MembersOnly && member == "" {
		// The reducer refuses the credential, which says more than that there is no such stream.
		return &decision.Origin{}, nil, nil
	}
	found := s.host.Origins.Find(ctx, origin.Key{Member: member, RequestID: r.Resumes})
	switch {
	case found.Origin != nil:
		return found.Origin, found, nil
	case found.Complete:
		return nil, found, refuseUnknownOrigin()
	default:
		refusal := refuseUnknownOrigin()
		refusal.Message = "one that may know where this stream began has not answered; ask again"
		refusal.RetryAfter = originRetryAfter
		return nil, found, refusal
	}
}

// resumeAttrs describe a taken-up stream in a log line: who was asked where it began, and which builds serve.
func resumeAttrs(found *host.Lookup, snap *entry.Snapshot) []slog.Attr {
	if found == nil {
		return nil
	}
	return []slog.Attr{found.Attr(), slog.Any("builds", snap.Builds)}
}

func memberOf(r *Request, snap *entry.Snapshot) string {
	if m := snap.Members[credentialHash(r)]; m != nil && r.Credential != "" {
		return m.Name
	}
	return ""
}

func refuseUnknownOrigin() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: outcome.CodeOriginUnknown, Outcome: outcome.NotRun,
		Message: "it is not known where this stream began; begin anew",
	}
}

// expectOrigin tells control where the stream is expected to begin, once for a request: it must be known however
// soon after its first event all entries end. A server that names no build is told with the first event.
func (j *job) expectOrigin(d entry.Dispatch) {
	if !j.route.Stream || j.arrived.Retry != entry.RetryResuming || j.expected != nil || j.streamed != nil || d.Version == "" {
		return
	}
	j.expected = j.s.host.Origins.Expect(origin.Key{Member: d.Member, RequestID: j.req.ID},
		decision.Origin{Pool: d.Pool, Version: d.Version, Incarnation: d.Incarnation}, j.keepOrigin())
}

// keepOrigin returns for how long the stream may be taken up.
func (j *job) keepOrigin() time.Duration {
	return max(0, j.arrived.Work.FinishBy-clock.SinceBoot()) + originSlack
}

// errOriginUnsettled ends an attempt whose stream control may still expect at other software.
var errOriginUnsettled = errors.New("control expects the stream at other software and can't be told otherwise")

// rememberOrigin lets callers take up this stream at any entry. It runs before the first event goes to
// the caller, which must not get it if rememberOrigin fails. A caller may name the request that began the stream,
// and the one that took it up. Errors: errOriginUnsettled.
func (j *job) rememberOrigin() error {
	keep := j.keepOrigin()
	if !j.s.host.Origins.Began(origin.Key{Member: j.member, RequestID: j.req.ID}, j.from, keep, j.expected) {
		return errOriginUnsettled
	}
	if j.req.resumes(j.route) {
		j.s.host.Origins.Began(origin.Key{Member: j.member, RequestID: j.req.Resumes}, j.from, keep, nil)
	}
	return nil
}
