package entry

import (
	"cmp"
	"strconv"
	"time"
)

const (
	// maxCalmWait bounds how long a request that was charged with two crashes waits until no
	// other servers crash.
	maxCalmWait = 3 * time.Second
	// calmShare is which part of the servers may crash beside a request in doubt: of so many, hardly one
	// ends under the same request again.
	calmShare = 100
	// maxTrialSpread spreads the next attempts of a request in doubt at several entries over time, so
	// that the others hear how the first one ends.
	maxTrialSpread = 2 * time.Second
	// maxAbandonedWait bounds how long a request in doubt waits for the end of a server that was left while it
	// ran a copy: longer than a server takes from the send to its end.
	maxAbandonedWait = 2 * time.Second
)

// abandonedTrial is an attempt of a request in doubt that ended without its server: its caller left, or its
// deadline passed.
type abandonedTrial struct {
	server, deathKey string
	until            time.Duration
}

// abandonTrial records that a request in doubt is given up while its server may still end under it.
func (r *Reducer) abandonTrial(q *request) {
	if s := r.suspects.byKey[q.key()]; q.server != nil && s.inDoubt() {
		s.abandoned = abandonedTrial{server: q.server.pb.Id, deathKey: q.server.deathKey(), until: r.now + maxAbandonedWait}
	}
}

// awaitsAbandoned reports whether it is open if the server of an abandoned trial ends.
func (r *Reducer) awaitsAbandoned(t abandonedTrial) bool {
	if r.now >= t.until {
		return false
	}
	s := r.servers.byID[t.server]
	return s != nil && !s.died && s.deathKey() == t.deathKey
}

// awaitsCalm reports whether the request should run only once no other servers crash: then its next
// crash, or its answer, tells whether it is the cause. Until then it is not refused as one that crashes servers,
// which it may not be. Once it may run, one does at a time.
//
// Failure: a request that crashes servers comes again and again while others end for other reasons. All of its
// crashes are in doubt, and it ends one server after the other.
func (r *Reducer) awaitsCalm(q *request) bool {
	s := r.suspects.byKey[q.key()]
	if !s.inDoubt() {
		return false
	}
	// Only a crash of a server that may run the request could be taken for one of its own.
	pool := cmp.Or(q.work.Model, q.work.Service)
	inPool := func(s *server) bool { return roleOf(s.pb).pool == pool }
	others := r.suspects.otherCrashesAround(s, r.now, r.now, func(id string) bool {
		server := r.servers.byID[id]
		return server == nil || inPool(server)
	})
	busy := others > 0 && r.now < s.at+maxCalmWait
	if s.counted() >= maxDoubtfulCrashes {
		poolSize := 0
		for _, server := range r.servers.sorted {
			if inPool(server) {
				poolSize++
			}
		}
		busy = others*calmShare > poolSize
	}
	if busy {
		s.calmAt = 0
		return true
	}
	if s.calmAt == 0 {
		s.calmAt = r.now
	}
	key := q.key()
	if r.now < s.calmAt+r.trialSpread(key) {
		return true
	}
	if r.awaitsAbandoned(s.abandoned) {
		return true
	}
	for _, other := range r.requests {
		if other.server != nil && other.key() == key {
			return true
		}
	}
	return false
}

// trialSpread returns how long this entry lets others try a request in doubt before it does.
func (r *Reducer) trialSpread(key quarantineKey) time.Duration {
	if len(r.noticeTargets()) == 0 {
		return 0
	}
	own := EntryWeight{Name: r.cfg.Identity.GetName()}
	return time.Duration(rendezvousHash(own, strconv.FormatUint(key.fingerprint, 16)) % uint64(maxTrialSpread))
}

// inDoubt reports whether the request was charged with several crashes. If it is not quarantined, some of
// them may have had another cause.
func (s *suspect) inDoubt() bool { return s != nil && s.counted() >= 2 }
