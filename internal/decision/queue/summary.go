package queue

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// Totals sums up waiting requests.
type Totals struct {
	Requests      int
	PrefillTokens int
	DecodeTokens  int
}

// Cost returns the sum in prompt tokens, weighted as in Work.Cost.
func (t Totals) Cost() float64 {
	return float64(t.PrefillTokens) + decision.OutputTokenCost*float64(t.DecodeTokens)
}

// Key names a part of the queue. An empty Member stands for all members, an empty Profile
// for all profiles.
type Key struct {
	Kind    string
	Service string // of plain services
	Model   string // of model services
	Profile string
	Member  string
}

// KeyOf returns the key of the request's pool, profile and member.
func KeyOf(w *decision.Work) Key {
	k := Key{Kind: w.Kind, Model: w.Model, Profile: w.Profile, Member: w.Member}
	if k.Model == "" {
		k.Service = w.Service
	}
	return k
}

// Summary sums up a queue by pool, profile and member.
type Summary struct {
	totals map[Key]*Totals
	// profileThroughput is keyed by pool and profile, poolThroughput by pool alone.
	profileThroughput, poolThroughput map[Key]*throughput
}

func newSummary() Summary {
	return Summary{totals: make(map[Key]*Totals), profileThroughput: make(map[Key]*throughput), poolThroughput: make(map[Key]*throughput)}
}

// profileKey returns KeyOf without the member.
func profileKey(w *decision.Work) Key {
	k := KeyOf(w)
	k.Member = ""
	return k
}

// PoolKey returns KeyOf without the member and the profile.
func PoolKey(w *decision.Work) Key {
	k := profileKey(w)
	k.Profile = ""
	return k
}

// Throughput returns how much of the profile's work has left this queue recently, weighted
// as in Work.Cost, and in how many seconds, counting only time in which some of it always
// waited. The seconds are zero if nothing waits. The key's Member is ignored.
func (s *Summary) Throughput(now time.Duration, k Key) (cost, secs float64) {
	k.Member = ""
	return s.profileThroughput[k].recent(now)
}

// PoolThroughput returns the Throughput of all profiles of the request's pool together.
func (s *Summary) PoolThroughput(now time.Duration, w *decision.Work) (cost, secs float64) {
	return s.poolThroughput[PoolKey(w)].recent(now)
}

// Get returns the totals of one part of the queue, zero if nothing waits there.
func (s *Summary) Get(k Key) Totals {
	if t := s.totals[k]; t != nil {
		return *t
	}
	return Totals{}
}

func (s *Summary) add(w *decision.Work, sign int) {
	k := KeyOf(w)
	s.addTo(k, w, sign)
	k.Member = ""
	s.addTo(k, w, sign)
	k.Profile = ""
	s.addTo(k, w, sign)
}

func (s *Summary) addTo(k Key, w *decision.Work, sign int) {
	t := s.totals[k]
	if t == nil {
		t = &Totals{}
		s.totals[k] = t
	}
	t.Requests += sign
	t.PrefillTokens += sign * w.PromptTokens
	t.DecodeTokens += sign * w.OutputTokens
	if t.Requests == 0 {
		delete(s.totals, k)
	}
}
