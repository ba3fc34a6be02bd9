package queue

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
)

// Totals sums up waiting work.
type Totals struct {
	Requests      int
	PrefillTokens int
	DecodeTokens  int
}

// Cost is the sum in tokens as Work.Cost weighs them.
func (t Totals) Cost() float64 {
	return float64(t.PrefillTokens) + decision.OutputTokenCost*float64(t.DecodeTokens)
}

// Key names a part of the queue. An empty Member stands for all members, an
// empty Profile for all profiles.
type Key struct {
	Kind    string
	Service string // of plain services
	Model   string // of model services
	Profile string
	Member  string
}

// KeyOf gives the key of the work's pool, profile and member.
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
	// drains is by pool and profile, pools by pool alone.
	drains, pools map[Key]*drain
}

func newSummary() Summary {
	return Summary{totals: make(map[Key]*Totals), drains: make(map[Key]*drain), pools: make(map[Key]*drain)}
}

// profileKey is KeyOf without the member.
func profileKey(w *decision.Work) Key {
	k := KeyOf(w)
	k.Member = ""
	return k
}

// PoolKey is KeyOf without the member and the profile.
func PoolKey(w *decision.Work) Key {
	k := profileKey(w)
	k.Profile = ""
	return k
}

// Throughput is how much of the profile's work, as Work.Cost weighs it, has left this
// queue lately and in how many seconds, while some always waited; zero seconds
// when nothing waits. The key's member counts as empty.
func (s *Summary) Throughput(now time.Duration, k Key) (cost, secs float64) {
	k.Member = ""
	return s.drains[k].drained(now)
}

// PoolThroughput is Drained of all profiles of the work's pool together.
func (s *Summary) PoolThroughput(now time.Duration, w *decision.Work) (cost, secs float64) {
	return s.pools[PoolKey(w)].drained(now)
}

// Get gives the totals of one part; the zero Totals when nothing waits there.
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
