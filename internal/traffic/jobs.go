package traffic

import (
	"context"
	"sync"
)

// jobs knows the model requests that this entry drives, so that a caller that
// comes back takes its request over from the connection that it lost.
type jobs struct {
	mu   sync.Mutex
	byID map[string]*runningJob
}

type runningJob struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func newJobs() *jobs { return &jobs{byID: make(map[string]*runningJob)} }

// add notes a job and gives what its goroutine must call at its end.
func (j *jobs) add(wireID string, cancel context.CancelFunc) func() {
	job := &runningJob{cancel: cancel, done: make(chan struct{})}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byID[wireID] = job
	return func() { j.remove(wireID, job) }
}

func (j *jobs) remove(wireID string, job *runningJob) {
	close(job.done)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.byID[wireID] == job {
		delete(j.byID, wireID)
	}
}

// runs tells whether this entry runs the request.
func (j *jobs) runs(wireID string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.byID[wireID] != nil
}

// takeOver ends the job if this entry runs it and waits until it has ended.
func (j *jobs) takeOver(ctx context.Context, wireID string) {
	j.mu.Lock()
	job := j.byID[wireID]
	j.mu.Unlock()
	if job == nil {
		return
	}
	job.cancel()
	select {
	case <-job.done:
	case <-ctx.Done():
	}
}

// cancelAll ends all jobs, for the end of a planned stop.
func (j *jobs) cancelAll() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, job := range j.byID {
		job.cancel()
	}
}

func (j *jobs) count() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.byID)
}
