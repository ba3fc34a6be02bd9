package host

import (
	"context"
	"sync"

	"github.com/google/uuid"
	"github.com/twitchtv/twirp"
)

// questions are other entries' questions that wait for the reducer's answer, by key. A nil
// answer tells that there is none.
type questions[T any] struct {
	mu   sync.Mutex
	open map[string]chan *T
}

// put hands a question over under a new key and waits for its answer.
func (q *questions[T]) put(ctx context.Context, stopped <-chan struct{}, post func(key string)) (*T, error) {
	key, answered := uuid.NewString(), make(chan *T, 1)
	q.mu.Lock()
	if q.open == nil {
		q.open = make(map[string]chan *T)
	}
	q.open[key] = answered
	q.mu.Unlock()
	defer q.forget(key)
	post(key)
	select {
	case a := <-answered:
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

func (q *questions[T]) forget(key string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, key)
}

// answer hands the reducer's answer to the one who asked, if it still waits.
func (q *questions[T]) answer(key string, a *T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if answered := q.open[key]; answered != nil {
		answered <- a
	}
}
