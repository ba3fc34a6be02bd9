package entry

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Users' limits for a request that crashes the servers that run it: later than this after its third
// crash it may reach servers this often.
const (
	allowedCrashes    = 3
	crashNoticeTime   = 3 * time.Second
	allowedCrashSends = 3
)

// killAgain ends a share of the servers, again and again; each comes back.
func killAgain(rounds int, share float64, interval time.Duration) func(*crashSim) {
	return func(s *crashSim) {
		n := max(1, int(share*float64(s.crashScenario.servers)))
		for round := range rounds {
			at := simStart + time.Second + time.Duration(round)*interval
			s.after(at-s.now, func() {
				for _, i := range s.rng.Perm(s.crashScenario.servers)[:n] {
					s.killCurrent(i)
				}
			})
		}
	}
}

// killOne ends the same server each time that it is back.
func killOne(rounds int, interval time.Duration) func(*crashSim) {
	return func(s *crashSim) {
		for round := range rounds {
			s.after(simStart+time.Second+time.Duration(round)*interval-s.now, func() { s.killCurrent(0) })
		}
	}
}

func (s *crashSim) killCurrent(i int) {
	if server := s.servers[fmt.Sprintf("engine-%d", i)]; !server.dead {
		s.kill(server)
	}
}

// sentAfterThirdCrash is how often the crashing request reached servers too late.
func (s *crashSim) sentAfterThirdCrash() int {
	if len(s.crashTimes) < allowedCrashes {
		return 0
	}
	return countAfter(s.partSends, s.crashTimes[allowedCrashes-1]+crashNoticeTime, math.MaxInt64)
}

// storms are servers that end for other reasons.
var storms = map[string]func(*crashSim){
	"none":                                 func(*crashSim) {},
	"a quarter each 1.2 s, nine times":     killAgain(9, 0.25, 1200*time.Millisecond),
	"a quarter each 1.2 s, all the time":   killAgain(18, 0.25, 1200*time.Millisecond),
	"one each 250 ms, all the time":        killAgain(80, 0, 250*time.Millisecond),
	"one each second, all the time":        killAgain(20, 0, time.Second),
	"the same one again and again":         killOne(14, 1400*time.Millisecond),
	"a quarter at once, and each 5 s anew": killAgain(4, 0.25, 5*time.Second),
}

// Guards against both ways to be wrong about a request that crashes servers while others end for other
// reasons: it must not reach servers for long, and no harmless request is refused for them.
func TestCrashingRequestBesideServersThatEnd(t *testing.T) {
	for name, kills := range storms {
		for _, size := range []struct{ entries, servers, seeds int }{{6, 9, 3}, {84, 60, 1}} {
			for _, parts := range []int{0, 24} {
				// The large deployment takes long: all of its cases are played by hand, with -v.
				if size.entries > 6 && !testing.Verbose() && (name != "one each second, all the time" || parts == 0) {
					continue
				}
				t.Run(fmt.Sprintf("%s, %d entries, %d parts", name, size.entries, parts), func(t *testing.T) {
					t.Parallel()
					crashes, refused, finished, begun := 0, 0, 0, 0
					for seed := range uint64(size.seeds) {
						s := playCrashes(t, crashScenario{
							entries: size.entries, servers: size.servers, rate: 60, duration: 22 * time.Second, kills: kills, crashers: 1,
							restart: 2 * time.Second, parts: parts, noFirstPart: true, seed: seed,
						})
						if late := s.sentAfterThirdCrash(); late > allowedCrashSends {
							t.Errorf("seed %d: %d servers ended, the request reached servers %d times too late", seed, len(s.crashTimes), late)
						}
						crashes, refused, finished, begun = crashes+len(s.crashTimes), refused+s.harmlessQuarantined, finished+s.harmlessFinished, begun+len(s.soundSent)
					}
					t.Logf("%.1f servers ended by it in the mean; of %d harmless requests %d finished, %d were refused", float64(crashes)/float64(size.seeds), begun, finished, refused)
					if refused > 0 {
						t.Errorf("%d harmless requests were refused in %d plays", refused, size.seeds)
					}
				})
			}
		}
	}
}

// Guards against a request in doubt that several entries send at once, as none knows that another one's attempt is on its
// way to end a server.
func TestRequestInDoubtRunsAtOneEntryAtATime(t *testing.T) {
	const seeds = 6
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := playCrashes(t, crashScenario{
				entries: 9, servers: 9, rate: 60, duration: 22 * time.Second, kills: storms["a quarter each 1.2 s, nine times"], crashers: 1,
				crasherBegins: 600 * time.Millisecond, restart: 2 * time.Second, parts: 24, noFirstPart: true, seed: seed,
			})
			if late := s.sentAfterThirdCrash(); late > allowedCrashSends || s.harmlessQuarantined > 0 {
				t.Errorf("%d servers ended, the request reached servers %d times too late; %d harmless requests were refused", len(s.crashTimes), late, s.harmlessQuarantined)
			}
		})
	}
}
