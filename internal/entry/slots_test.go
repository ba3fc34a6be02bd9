package entry

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// playedRequest is a request on its way through engines in virtual time.
type playedRequest struct {
	at       time.Duration
	dispatch Dispatch
	// decodes is set once it is read.
	decodes bool
}

// Guards against requests that wait for a place while engines have places: engines of few
// places, each prompt read at one engine and decoded at another, seven tenths of the places
// that decode in use. A caller's target is 250 ms; nine of ten requests must be sent on within
// an eighth of it.
func TestReadingTakesNoPlaceWhereItIsDecoded(t *testing.T) {
	const places, decoders, readers, target = 12, 4, 8, 250 * time.Millisecond
	const reading, decoding = 250 * time.Millisecond, 300 * time.Millisecond
	for _, rate := range []float64{25000, 112000, 250000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			w := relayedWorld(t)
			w.r.cfg.MaxStreams, w.r.cfg.AssumedPace = 1000, decision.Pace{PrefillRate: rate, TokenTime: 5 * time.Millisecond}
			w.r.speeds = newSpeeds(w.r.cfg.AssumedPace)
			servers := prefillers(decoders, readers)
			for _, s := range servers {
				s.Slots = places
			}
			w.view(servers...)
			perSecond := 0.7 * places * decoders / decoding.Seconds()
			waits := playPairs(w, servers, time.Duration(float64(time.Second)/perSecond), reading, decoding, int(rate*reading.Seconds()/4))
			late := 0
			for _, d := range waits {
				if d > target/8 {
					late++
				}
			}
			if late*10 > len(waits) {
				t.Errorf("%d of %d requests waited for a place", late, len(waits))
			}
		})
	}
}

// playPairs plays some seconds of requests that come that often and gives how long each
// waited before it was sent on.
func playPairs(w *world, servers []*pb.BackendServer, every, reading, decoding time.Duration, tokens int) []time.Duration {
	var waits []time.Duration
	var next time.Duration
	arrived := make(map[string]time.Duration)
	var running []*playedRequest
	take := func(effects []Effect) {
		for _, d := range pick[Dispatch](effects) {
			waits = append(waits, w.now-arrived[d.RequestID])
			running = append(running, &playedRequest{at: w.now, dispatch: d})
		}
	}
	start := w.now
	for w.now < start+4*second {
		if w.now >= start+next {
			id := fmt.Sprint("r", len(arrived))
			arrived[id] = w.now
			take(w.relayed(id, func(a *RequestArrived) {
				a.Work.PromptTokens, a.Work.Pace.MoveRate, a.Work.FinishBy = tokens, 1e8, w.now+8*second
			}))
			next += every
		}
		w.renew()
		for _, p := range running {
			take(p.step(w, reading, decoding))
		}
		w.after(5 * time.Millisecond)
	}
	return waits
}

// step lets an engine finish what it does for the request, once.
func (p *playedRequest) step(w *world, reading, decoding time.Duration) []Effect {
	apart := p.dispatch.PrefillServer != ""
	switch {
	case apart && !p.decodes && w.now >= p.at+reading:
		p.decodes, p.at = true, w.now
		return w.step(PrefillDone{RequestID: p.dispatch.RequestID, Attempt: p.dispatch.Attempt})
	case (!apart || p.decodes) && w.now >= p.at+decoding:
		p.at = 1 << 62
		return w.ended(p.dispatch, func(ev *AttemptEnded) { ev.Complete, ev.Outcome = true, outcome.Ran })
	}
	return nil
}
