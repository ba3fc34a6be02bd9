package control

import (
	"strings"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// usageReports returns what operators see of usage accounting: the replicated windows, with
// the leader's calls.
func (r *Reducer) usageReports() *pb.UsageResponse {
	cfg := r.cfg.Duties
	resp := &pb.UsageResponse{
		Configured: cfg.Usage.Window > 0, WindowMs: cfg.Usage.Window.Milliseconds(),
		ReportDelayMs: cfg.Usage.ReportDelay.Milliseconds(),
		Leader:        r.leader, Holder: cfg.Holder, Term: r.term, Fenced: r.lead.duties.fenced,
	}
	if decided := r.state.usage.decided; decided != 0 {
		resp.LastDecided = r.usageSpan(decided)
	}
	for _, w := range r.state.usage.pending {
		resp.Unreported = append(resp.Unreported, r.usageReport(w))
	}
	return resp
}

func (r *Reducer) usageSpan(window int64) *pb.UsageSpan {
	length := r.cfg.Duties.Usage.Window.Milliseconds()
	span := &pb.UsageSpan{Window: window}
	if length > 0 {
		span.StartUnixMs, span.EndUnixMs = window*length, (window+1)*length
	}
	return span
}

func (r *Reducer) usageReport(w *pb.UsageWindow) *pb.UsageReport {
	report := &pb.UsageReport{
		Span: r.usageSpan(w.GetWindow()), Members: uint32(len(w.GetCounts())), Requests: totalRequests(w),
	}
	if call := r.lead.duties.calls[dutyKey(DutyUsage, usageSubject(w.GetWindow()))]; call != nil {
		report.Tries, report.Calling = uint32(call.attempts), call.inFlight
		// An error's text may quote bytes of the other side; a message with text that is not
		// UTF-8 can't be sent.
		report.Result, report.Reason = string(call.last.Result), strings.ToValidUTF8(call.last.Reason, "\uFFFD")
	}
	return report
}
