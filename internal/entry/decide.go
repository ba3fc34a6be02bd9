package entry

import (
	"net/http"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/admission"
	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/decision/queue"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// decider holds the load-dependent decision components: admission control, the queue and
// placement.
type decider struct {
	admission *admission.Controller
	queue     *queue.Queue
	picker    *placement.Picker
}

func newDecider() decider {
	return decider{admission: admission.New(), queue: queue.New(), picker: placement.New()}
}

// admit returns the refusal of work that can't be served in time, or nil, with the figures that
// the decision was based on.
func (d *decider) admit(now time.Duration, w *decision.Work, fleet *decision.Fleet) (*outcome.Refusal, []Figure) {
	v := d.admission.Admit(now, w, fleet, d.queue.Summary())
	if v.Admit {
		return nil, nil
	}
	return &outcome.Refusal{
		Status: statusOf(v.Code), Code: v.Code, Message: v.Reason, RetryAfter: v.RetryAfter,
	}, v.Figures
}

func statusOf(code outcome.Code) int {
	if code == outcome.CodeOverloaded {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// observe feeds the result of an attempt to placement.
func (d *decider) observe(now time.Duration, s *server, ev AttemptEnded) {
	if ev.Outcome == outcome.NotRun && !ev.ServerDied {
		return
	}
	d.picker.Observe(now, s.pb.Id, placement.Result{
		Failed: !ev.Complete && !ev.Invalid, FirstToken: ev.FirstToken,
		DecodeTime: ev.Decode, Tokens: ev.Tokens, TotalTime: ev.Elapsed,
	})
}
