package host

import (
	"sync"
	"testing"
	"time"
)

// Guards against memory that grows without bound while a process is slow to answer, and against items that wait
// for good behind it or for one that has nothing to do with it.
func TestOutboxIsBounded(t *testing.T) {
	const capacity = 3
	release := make(chan struct{})
	var running sync.WaitGroup
	var mu sync.Mutex
	got := make(map[string]int)
	dropped := 0
	o := outbox[string, int]{
		send: func(to string, batch []int) {
			if to == "slow" {
				<-release
			}
			mu.Lock()
			defer mu.Unlock()
			got[to] += len(batch)
		},
		pause: func(string) time.Duration { return 0 }, dropped: func() { dropped++ },
		spawn: func(f func()) { running.Go(f) }, stopped: t.Context(), capacity: capacity,
	}
	o.add("slow", 0)
	for o.waitingFor("slow") > 0 {
		time.Sleep(time.Millisecond)
	}
	for n := range capacity + 2 {
		o.add("slow", n)
	}
	o.add("other", 0)
	close(release)
	running.Wait()
	if got["slow"] != capacity+1 || got["other"] != 1 || dropped != 2 || len(o.waiting) > 0 {
		t.Errorf("sent %v, dropped %d, left %v", got, dropped, o.waiting)
	}
}

func (o *outbox[Receiver, Item]) waitingFor(to Receiver) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.waiting[to])
}
