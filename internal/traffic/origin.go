package traffic

import (
	"context"
	"errors"
	"net/http"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/origin"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// originKey identifies an answer by the request's wire id: callers may use their own id again.
func originKey(r *pb.StreamRecord) origin.Key {
	return origin.Key{Member: r.GetMember(), RequestID: r.GetWireId()}
}

func originOf(d entry.Dispatch) decision.Origin {
	return decision.Origin{Pool: d.Pool, Version: d.Version, Incarnation: d.Incarnation}
}

// expectOrigin tells control where the answer is expected to begin, once for a request: it must be known however
// soon after its first token all entries end. A server that names no build is told with the first token.
func (j *modelJob) expectOrigin(d entry.Dispatch) {
	if j.expected == nil && j.offset == 0 && d.Version != "" {
		j.expected = j.server.host.Origins.Expect(originKey(j.record.pb), originOf(d), recordRetention)
	}
}

// errOriginUnsettled ends an attempt whose answer control may still expect at other software.
var errOriginUnsettled = errors.New("control expects the answer at other software and can't be told otherwise")

// rememberOrigin lets the caller resume at any entry. It runs before the first token goes to the caller, which must
// not get it if rememberOrigin fails. Errors: errOriginUnsettled.
func (a *modelAttempt) rememberOrigin() error {
	expected := a.expected
	if a.startOffset > 0 {
		expected = nil
	}
	if !a.server.host.Origins.Began(originKey(a.record.pb), originOf(a.dispatch), recordRetention, expected) {
		return errOriginUnsettled
	}
	return nil
}

// findOrigin binds a resumed answer to the server that began it. An answer without a known origin is
// not continued: the rest could come from software that doesn't go on where the first one stopped.
func (j *modelJob) findOrigin(ctx context.Context, record *pb.StreamRecord) *outcome.Refusal {
	if j.offset == 0 {
		return nil
	}
	found := j.server.host.Origins.Find(ctx, originKey(record))
	j.server.host.Log.Info("origin of an answer that is resumed", "request_id", record.GetRequestId(), found.Attr(),
		"builds", j.server.host.Snapshot().Builds)
	if found.Origin != nil {
		j.arrived.Work.Origin = found.Origin
		return nil
	}
	refusal := &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: outcome.CodeOriginUnknown, Outcome: outcome.Unknown,
		Message: "it is not known which software began this answer; send the request again",
	}
	if !found.Complete {
		refusal.Message = "one that may know which software began this answer has not answered; resume it again"
		refusal.RetryAfter = time.Second
	}
	return refusal
}
