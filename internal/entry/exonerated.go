package entry

import "time"

const (
	// exonerationTime is for how long a whole answer shows that a request does not crash servers.
	exonerationTime = 30 * time.Second
	// maxExonerated bounds the requests of which that is known.
	maxExonerated = 1 << 14
)

// exonerated are the requests that got a whole answer of late, and so don't crash the servers that run
// them.
//
// Many callers may send the same request at once, such as a look-up of one status. Without this, the
// loss of two servers, for whatever reason, would quarantine it for all of them.
type exonerated struct {
	// last is when each request last got a whole answer.
	last map[quarantineKey]time.Duration
	// order holds the answers, oldest first.
	order []wholeAnswer
}

type wholeAnswer struct {
	key quarantineKey
	at  time.Duration
}

func newExonerated() exonerated { return exonerated{last: make(map[quarantineKey]time.Duration)} }

func (e *exonerated) add(key quarantineKey, now time.Duration) {
	e.last[key] = now
	e.order = append(e.order, wholeAnswer{key, now})
	e.expire(now)
}

func (e *exonerated) expire(now time.Duration) {
	expired := 0
	for _, a := range e.order {
		if now-a.at < exonerationTime && len(e.order)-expired <= maxExonerated {
			break
		}
		if e.last[a.key] == a.at {
			delete(e.last, a.key)
		}
		expired++
	}
	e.order = e.order[expired:]
}

func (e *exonerated) has(key quarantineKey, now time.Duration) bool {
	at, ok := e.last[key]
	return ok && now-at < exonerationTime
}
