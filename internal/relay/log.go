package relay

import (
	"log/slog"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// jobLog writes the lines of one request beside those of the reducer's
// decisions: what was sent, how each attempt ended, and the final answer.
type jobLog struct {
	job      *job
	began    time.Time
	attempts int
	// server ran the last attempt, prefiller did its prefill if another one did.
	server, prefiller string
	// status is what the last attempt was answered with, 0 while it has no answer.
	status int
	// sentAt, prefilledAt and firstAt are when the last attempt went out, when its
	// prefill apart was done and when its first event came, since began.
	sentAt, prefilledAt, firstAt time.Duration
}

func newJobLog(j *job) jobLog { return jobLog{job: j, began: time.Now()} }

func (l *jobLog) line(message string, args ...any) {
	args = append([]any{
		"request_id", l.job.req.ID, "route", l.job.route.Name, "ms", time.Since(l.began).Milliseconds(),
	}, args...)
	if l.job.member != "" {
		args = append(args, "member", l.job.member)
	}
	l.job.s.host.Log.Info(message, args...)
}

func (l *jobLog) sent(d entry.Dispatch) {
	l.attempts++
	l.server, l.prefiller, l.status = d.Server, d.PrefillServer, 0
	l.sentAt, l.prefilledAt, l.firstAt = time.Since(l.began), 0, 0
}

func (l *jobLog) prefilled() { l.prefilledAt = time.Since(l.began) }

func (l *jobLog) first() { l.firstAt = time.Since(l.began) }

// attempted writes a line for an attempt that did not give the answer.
func (l *jobLog) attempted(d entry.Dispatch, ended *entry.AttemptEnded, err error) {
	if ended.Complete {
		return
	}
	server, incarnation := d.Server, d.Incarnation
	if ended.AtPrefillServer {
		server, incarnation = d.PrefillServer, d.PrefillIncarnation
	}
	args := []any{
		"server", server, "incarnation", incarnation, "at_prefill", ended.AtPrefillServer, "attempt", d.Attempt,
		"outcome", ended.Outcome, "took_ms", ended.Elapsed.Milliseconds(), "server_died", ended.ServerDied,
	}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	if l.status != 0 {
		args = append(args, "status", l.status)
	}
	l.line(obs.LineAttemptFailed, args...)
}

// notPrefilled writes a line for a prefill that another engine did not do.
func (l *jobLog) notPrefilled(d entry.Dispatch, err error) {
	reason := "refused"
	if err != nil {
		reason = err.Error()
	}
	l.line(obs.LinePrefillFailed, "server", d.PrefillServer, "incarnation", d.PrefillIncarnation, "reason", reason)
}

// dropped writes a line for a decoding engine that was named too late.
func (l *jobLog) dropped(e entry.DecodeAt) {
	l.line(obs.LineLateDecodeEngine, "server", e.Server, "incarnation", e.Incarnation, "attempt", e.Attempt)
}

// end writes the line of the final answer and counts it.
func (l *jobLog) end(how string, args ...any) {
	l.job.s.count(l.job.route.Profile, how, time.Since(l.began))
	args = append([]any{
		"how", how, "attempts", l.attempts, "server", l.server, "sent_ms", l.sentAt.Milliseconds(),
		"limit_ms", l.limit().Milliseconds(), "on_connection", l.job.req.OnConnection,
	}, args...)
	if l.prefiller != "" {
		args = append(args, "prefiller", l.prefiller, "prefilled_ms", l.prefilledAt.Milliseconds())
	}
	if l.firstAt > 0 {
		args = append(args, "first_ms", l.firstAt.Milliseconds())
	}
	l.line(obs.LineAnswered, args...)
}

// limit is how long the request could take when it came.
func (l *jobLog) limit() time.Duration {
	return l.job.arrived.Work.FinishBy - l.job.arrived.Work.Arrived
}

func (l *jobLog) refused(r *outcome.Refusal) {
	took := time.Since(l.began)
	l.job.s.count(l.job.route.Profile, "refused", took)
	l.job.s.logRefused(l.job.req, l.job.route.Name, r, slog.Int("attempts", l.attempts),
		slog.Int64("ms", took.Milliseconds()), slog.Int64("limit_ms", l.limit().Milliseconds()))
}

func (s *Server) logRefused(req *Request, route string, r *outcome.Refusal, figures ...slog.Attr) {
	attrs := []slog.Attr{
		slog.String("request_id", req.ID), slog.String("route", route), slog.String("code", string(r.Code)),
		slog.Int("status", r.Status), slog.String("outcome", string(r.Outcome)),
		slog.Float64("retry_after_s", r.RetryAfter.Seconds()), slog.String("reason", r.Message),
		slog.Uint64("on_connection", req.OnConnection),
	}
	s.host.Log.LogAttrs(s.host.TaskContext, slog.LevelInfo, obs.LineRefused, append(attrs, figures...)...)
}

// count keeps the figures that metrics show: profiles are few and declared, so
// that the labels stay bounded.
func (s *Server) count(profile, how string, took time.Duration) {
	scope := s.host.Metrics.Scope.Tagged(map[string]string{"profile": profile, "how": how})
	scope.Counter("relayed").Inc(1)
	scope.Timer("relayed_time").Record(took)
}
