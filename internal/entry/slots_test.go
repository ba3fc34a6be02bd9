package entry

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// simulatedRequest is a request that is processed by engines in virtual time.
type simulatedRequest struct {
	since    time.Duration
	dispatch Dispatch
	// decoding is set once its prefill is done.
	decoding bool
}

// Guards against requests that wait for a slot while engines have free slots. The engines have
// few slots, each prompt is prefilled on one engine and decoded on another, and 70% of the
// decode slots are in use. Nine of ten requests must be dispatched within an eighth of the
// caller's target of 250 ms.
func TestSeparatePrefillTakesNoDecodeSlot(t *testing.T) {
	const slots, decodeEngines, prefillEngines, target = 12, 4, 8, 250 * time.Millisecond
	const prefillDuration, decodeDuration = 250 * time.Millisecond, 300 * time.Millisecond
	for _, rate := range []float64{25000, 112000, 250000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			w := newDeadlineHarness(t)
			w.r.cfg.MaxStreams, w.r.cfg.AssumedSpeed = 1000, decision.EngineSpeed{PrefillRate: rate, TokenTime: 5 * time.Millisecond}
			w.r.speeds = newSpeeds(w.r.cfg.AssumedSpeed)
			servers := withPrefillEngines(decodeEngines, prefillEngines)
			for _, s := range servers {
				s.Slots = slots
			}
			w.view(servers...)
			perSecond := 0.7 * slots * decodeEngines / decodeDuration.Seconds()
			waits := simulateSeparatePrefill(w, servers, time.Duration(float64(time.Second)/perSecond), prefillDuration, decodeDuration, int(rate*prefillDuration.Seconds()/4))
			late := 0
			for _, d := range waits {
				if d > target/8 {
					late++
				}
			}
			if late*10 > len(waits) {
				t.Errorf("%d of %d requests waited for a slot", late, len(waits))
			}
		})
	}
}

// simulateSeparatePrefill runs some seconds of requests at that interval and returns how long
// each waited for its dispatch.
func simulateSeparatePrefill(w *harness, servers []*pb.BackendServer, interval, prefillDuration, decodeDuration time.Duration, tokens int) []time.Duration {
	var waits []time.Duration
	var next time.Duration
	arrived := make(map[string]time.Duration)
	var running []*simulatedRequest
	record := func(effects []Effect) {
		for _, d := range effectsOf[Dispatch](effects) {
			waits = append(waits, w.now-arrived[d.RequestID])
			running = append(running, &simulatedRequest{since: w.now, dispatch: d})
		}
	}
	start := w.now
	for w.now < start+4*second {
		if w.now >= start+next {
			id := fmt.Sprint("r", len(arrived))
			arrived[id] = w.now
			record(w.arriveWithDeadline(id, func(a *RequestArrived) {
				a.Work.PromptTokens, a.Work.EngineSpeed.KVTransferRate, a.Work.FinishBy = tokens, 1e8, w.now+8*second
			}))
			next += interval
		}
		w.renew()
		for _, p := range running {
			record(p.step(w, prefillDuration, decodeDuration))
		}
		w.advance(5 * time.Millisecond)
	}
	return waits
}

// step ends the current phase of the request once its time is over.
func (p *simulatedRequest) step(w *harness, prefillDuration, decodeDuration time.Duration) []Effect {
	separatePrefill := p.dispatch.PrefillServer != ""
	switch {
	case separatePrefill && !p.decoding && w.now >= p.since+prefillDuration:
		p.decoding, p.since = true, w.now
		return w.step(PrefillDone{RequestID: p.dispatch.RequestID, Attempt: p.dispatch.Attempt})
	case (!separatePrefill || p.decoding) && w.now >= p.since+decodeDuration:
		p.since = 1 << 62
		return w.endAttempt(p.dispatch, func(ev *AttemptEnded) { ev.Complete, ev.Outcome = true, outcome.Ran })
	}
	return nil
}
