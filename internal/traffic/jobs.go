package traffic

import (
	"context"
	"sync"
)

// jobRegistry tracks the model requests that run at this entry. When a caller
// resumes a request, the job that still serves its broken connection is
// cancelled through it.
type jobRegistry struct {
	mu   sync.Mutex
	byID map[string]*runningJob
}

type runningJob struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func newJobRegistry() *jobRegistry { return &jobRegistry{byID: make(map[string]*runningJob)} }

// add registers a job. The job's goroutine must call the returned function when
// it ends.
func (r *jobRegistry) add(wireID string, cancel context.CancelFunc) func() {
	job := &runningJob{cancel: cancel, done: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[wireID] = job
	return func() { r.remove(wireID, job) }
}

func (r *jobRegistry) remove(wireID string, job *runningJob) {
	close(job.done)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID[wireID] == job {
		delete(r.byID, wireID)
	}
}

// isRunning reports whether the request runs at this entry.
func (r *jobRegistry) isRunning(wireID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[wireID] != nil
}

// cancelAndWait cancels the request's job, if it runs at this entry, and waits
// until it has ended.
func (r *jobRegistry) cancelAndWait(ctx context.Context, wireID string) {
	r.mu.Lock()
	job := r.byID[wireID]
	r.mu.Unlock()
	if job == nil {
		return
	}
	job.cancel()
	select {
	case <-job.done:
	case <-ctx.Done():
	}
}

// cancelAll cancels all jobs, at the end of a planned stop.
func (r *jobRegistry) cancelAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.byID {
		job.cancel()
	}
}

func (r *jobRegistry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byID)
}
