//go:build review

package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// leaseTime and thawTime are the site's lease-ms and thaw-ms.
	leaseTime = 3 * time.Second
	thawTime  = 300 * time.Millisecond
	// splitTime is how long one split lasts, healTime how long control is whole before the next one.
	splitTime = 1100 * time.Millisecond
	healTime  = 250 * time.Millisecond
	// splitsPerRound are the splits while one order is carried out.
	splitsPerRound = 4
	rounds         = 6
	enginesAtOnce  = 6
)

// turns splits control in two while engines that don't check fences change their stage. Each split takes the replica
// apart that gave the last order.
func turns(s *stage) (string, error) {
	if err := s.replaceManifest(engineManifest("huvo11a")); err != nil {
		return "", err
	}
	if err := s.ready(20 * time.Second); err != nil {
		return "", err
	}
	var all []*engine
	defer func() {
		for _, e := range all {
			e.stop()
		}
	}()
	var heals []time.Time
	for round := range rounds {
		var present []*engine
		for n := range enginesAtOnce {
			e, err := newEngine(s.deployment, 1+round*enginesAtOnce+n, "huvo11a", "decode")
			if err != nil {
				return "", err
			}
			present = append(present, e)
			all = append(all, e)
		}
		if !until(15*time.Second, func() bool { return lastHolder(present) != "" }) {
			return "", errors.New("no engine gets an order")
		}
		time.Sleep(50 * time.Millisecond)
		for n := range splitsPerRound {
			apart := s.holderMachine(lastHolder(present))
			if apart == nil {
				return "", errors.New("the holder of an order is unknown")
			}
			if s.trouble {
				heal := s.split(apart)
				s.record.logf("round %d, split %d: %s is cut from the other replicas", round+1, n+1, apart.Name)
				time.Sleep(splitTime)
				heal()
				heals = append(heals, time.Now())
				s.record.logf("the split is healed")
				time.Sleep(healTime)
			} else {
				time.Sleep(splitTime + healTime)
			}
		}
		time.Sleep(3 * time.Second)
		for _, e := range present {
			if problem := judgeTurns(e, heals); problem != "" {
				return problem, nil
			}
		}
		if !s.trouble && round >= 1 {
			break
		}
		// The engines are replaced by new ones, as in a release.
		for _, e := range present {
			e.stop()
		}
		all = nil
		time.Sleep(6 * time.Second)
	}
	return "", nil
}

// lastHolder returns the holder of the order that arrived last.
func lastHolder(engines []*engine) string {
	var last order
	for _, e := range engines {
		for _, o := range e.received() {
			if o.at.After(last.at) {
				last = o
			}
		}
	}
	return last.holder
}

func (d *deployment) holderMachine(holder string) *machine {
	for _, m := range d.control {
		if holder == m.Name || strings.HasPrefix(holder, m.Name+"/") {
			return m
		}
	}
	return nil
}

// judgeTurns returns how the orders to an engine break the rule: machines in the order A, B, A within lease-ms, two
// machines with one generation number, or a lower one after a higher one. Orders within thaw-ms after a heal don't count.
func judgeTurns(e *engine, heals []time.Time) string {
	var counted []order
	for _, o := range e.received() {
		excused := false
		for _, h := range heals {
			excused = excused || !o.at.Before(h) && o.at.Sub(h) <= thawTime
		}
		if !excused {
			counted = append(counted, o)
		}
	}
	name := func(o order) string { machine, _, _ := strings.Cut(o.holder, "/"); return machine }
	for i, a := range counted {
		for j, b := range counted[i+1:] {
			if b.token < a.token {
				return fmt.Sprintf("engine %s: token %#x of %s after %#x of %s", e.id, b.token, name(b), a.token, name(a))
			}
			if b.token == a.token && name(b) != name(a) {
				return fmt.Sprintf("engine %s: token %#x of %s and of %s", e.id, b.token, name(b), name(a))
			}
			if name(b) == name(a) {
				continue
			}
			for _, c := range counted[i+1+j+1:] {
				if name(c) == name(a) && c.at.Sub(a.at) < leaseTime {
					return fmt.Sprintf("engine %s: orders of %s, %s, %s within %d ms", e.id, name(a), name(b), name(c), c.at.Sub(a.at).Milliseconds())
				}
			}
		}
	}
	return ""
}
