package entry

import (
	"fmt"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// limiting says that engine-0 takes so many requests a second.
func limiting(rate float64) func(string) backpressure.Word {
	return func(server string) backpressure.Word {
		if server == "engine-0" {
			return backpressure.Word{Rate: rate}
		}
		return backpressure.Word{}
	}
}

// Guards against a sum over entries that is beyond a server's limit, or leaves it idle.
func TestLimitHoldsOverAllEntries(t *testing.T) {
	for _, entries := range []int{1, 9, 75, 191} {
		for _, alone := range []bool{false, true} {
			for _, rate := range []float64{0.5, 8.6} {
				t.Run(fmt.Sprintf("%d entries, limit %g, alone %v", entries, rate, alone), func(t *testing.T) {
					servers := serving(3)
					if alone {
						servers = serving(1)
					}
					c := newCrowd(t, entries, servers, limiting(rate))
					c.play(12*second, 100)
					got, most := c.most("engine-0"), allowed(rate)
					t.Logf("%d in the worst 4 s, at most %d; %d sent, %d whole, %d refused", got, most, c.sent, c.whole, len(c.refused))
					if got > most {
						t.Errorf("the server got %d requests in 4 s, at most %d", got, most)
					}
					if all := len(c.arrived["engine-0"]); alone && float64(all) < 12*rate/2 {
						t.Errorf("the server got %d requests in 12 s, and takes %g", all, 12*rate)
					}
					if !alone && len(c.refused) > 0 {
						t.Errorf("%d refused beside servers that take all: %v", len(c.refused), c.refused)
					}
				})
			}
		}
	}
}

// Guards against work that waits for a server in need until its time is up, unheard.
func TestWhatAServerInNeedDoesNotTakeIsRefusedAtOnce(t *testing.T) {
	c := newCrowd(t, 9, serving(1), limiting(5))
	c.play(3*second, 100)
	c.refused, c.sent = nil, 0
	c.play(6*second, 100)
	late := 0
	for _, r := range c.refused {
		if r.retryAfter <= 0 {
			t.Fatalf("refused without a time to come back: %+v", r)
		}
		if r.took > 400*time.Millisecond {
			late++
		}
	}
	if len(c.refused) < c.sent*8/10 || late > len(c.refused)/20 {
		t.Errorf("%d refused, %d of them when they could not be on time any more", len(c.refused), late)
	}
}

// Guards against a limit that falls, or is kept by nobody, when the entry that keeps it dies.
func TestLimitHoldsWhenItsKeeperDies(t *testing.T) {
	const rate = 8.6
	c := newCrowd(t, 9, serving(2), limiting(rate))
	c.play(6*second, 100)
	keeper, _ := c.worlds[0].r.scheduleOwner("engine-0")
	c.dead[keeper] = true
	before := len(c.arrived["engine-0"])
	c.play(8*second, 100)
	if got := c.most("engine-0"); got > allowed(rate) {
		t.Errorf("the server got %d requests in 4 s, at most %d", got, allowed(rate))
	}
	if got := len(c.arrived["engine-0"]) - before; float64(got) < rate*8/2 {
		t.Errorf("the server got %d requests in 8 s after that, and takes %g", got, rate*8)
	}
}

// Guards against an engine whose limit holds for what it runs, but not for what it reads for others.
func TestReadingForOthersCountsAgainstALimit(t *testing.T) {
	const rate = 4.0
	c := newCrowd(t, 3, prefillers(2, 1), func(server string) backpressure.Word {
		if server == "engine-2" {
			return backpressure.Word{Rate: rate}
		}
		return backpressure.Word{}
	})
	c.change = func(a *RequestArrived) { a.Work.PromptTokens, a.Work.Pace.MoveRate = 17000, 2e6 }
	c.play(10*second, 30)
	if got := c.most("engine-2"); got > allowed(rate) || got < 4 {
		t.Errorf("the engine that reads got %d requests in 4 s, at most %d", got, allowed(rate))
	}
	if len(c.refused) > c.sent/20 {
		t.Errorf("%d of %d refused", len(c.refused), c.sent)
	}
}

// Guards against work that waits, unheard, for engines in need because others, which only read
// prompts, are free.
func TestEnginesThatOnlyReadOpenNothing(t *testing.T) {
	c := newCrowd(t, 6, prefillers(2, 2), func(server string) backpressure.Word {
		if server == "engine-0" || server == "engine-1" {
			return backpressure.Word{Rate: 2}
		}
		return backpressure.Word{}
	})
	c.play(9*second, 60)
	if len(c.refused) == 0 || c.longest > second {
		t.Errorf("%d refused; one request waited %v", len(c.refused), c.longest)
	}
}

// limited tells an entry of a limit by an answer.
func (w *world) limited(i int, sent time.Duration, rate float64) {
	w.step(ServerReported{
		Server: fmt.Sprintf("engine-%d", i), Incarnation: "life-1", FromResponse: true, SentAt: sent, Backpressure: backpressure.Word{Rate: rate},
	})
}

// Guards against a limit that an older answer, silence or a heartbeat ends, or that never ends.
func TestOnlyALaterAnswerEndsALimit(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(2)...)
	rate := func() float64 { return w.r.servers.byID["engine-0"].backpressure.Limit.Rate() }
	began := w.now
	w.after(second)
	w.limited(0, began+500*time.Millisecond, 6)
	w.limited(0, began, 0)
	if rate() != 6 {
		t.Fatal("an answer that was under way longer has ended the limit")
	}
	w.after(time.Minute)
	w.said(0, engineapi.StateServing)
	w.renew()
	if rate() != 6 {
		t.Fatal("silence or a heartbeat has ended the limit")
	}
	w.limited(0, began+200*time.Millisecond, 9)
	if rate() != 6 {
		t.Fatal("an older answer has raised the limit")
	}
	w.limited(0, w.now, 9)
	if rate() != 9 {
		t.Fatal("a later answer has not changed the limit")
	}
	w.limited(0, w.now, 0)
	if rate() != 0 {
		t.Fatal("a later answer without a limit has not ended it")
	}
}

// Guards against a limit that passes to another life, or is lost when the same one comes back.
func TestLimitIsOfOneLife(t *testing.T) {
	w := relayedWorld(t)
	w.view(serving(2)...)
	w.limited(0, w.now, 6)
	w.view(serving(2)[1])
	w.view(serving(2)...)
	if got := w.r.servers.byID["engine-0"].backpressure.Limit.Rate(); got != 6 {
		t.Errorf("the life that came back has limit %g", got)
	}
	next := serving(2)
	next[0].Incarnation = "life-2"
	w.view(next...)
	if got := w.r.servers.byID["engine-0"].backpressure.Limit.Rate(); got != 0 {
		t.Errorf("a new life has limit %g", got)
	}
}

// Guards against an entry that sends a server in need little and hears of its limit late.
func TestOthersAreToldOfALimit(t *testing.T) {
	entries := manyEntries(191)
	member, sums := worldsOf(t, entries, serving(2)...)
	sums.limited(0, sums.now, 6)
	member.step(SumReceived{SentAt: member.now, Sum: sums.askedBy(member, 0)})
	if got := member.r.servers.byID["engine-0"].backpressure.Limit.Rate(); got != 6 {
		t.Errorf("the member knows of limit %g", got)
	}
	direct := relayedWorld(t)
	direct.viewWithPeers(2, serving(2)...)
	direct.limited(0, direct.now, 6)
	direct.relayed("r1", nil)
	direct.after(second)
	for _, report := range pick[ReportToPeers](direct.renew()) {
		if words := report.Request.GetWords(); len(words) == 1 && words[0].GetRate() == 6 {
			return
		}
	}
	t.Error("no report tells of the limit")
}
