package decision

import "time"

// SentLog keeps Sent of one server up to date: what was sent after the time of
// the server's last report is not in that report yet.
type SentLog struct {
	Sent Sent
	// since are the sends after the last report, oldest first.
	since []send
}

type send struct {
	at              time.Duration
	prefill, decode int
}

// Add notes a request with its tokens that is sent now.
func (l *SentLog) Add(now time.Duration, prefill, decode int) {
	l.Sent.Requests++
	l.Sent.PrefillTokens += prefill
	l.Sent.DecodeTokens += decode
	l.Sent.SinceRequests++
	l.Sent.SincePrefillTokens += prefill
	l.Sent.SinceDecodeTokens += decode
	l.since = append(l.since, send{now, prefill, decode})
}

// Done notes that such a request ended.
func (l *SentLog) Done(prefill, decode int) {
	l.Sent.Requests--
	l.Sent.PrefillTokens -= prefill
	l.Sent.DecodeTokens -= decode
}

// Reported takes in that a report was true at that time: what was sent up to
// then is in it.
func (l *SentLog) Reported(at time.Duration) {
	old := 0
	for old < len(l.since) && l.since[old].at <= at {
		l.Sent.SinceRequests--
		l.Sent.SincePrefillTokens -= l.since[old].prefill
		l.Sent.SinceDecodeTokens -= l.since[old].decode
		old++
	}
	l.since = append(l.since[:0], l.since[old:]...)
}
