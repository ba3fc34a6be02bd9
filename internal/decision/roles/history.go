package roles

import "time"

// historyLength is how many samples of demand are kept; with sampleTime they
// cover five minutes, so that swings within minutes are all in view.
const historyLength = 30

// sampleTime is the time that one sample covers. A single dossier is 4 engine
// seconds; over ten seconds a sample is not just one of them.
const sampleTime = 10 * time.Second

// history is the offered demand of the last samples, oldest first in a ring.
type history struct {
	samples [historyLength]Demand
	count   int
	next    int
	// open is the sample being filled: engine-seconds, and the time covered.
	open    Demand
	covered time.Duration
}

// add takes engine-seconds of demand that were offered in interval.
func (h *history) add(d Demand, interval time.Duration) {
	h.open.Prefill += d.Prefill
	h.open.Decode += d.Decode
	h.covered += interval
	if h.covered < sampleTime {
		return
	}
	secs := h.covered.Seconds()
	h.samples[h.next] = Demand{h.open.Prefill / secs, h.open.Decode / secs}
	h.next = (h.next + 1) % historyLength
	h.count = min(h.count+1, historyLength)
	h.open, h.covered = Demand{}, 0
}

// recent gives sample i, 0 the newest.
func (h *history) recent(i int) Demand {
	return h.samples[(h.next-1-i+2*historyLength)%historyLength]
}
