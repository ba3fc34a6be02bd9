package host

import (
	"context"
	"sync"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"
)

// pendingRequests are requests of other entries that wait for the reducer's answer, by key. A
// nil answer means that the reducer has none to give.
type pendingRequests[T any] struct {
	mu      sync.Mutex
	pending map[string]chan *T
}

// submit posts a request under a new key and waits for its answer.
func (q *pendingRequests[T]) submit(ctx context.Context, stopped <-chan struct{}, post func(key string)) (*T, error) {
	key, response := uuid.NewString(), make(chan *T, 1)
	q.mu.Lock()
	if q.pending == nil {
		q.pending = make(map[string]chan *T)
	}
	q.pending[key] = response
	q.mu.Unlock()
	defer q.remove(key)
	post(key)
	select {
	case a := <-response:
		if a == nil {
			return nil, twirp.Unavailable.Error("this entry has no answer")
		}
		return a, nil
	case <-ctx.Done():
		return nil, twirp.DeadlineExceeded.Error("no answer in time")
	case <-stopped:
		return nil, twirp.Unavailable.Error("the entry stops")
	}
}

func (q *pendingRequests[T]) remove(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, key)
}

// resolve passes the reducer's answer to the waiting submit call, if it still waits.
func (q *pendingRequests[T]) resolve(key string, a *T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if response := q.pending[key]; response != nil {
		response <- a
	}
}
