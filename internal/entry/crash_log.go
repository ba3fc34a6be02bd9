package entry

import (
	"time"
)

// crashRetention is how long a crash is remembered; an entry may find it late by itself.
const crashRetention = 30 * time.Second

// crash is the end of a server's incarnation, as far as the entries know.
type crash struct {
	at time.Duration
	// explained is set once a request is quarantined that it was charged to, of which explainedBy is the
	// fingerprint.
	explained   bool
	explainedBy uint64
}

// crashLog holds the recent crashes by deathKey, oldest first in order.
type crashLog struct {
	byKey map[string]*crash
	order []string
}

func newCrashLog() crashLog { return crashLog{byKey: make(map[string]*crash)} }

func (l *crashLog) add(death string, now time.Duration) {
	for len(l.order) > 0 && (l.byKey[l.order[0]] == nil || now-l.byKey[l.order[0]].at >= crashRetention) {
		delete(l.byKey, l.order[0])
		l.order = l.order[1:]
	}
	if l.byKey[death] == nil {
		l.byKey[death] = &crash{at: now}
		l.order = append(l.order, death)
	}
}

// explained reports whether a crash is no more charged to the suspect, for a part as one of that request's, as
// its cause is known. To the parts of the request that is quarantined for it nothing is explained: one of
// them may be the guilty one.
func (t *suspectTable) explained(death string, to quarantineKey, request uint64) bool {
	c := t.crashes.byKey[death]
	if c == nil || !c.explained || !to.part {
		return c != nil && c.explained
	}
	return request != 0 && request != c.explainedBy && !t.byKey[to].ranIn(c.explainedBy)
}

// lastCrash returns the last crash that the request is charged with.
func (t *suspectTable) lastCrash(s *suspect) string {
	last, at := "", time.Duration(-1)
	for death := range s.deaths {
		if c := t.crashes.byKey[death]; c != nil && (c.at > at || c.at == at && death > last) {
			last, at = death, c.at
		}
	}
	return last
}

// takeBackCrash forgets a crash of a server that has answered since.
func (t *suspectTable) takeBackCrash(death string) {
	delete(t.crashes.byKey, death)
	for _, s := range t.byKey {
		delete(s.deaths, death)
	}
}
