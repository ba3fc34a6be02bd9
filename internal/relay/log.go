package relay

import (
	"log/slog"
	"strconv"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// jobLog writes the log lines of one request that the reducer's decision lines don't cover: how
// each attempt ended and the final answer.
type jobLog struct {
	job      *job
	start    time.Time
	attempts int
	// server ran the last attempt; prefillServer did its prefill, if a separate engine did.
	server, prefillServer string
	// version and prefillVersion are the builds of their software.
	version, prefillVersion string
	// status is the HTTP status of the last attempt's response, 0 while there is none.
	status int
	// dispatchedAt, prefilledAt and firstEventAt are times since start: when the last attempt
	// was sent, when its separate prefill was done and when its first event arrived.
	dispatchedAt, prefilledAt, firstEventAt time.Duration
}

func newJobLog(j *job) jobLog { return jobLog{job: j, start: time.Now()} }

func (l *jobLog) write(message string, args ...any) {
	args = append([]any{
		"request_id", l.job.req.ID, "route", l.job.route.Name, "ms", time.Since(l.start).Milliseconds(), l.job.s.stopAttr(),
	}, args...)
	if l.job.member != "" {
		args = append(args, "member", l.job.member)
	}
	l.job.s.host.Log.Info(message, args...)
}

func (l *jobLog) dispatched(d entry.Dispatch) {
	l.attempts++
	l.server, l.prefillServer, l.status = d.Server, d.PrefillServer, 0
	l.version, l.prefillVersion = d.Version, d.PrefillVersion
	l.dispatchedAt, l.prefilledAt, l.firstEventAt = time.Since(l.start), 0, 0
}

func (l *jobLog) prefillDone() { l.prefilledAt = time.Since(l.start) }

func (l *jobLog) firstEvent() { l.firstEventAt = time.Since(l.start) }

// attemptEnded writes a line for an attempt that did not complete the request.
func (l *jobLog) attemptEnded(d entry.Dispatch, ended *entry.AttemptEnded, err error) {
	if ended.Complete {
		return
	}
	server, incarnation, version := d.Server, d.Incarnation, d.Version
	if ended.AtPrefillServer {
		server, incarnation, version = d.PrefillServer, d.PrefillIncarnation, d.PrefillVersion
	}
	args := []any{
		"server", server, "incarnation", incarnation, "version", version, "at_prefill", ended.AtPrefillServer, "attempt", d.Attempt,
		"outcome", ended.Outcome, "took_ms", ended.Elapsed.Milliseconds(), "server_died", ended.ServerDied,
		"fingerprint", strconv.FormatUint(l.job.arrived.Fingerprint, 16),
	}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	if l.status != 0 {
		args = append(args, "status", l.status)
	}
	if ended.ServerDied {
		args = append(args, "parts", l.job.arrived.Work.Parts)
	}
	l.write(obs.LineAttemptFailed, args...)
}

// prefillFailed writes a line for a separate prefill that was not done.
func (l *jobLog) prefillFailed(d entry.Dispatch, err error) {
	reason := "refused"
	if err != nil {
		reason = err.Error()
	}
	l.write(obs.LinePrefillFailed, "server", d.PrefillServer, "incarnation", d.PrefillIncarnation, "version", d.PrefillVersion, "reason", reason)
}

// decodeDropped writes a line for a decode engine that was named after the attempt had ended.
func (l *jobLog) decodeDropped(e entry.DecodeAt) {
	l.write(obs.LineLateDecodeEngine, "server", e.Server, "incarnation", e.Incarnation, "version", e.Version, "attempt", e.Attempt)
}

// forwarding writes a line for a request that is about to be passed on: if this process ends meanwhile, no other tells.
func (l *jobLog) forwarding(to, reason string) {
	l.write(obs.LineForwarding, "entry", to, "reason", reason, "left_ms", remainingTime(&l.job.arrived.Work).Milliseconds())
}

// forwarded writes a line for a request that another entry has answered, or not.
func (l *jobLog) forwarded(to, reason string, resp *Response, err error) {
	args := []any{"entry", to, "reason", reason}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	if resp != nil {
		args = append(args, "status", resp.Head.Status, "refused_by", resp.ServerStatus.RefusedBy)
	}
	l.write(obs.LineForwarded, args...)
}

// answered writes the line of the final answer and counts it. how is the outcome's name in the
// log and in the metrics.
func (l *jobLog) answered(how string, args ...any) {
	l.job.s.count(l.job.route.Profile, how, time.Since(l.start))
	args = append([]any{
		"how", how, "attempts", l.attempts, "server", l.server, "version", l.version, "sent_ms", l.dispatchedAt.Milliseconds(),
		"limit_ms", l.timeLimit().Milliseconds(), "on_connection", l.job.req.ConnectionSeq, l.job.basis.Attr(),
	}, args...)
	if l.prefillServer != "" {
		args = append(args, "prefiller", l.prefillServer, "prefiller_version", l.prefillVersion, "prefilled_ms", l.prefilledAt.Milliseconds())
	}
	if l.firstEventAt > 0 {
		args = append(args, "first_ms", l.firstEventAt.Milliseconds())
	}
	for _, a := range l.job.resumeAttrs {
		args = append(args, a)
	}
	l.write(obs.LineAnswered, args...)
}

// timeLimit returns how long the request could take when it arrived.
func (l *jobLog) timeLimit() time.Duration {
	return l.job.arrived.Work.FinishBy - l.job.arrived.Work.Arrived
}

func (l *jobLog) refused(r *outcome.Refusal) {
	took := time.Since(l.start)
	l.job.s.count(l.job.route.Profile, "refused", took)
	l.job.s.logRefused(l.job.req, l.job.route.Name, r, slog.Int("attempts", l.attempts), l.job.basis.Attr(),
		slog.Int64("ms", took.Milliseconds()), slog.Int64("limit_ms", l.timeLimit().Milliseconds()),
		slog.Attr{Value: slog.GroupValue(l.job.resumeAttrs...)})
}

func (s *Server) logRefused(req *Request, route string, r *outcome.Refusal, extra ...slog.Attr) {
	attrs := []slog.Attr{
		slog.String("request_id", req.ID), slog.String("route", route), slog.String("code", string(r.Code)),
		slog.Int("status", r.Status), slog.String("outcome", string(r.Outcome)),
		slog.Float64("retry_after_s", r.RetryAfter.Seconds()), slog.String("reason", r.Message),
		slog.Uint64("on_connection", req.ConnectionSeq), s.stopAttr(),
	}
	if req.Resumes != "" {
		attrs = append(attrs, slog.String("resumes", req.Resumes), slog.String("after_event", req.LastEventID))
	}
	s.host.Log.LogAttrs(s.host.TaskContext, slog.LevelInfo, obs.LineRefused, append(attrs, extra...)...)
}

// stopAttr tells how far this entry's planned stop has got; it is empty, and left out of lines, if there is none.
func (s *Server) stopAttr() slog.Attr {
	stop := s.host.Snapshot().Stop
	since, left, ok := stop.Progress(clock.SinceBoot())
	if !ok {
		return slog.Attr{}
	}
	return slog.Group("stop", "since_ms", since.Milliseconds(), "left_ms", left.Milliseconds())
}

// count updates the metrics of finished requests. The profile label is bounded, because profiles
// are few and declared.
func (s *Server) count(profile, how string, took time.Duration) {
	scope := s.host.Metrics.Scope.Tagged(map[string]string{"profile": profile, "how": how})
	scope.Counter("relayed").Inc(1)
	scope.Timer("relayed_time").Record(took)
}
