package decision

import "time"

// Tokens is what a request has to do at one server.
type Tokens struct {
	// Prefill and Decode are tokens to work on there, KV those to hold in
	// memory there.
	Prefill, Decode, KV int
}

// SentLog keeps Sent of one server up to date: what was sent after the time of
// the server's last report is not in that report yet.
type SentLog struct {
	Sent Sent
	// since are the sends after the last report, oldest first.
	since []send
}

type send struct {
	at     time.Duration
	tokens Tokens
}

// Add notes a request with its tokens that is sent now.
func (l *SentLog) Add(now time.Duration, t Tokens) {
	l.Sent.Requests++
	l.Sent.PrefillTokens += t.Prefill
	l.Sent.DecodeTokens += t.Decode
	l.addSince(t, 1)
	l.since = append(l.since, send{now, t})
}

// Done notes that such a request ended.
func (l *SentLog) Done(t Tokens) {
	l.Sent.Requests--
	l.Sent.PrefillTokens -= t.Prefill
	l.Sent.DecodeTokens -= t.Decode
}

// Urgent notes prefill tokens of urgent work that begin (or, negative, end) to
// wait for their first token.
func (l *SentLog) Urgent(tokens int) { l.Sent.UrgentPrefillTokens += tokens }

// Reported takes in that a report was true at that time: what was sent up to
// then is in it.
func (l *SentLog) Reported(at time.Duration) {
	old := 0
	for old < len(l.since) && l.since[old].at <= at {
		l.addSince(l.since[old].tokens, -1)
		old++
	}
	l.since = append(l.since[:0], l.since[old:]...)
}

func (l *SentLog) addSince(t Tokens, sign int) {
	l.Sent.SinceRequests += sign
	l.Sent.SincePrefillTokens += sign * t.Prefill
	l.Sent.SinceDecodeTokens += sign * t.Decode
	l.Sent.SinceKVTokens += sign * t.KV
}
