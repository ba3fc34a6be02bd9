package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/suspicion"
)

// furthestProgress is how far answers on parts of prompts have got at one server.
//
// A part that crashes servers does so where they begin to write, or at the same position each time. An
// answer that got further than another one had when its server crashed shows that their common parts were
// not the cause.
type furthestProgress map[quarantineKey]*partProgress

// partProgress is what answers on a part have shown within exonerationTime.
type partProgress struct {
	// since is when the counts were last halved, at when an answer was last seen.
	since, at time.Duration
	tokens    int
	// left counts by tokens, from one on, the answers that their callers left after as many or more,
	// and whose servers lived.
	left [maxLeftTokens]int
}

const (
	// progressStep is in which steps progress is noted.
	progressStep = 4
	// maxProgressed bounds the parts of which progress is known.
	maxProgressed = 1 << 14
	// maxLeftTokens bounds the tokens that left answers are counted by; longer ones pass
	// suspicion.Margin.
	maxLeftTokens = 16
	// leftAnswersNeeded is how many answers that were left show that their part ends no server so early:
	// a few of those that would have may be left just before.
	leftAnswersNeeded = 8
	// leftAnswersPerCrash is how many answers that were left after they had begun outweigh a crash, wherever
	// that came: so often few leave what ends servers.
	leftAnswersPerCrash = 8
)

// beyond reports whether an answer on the part has lately got further than the position.
func (f furthestProgress) beyond(key quarantineKey, position int, now time.Duration) bool {
	p := f[key]
	return p != nil && now-p.at < exonerationTime && p.tokens >= position+suspicion.Margin
}

// leftAfter reports whether enough callers have lately left answers on the part that had begun, and had as
// many tokens. Where all callers leave early no answer is ever whole, and none gets far.
func (f furthestProgress) leftAfter(key quarantineKey, tokens int, now time.Duration) bool {
	p, tokens := f[key], max(tokens, 1)
	return p != nil && now-p.at < exonerationTime && tokens <= maxLeftTokens && p.left[tokens-1] >= leftAnswersNeeded
}

// outweighs reports whether so many answers on the part were lately left after they had begun that it can
// hardly be the cause of the crashes.
func (f furthestProgress) outweighs(key quarantineKey, crashes int, now time.Duration) bool {
	p := f[key]
	return p != nil && now-p.at < exonerationTime && p.left[0] >= leftAnswersPerCrash*crashes
}

// clearIfLeft clears a part if enough callers have left answers on it that got as far as that position,
// and as those that ended with their servers before, or so many that they outweigh the crashes. It
// returns whether it did.
func (r *Reducer) clearIfLeft(key quarantineKey, position int) bool {
	crashes := 1
	if s := r.suspects.byKey[key]; s != nil {
		position, crashes = max(position, s.furthestCrash), len(s.deaths)+1
	}
	f := r.suspects.furthest
	if !f.leftAfter(key, position, r.now) && !f.outweighs(key, crashes, r.now) {
		return false
	}
	r.clearKey(key)
	return true
}

// of returns what is known of the part, without what is too old.
func (f furthestProgress) of(key quarantineKey, now time.Duration) *partProgress {
	p := f[key]
	if p == nil && len(f) >= maxProgressed {
		clear(f)
	}
	if p == nil || now-p.at >= exonerationTime {
		p = &partProgress{since: now}
		f[key] = p
	}
	if now-p.since >= exonerationTime {
		p.since, p.tokens = now, 0
		for i := range p.left {
			p.left[i] /= 2
		}
	}
	p.at = now
	return p
}

func (f furthestProgress) add(key quarantineKey, tokens int, now time.Duration) {
	p := f.of(key, now)
	p.tokens = max(p.tokens, tokens)
}

func (f furthestProgress) addLeft(key quarantineKey, tokens int, now time.Duration) {
	p := f.of(key, now)
	for i := range min(tokens, maxLeftTokens) {
		p.left[i]++
	}
}

// notePartProgress records how far an answer has got at its server.
func (r *Reducer) notePartProgress(q *request, tokens int) {
	if tokens%progressStep != 0 {
		return
	}
	for _, key := range q.partKeys() {
		r.suspects.furthest.add(key, tokens, r.now)
	}
}

// noteLeft records that a caller has left an answer that had begun, at a server that lives. A trial of
// a quarantined part that got as far as the answers that ended with their servers ends the quarantine:
// where callers never read on, no trial would.
func (r *Reducer) noteLeft(q *request) {
	tokens := q.serverTokens + q.attemptTokens
	if q.server == nil || q.server.died || tokens == 0 {
		return
	}
	for _, key := range q.partKeys() {
		r.suspects.furthest.addLeft(key, tokens, r.now)
	}
	if s := r.suspects.byKey[q.trialOf]; s != nil && q.trialOf.part && tokens >= s.furthestCrash {
		r.clearKey(q.trialOf)
	}
}
