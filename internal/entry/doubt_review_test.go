package entry

import (
	"fmt"
	"testing"
	"time"
)

// inDoubtAfter charges a request, as notices of other entries do, with crashes that are all in doubt.
func (w *harness) inDoubtAfter(fingerprint uint64, crashes int) {
	s := w.r.suspects.add(quarantineKey{member: "hotels", fingerprint: fingerprint})
	s.at = w.now
	for i := range crashes {
		s.deaths[fmt.Sprintf("ended-%d/life-0", i)] = charge{score: veryDoubtfulScore}
	}
}

// Guards against a request in doubt that runs beside its copies, and while other servers crash, since it waited in the
// queue when the crashes were told: what leaves the queue is asked nothing.
func TestQueuedCopiesOfARequestInDoubtRunOneAtATimeAndInCalm(t *testing.T) {
	w := newHarness(t)
	list := serving(3)
	for _, s := range list {
		s.Slots = 1
	}
	w.view(list...)
	var filling []Dispatch
	for _, id := range []string{"f", "fi", "fil"} {
		w.arrive(id)
		filling = append(filling, w.singleDispatch())
	}
	for _, id := range []string{"copy-1", "copy-2", "copy-3"} {
		if sent := effectsOf[Dispatch](w.arrive(id)); len(sent) > 0 {
			t.Fatalf("%s is not queued: %v", id, sent)
		}
	}
	w.inDoubtAfter(uint64(len("copy-1")), maxDoubtfulCrashes)
	w.r.suspects.crashes.add("elsewhere/life-0", w.now)
	sent := 0
	for _, d := range filling {
		w.startAttempt(d)
		sent += len(effectsOf[Dispatch](w.endAttempt(d, completed)))
	}
	if sent > 0 {
		t.Errorf("%d copies were sent in the moment of another server's crash, want none", sent)
	}
}

// Guards against a request that waits to its deadline since servers of another model, which could not run it, go on
// crashing.
func TestCrashesOfServersThatCannotRunItHoldNoRequest(t *testing.T) {
	w := newHarness(t)
	list := serving(7)
	list[6].Model = "another-model"
	w.view(list...)
	arrival := w.arrival("r1", "hotels")
	w.inDoubtAfter(arrival.Fingerprint, maxDoubtfulCrashes)
	w.r.suspects.crashes.add("engine-6/life-0", w.now)
	w.step(arrival)
	start, life := w.now, 0
	for w.now < start+50*time.Second {
		w.advance(100 * time.Millisecond)
		if (w.now-start)%(1500*time.Millisecond) == 0 {
			life++
			w.r.suspects.crashes.add(fmt.Sprintf("engine-6/life-%d", life), w.now)
		}
		w.renew()
		if sent := effectsOf[Dispatch](w.effects); len(sent) > 0 {
			return
		}
	}
	t.Errorf("not sent in %v, while six idle servers could run it and only one of another model crashed", w.now-start)
}

// What one look at the held requests costs while a copy of a request in doubt runs: it grows with the held copies times
// all requests of the entry.
func BenchmarkHeldCopiesOfARequestInDoubt(b *testing.B) {
	for _, n := range []int{50, 500} {
		b.Run(fmt.Sprintf("%d held copies, 2500 requests", n), func(b *testing.B) {
			w := newHarness(b)
			w.r.cfg.MaxStreams = 10000
			list := serving(6)
			for _, s := range list {
				s.Slots = 10000
			}
			w.view(list...)
			const doubted = 7
			w.inDoubtAfter(doubted, 2)
			for i := range n {
				a := w.arrival(fmt.Sprintf("copy-%d", i), "hotels")
				a.Fingerprint = doubted
				w.step(a)
			}
			for i := range 2500 - n {
				a := w.arrival(fmt.Sprintf("other-%d", i), "hotels")
				a.Fingerprint = uint64(1000 + i)
				w.step(a)
			}
			for range 40 {
				w.advance(100 * time.Millisecond)
				w.renew()
				w.step(Tick{})
			}
			held := len(w.r.held)
			b.ResetTimer()
			for range b.N {
				w.r.dispatchHeld()
			}
			b.ReportMetric(float64(held), "held")
			b.ReportMetric(float64(len(w.r.requests)), "requests")
		})
	}
}

// Guards against copies of a request in doubt that are sent one after the other as their callers leave: the
// server may end under each of them, and it is not known yet whether it does.
func TestCopyOfARequestInDoubtWaitsForTheOneWhoseCallerLeft(t *testing.T) {
	w := newHarness(t)
	w.view(serving(3)...)
	first := w.arrival("copy-1", "hotels")
	w.inDoubtAfter(first.Fingerprint, 2)
	var sent []Dispatch
	arrive := func(id string) {
		a := w.arrival(id, "hotels")
		a.Fingerprint = first.Fingerprint
		w.step(a)
		sent = append(sent, effectsOf[Dispatch](w.effects)...)
	}
	for _, id := range []string{"copy-1", "copy-2", "copy-3"} {
		arrive(id)
	}
	for range 100 {
		w.advance(100 * time.Millisecond)
		w.renew()
		sent = append(sent, effectsOf[Dispatch](w.effects)...)
		if len(sent) == 1 {
			break
		}
	}
	if len(sent) != 1 {
		t.Fatalf("%d copies were sent, want the first one", len(sent))
	}
	w.startAttempt(sent[0])
	w.step(CallerDisconnected{RequestID: sent[0].RequestID})
	sent = append(sent, effectsOf[Dispatch](w.effects)...)
	w.advance(100 * time.Millisecond)
	w.renew()
	sent = append(sent, effectsOf[Dispatch](w.effects)...)
	if len(sent) != 1 {
		t.Errorf("%d more copies were sent within 100 ms of the moment in which the caller of the first one left", len(sent)-1)
	}
}

// Guards against a request in doubt that ends one server after the other uncharged, since its callers leave before the
// servers end.
func TestEndUnderACopyWhoseCallerLeftIsCharged(t *testing.T) {
	w := newHarness(t)
	w.view(serving(1)...)
	copyOf, beside := w.arrival("copy-1", "hotels"), w.arrival("other", "hotels")
	w.inDoubtAfter(copyOf.Fingerprint, 2)
	w.step(beside)
	other := w.singleDispatch()
	w.startAttempt(other)
	w.step(copyOf)
	for range 50 {
		w.advance(100 * time.Millisecond)
		w.renew()
		sent := effectsOf[Dispatch](w.effects)
		if len(sent) == 0 {
			continue
		}
		w.startAttempt(sent[0])
		w.step(CallerDisconnected{RequestID: sent[0].RequestID})
		w.advance(150 * time.Millisecond)
		w.endAttempt(other, func(ev *AttemptEnded) { ev.ServerDied = true })
		if n := w.r.suspects.byKey[quarantineKey{member: "hotels", fingerprint: copyOf.Fingerprint}].counted(); n != 3 {
			t.Errorf("charged with %d ends after the server ended 150 ms after its caller had left, want 3", n)
		}
		return
	}
	t.Fatal("the copy was not sent")
}
