package relay

import (
	"context"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
)

// freeTimeout bounds the call that lets an engine drop a KV cache; it drops it by
// itself after some seconds.
const freeTimeout = time.Second

// prefill lets another engine prefill when the placement chose a pair. It gives
// nil when that failed: the decoding engine then prefills by itself, which is
// slower and no reason to fail the request.
func (j *job) prefill(ctx context.Context, d entry.Dispatch) *Cache {
	if d.PrefillServer == "" {
		return nil
	}
	cache, said, err := j.s.backend.Prefill(ctx, j.attemptAt(d.PrefillAddress, d.PrefillIncarnation))
	if said.HasLoad && !said.OtherLife {
		j.s.host.Post(entry.ServerSaid{
			Server: d.PrefillServer, Incarnation: d.PrefillIncarnation, State: engineapi.StateServing, HasLoad: true,
			Load: engineapi.Load{Running: uint32(said.Running), Queued: uint32(said.Queued)},
		})
	}
	if cache == nil {
		j.log.notPrefilled(d, err)
		return nil
	}
	j.log.prefilled()
	return cache
}

// free drops a KV cache that the decoding engine did not take over.
func (j *job) free(c *Cache) {
	if c == nil {
		return
	}
	j.s.host.Spawn(func() {
		ctx, cancel := context.WithTimeout(j.s.host.Background, freeTimeout)
		defer cancel()
		j.s.backend.Free(ctx, c)
	})
}
