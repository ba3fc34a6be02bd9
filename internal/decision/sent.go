package decision

import "time"

// RequestTokens is what a request has to do at one server.
type RequestTokens struct {
	// Prefill and Decode are tokens to work on there, KV those to hold in
	// memory there.
	Prefill, Decode, KV int
}

// InFlightTracker keeps Sent of one server up to date: what was sent after the time of
// the server's last report is not in that report yet.
type InFlightTracker struct {
	InFlight InFlight
	// since are the sends after the last report, oldest first.
	since []send
}

type send struct {
	at     time.Duration
	tokens RequestTokens
}

// Add notes a request with its tokens that is sent now.
func (l *InFlightTracker) Add(now time.Duration, t RequestTokens) {
	l.InFlight.Requests++
	l.InFlight.PrefillTokens += t.Prefill
	l.InFlight.DecodeTokens += t.Decode
	l.addSince(t, 1)
	l.since = append(l.since, send{now, t})
}

// Done notes that such a request ended.
func (l *InFlightTracker) Done(t RequestTokens) {
	l.InFlight.Requests--
	l.InFlight.PrefillTokens -= t.Prefill
	l.InFlight.DecodeTokens -= t.Decode
}

// AddUrgentPrefill notes prefill tokens of urgent work that begin (or, negative, end) to
// wait for their first token.
func (l *InFlightTracker) AddUrgentPrefill(tokens int) { l.InFlight.UrgentPrefillTokens += tokens }

// ApplyReport takes in that a report was true at that time: what was sent up to
// then is in it.
func (l *InFlightTracker) ApplyReport(at time.Duration) {
	old := 0
	for old < len(l.since) && l.since[old].at <= at {
		l.addSince(l.since[old].tokens, -1)
		old++
	}
	l.since = append(l.since[:0], l.since[old:]...)
}

func (l *InFlightTracker) addSince(t RequestTokens, sign int) {
	l.InFlight.RequestsSinceReport += sign
	l.InFlight.PrefillTokensSinceReport += sign * t.Prefill
	l.InFlight.DecodeTokensSinceReport += sign * t.Decode
	l.InFlight.KVTokensSinceReport += sign * t.KV
}
