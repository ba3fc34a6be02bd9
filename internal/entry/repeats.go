package entry

import (
	"goldcrestseam.dev/goldcrestseam/internal/decision/placement"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// arrivals is what servers have got of one request, and what of the deployment's allowance
// of repeats was taken for it and not used yet.
//
// Failure: an attempt that is prefilled apart reaches two engines. Where many engines crash
// at once, repeats that were counted once arrived twice, and the deployment sent more than
// it may.
type arrivals struct {
	// apart is set while the attempt under way is prefilled at another engine.
	apart bool
	// read and run are set once a server may have got the request to read its prompt only,
	// and to run it.
	read, run bool
	// paid is how many repeats were taken and not used.
	paid int
}

// ended notes what an attempt that has ended brought to servers.
func (a *arrivals) ended(ev *AttemptEnded) {
	if ev.Unsent {
		return
	}
	a.paid = 0
	a.read = a.read || a.apart
	a.run = a.run || !ev.AtPrefillServer
}

// repeats is how many repeats an attempt takes: each kind of call is free once.
func (a *arrivals) repeats(apart bool) int {
	n := 0
	if apart && a.read {
		n++
	}
	if a.run {
		n++
	}
	return n
}

// takeRepeat takes a send out of the deployment's allowance for the request's next attempt.
// What no server has got is sent for the first time: counted as a repeat, it used up the
// allowance just when a server is dark, and requests that no server had seen were refused
// for it.
func (r *Reducer) takeRepeat(q *request) bool {
	if q.arrivals.paid > 0 {
		return true
	}
	if !r.extra.AllowResend(r.now, q.work.Service, len(r.view.entries)) {
		return false
	}
	q.arrivals.paid++
	return true
}

// payRepeats takes what the choice needs beyond what was taken. Where that is too much the
// decoding engine reads the prompt itself; false if that takes too much, too.
func (r *Reducer) payRepeats(q *request, choice *placement.Choice) bool {
	a := &q.arrivals
	for a.paid < a.repeats(choice.Prefill != nil) {
		if r.extra.AllowResend(r.now, q.work.Service, len(r.view.entries)) {
			a.paid++
			continue
		}
		if a.paid < a.repeats(false) || choice.Server.Role != engineapi.RoleMixed {
			return false
		}
		*choice = placement.Choice{
			Server: choice.Server, UncachedTokens: q.work.PromptTokens, NewKVTokens: q.work.PromptTokens,
			Reason: "too much is being sent again to prefill apart", Figures: choice.Figures,
		}
	}
	return true
}
