package traffic

import (
	"context"
	"net/http"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/origin"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// originKey identifies an answer by the request's wire id: callers may use their own id again.
func originKey(r *pb.StreamRecord) origin.Key {
	return origin.Key{Member: r.GetMember(), RequestID: r.GetWireId()}
}

// rememberOrigin lets the caller resume at any entry. It runs before the first token goes to the caller.
func (a *modelAttempt) rememberOrigin() {
	a.server.host.Origins.Began(originKey(a.record.pb), decision.Origin{
		Pool: a.dispatch.Pool, Version: a.dispatch.Version, Incarnation: a.dispatch.Incarnation,
	}, recordRetention)
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
