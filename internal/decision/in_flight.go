package decision

import "time"

// RequestTokens is the work of one request at one server.
type RequestTokens struct {
	// Prefill and Decode are the tokens to compute there, KV the tokens held in the KV cache
	// there.
	Prefill, Decode, KV int
}

// InFlightTracker maintains the InFlight sums of one server: what was sent after the time of
// the server's last report is not in that report yet.
type InFlightTracker struct {
	InFlight InFlight
	// sinceReport holds the requests sent after the last report, oldest first.
	sinceReport []sentRequest
}

type sentRequest struct {
	sentAt time.Duration
	tokens RequestTokens
}

// Add records a request that is sent now.
func (l *InFlightTracker) Add(now time.Duration, t RequestTokens) {
	l.InFlight.Requests++
	l.InFlight.PrefillTokens += t.Prefill
	l.InFlight.DecodeTokens += t.Decode
	l.addSinceReport(t, 1)
	l.sinceReport = append(l.sinceReport, sentRequest{now, t})
}

// Done records the end of a request that Add recorded.
func (l *InFlightTracker) Done(t RequestTokens) {
	l.InFlight.Requests--
	l.InFlight.PrefillTokens -= t.Prefill
	l.InFlight.DecodeTokens -= t.Decode
}

// AddUrgentPrefill adds the prompt tokens of an urgent request that starts to wait for its
// first token; a negative number removes those of one that stops waiting.
func (l *InFlightTracker) AddUrgentPrefill(tokens int) { l.InFlight.UrgentPrefillTokens += tokens }

// ApplyReport takes the time that a report describes: requests sent up to then are in the
// report and leave the sums since the last report.
func (l *InFlightTracker) ApplyReport(at time.Duration) {
	covered := 0
	for covered < len(l.sinceReport) && l.sinceReport[covered].sentAt <= at {
		l.addSinceReport(l.sinceReport[covered].tokens, -1)
		covered++
	}
	l.sinceReport = append(l.sinceReport[:0], l.sinceReport[covered:]...)
}

func (l *InFlightTracker) addSinceReport(t RequestTokens, sign int) {
	l.InFlight.RequestsSinceReport += sign
	l.InFlight.PrefillTokensSinceReport += sign * t.Prefill
	l.InFlight.DecodeTokensSinceReport += sign * t.Decode
	l.InFlight.KVTokensSinceReport += sign * t.KV
}
