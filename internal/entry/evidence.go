package entry

import (
	"strings"
	"time"
)

const (
	// otherCrashesPeriod is how close in time crashes are that may have one cause: trouble with
	// servers or links ends several within seconds.
	otherCrashesPeriod = 2 * time.Second
	// doubtfulScore is charged for a crash that may have had another cause, veryDoubtfulScore if several
	// other servers crashed about then.
	doubtfulScore     = 2
	veryDoubtfulScore = 1
	// maxDoubtfulCrashes is how many crashes may be in doubt. A request with as many runs again only once
	// no other servers crash, alone, and its next crash counts in full.
	maxDoubtfulCrashes = 3
	// maxDoubtfulPartCrashes is the same for a part of prompts, which runs on in other requests.
	maxDoubtfulPartCrashes = 4
	// crashSettles is how long after a crash all entries have told which requests it is charged to.
	// Until then it may seem that a request was not there.
	crashSettles = 200 * time.Millisecond
)

// mostScore returns how much a crash may count against the request: less if it may well have had another
// cause, as other servers crashed about then without it, or another request was there each time as well.
//
// Servers end, or are cut off, for reasons of their own, some of them one after the other. A harmless
// request that happens to run on two of them must not be refused.
//
// An engine that ends again and again may end under the same harmless request more than once.
func (t *suspectTable) mostScore(key quarantineKey, server, death string, now time.Duration) int {
	beside, counted := t.besideLikelierPart(key, death), t.byKey[key].counted()
	if counted > maxDoubtful(key) {
		if key.part && beside {
			return doubtfulScore
		}
		return scorePerCrash
	}
	others := 0
	if own := t.crashes.byKey[death]; own != nil {
		others = t.otherCrashesAround(t.byKey[key], own.at, now-crashSettles, anyServer)
	}
	switch {
	case others > 1 && (key.part || counted < maxDoubtfulCrashes):
		return veryDoubtfulScore
	case others > 0 || beside || !key.part && t.byKey[key].crashedBefore(server, death) || t.alwaysBesideAnother(key, death):
		return doubtfulScore
	default:
		return scorePerCrash
	}
}

func maxDoubtful(key quarantineKey) int {
	if key.part {
		return maxDoubtfulPartCrashes
	}
	return maxDoubtfulCrashes
}

// otherCrashesAround counts the servers that crashed about that time and until then, for a reason that is
// not known, and of which the request was not charged, of those that count.
func (t *suspectTable) otherCrashesAround(s *suspect, at, until time.Duration, counts func(serverID string) bool) int {
	n := 0
	for death, c := range t.crashes.byKey {
		apart := max(at, c.at) - min(at, c.at)
		server, _, _ := strings.Cut(death, "/")
		if _, charged := s.deaths[death]; !c.explained && !charged && apart < otherCrashesPeriod && c.at <= until && counts(server) {
			n++
		}
	}
	return n
}

func anyServer(string) bool { return true }

// alwaysBesideAnother reports whether another request was on all of the servers that crashed under this
// one, up to the last of them, and is no less likely to be the cause.
func (t *suspectTable) alwaysBesideAnother(key quarantineKey, last string) bool {
	s := t.byKey[key]
	if len(s.deaths) < 2 || t.lastCrash(s) != last {
		return false
	}
	for otherKey, other := range t.byKey {
		if otherKey != key && other.chargedAsMuch(s) {
			return true
		}
	}
	return false
}

// besideLikelierPart reports whether a part was on the server that is more likely the cause, since it ran in more
// requests that ended servers. For a request with several crashes that is one of others' parts with as many: what
// runs beside a guilty part is charged with its crashes, and may be resumed beside it again.
func (t *suspectTable) besideLikelierPart(key quarantineKey, death string) bool {
	least := t.byKey[key].counted() + 1
	if !key.part && least > 2 {
		least--
	}
	for otherKey, other := range t.byKey {
		if !otherKey.part || otherKey == key || !key.part && other.ranIn(key.fingerprint) {
			continue
		}
		if c, charged := other.deaths[death]; charged && !c.uncertain && !c.disproved && other.counted() >= least {
			return true
		}
	}
	return false
}
