package relay

import (
	"context"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
)

// freeTimeout bounds the call that lets an engine drop a KV cache; it drops it by
// itself after some seconds.
const freeTimeout = time.Second

// prefill lets another engine prefill when the placement chose a pair, and asks the
// reducer then which engine decodes; d names that one after it. Without a cache
// ended tells that the prefill was not done. With another effect the reducer has
// no engine for it.
func (j *job) prefill(ctx context.Context, d *entry.Dispatch, ended *entry.AttemptEnded) (*Cache, entry.Effect, error) {
	if d.PrefillServer == "" {
		return nil, nil, nil
	}
	reading := j.attemptAt(d.PrefillAddress, d.PrefillIncarnation)
	reading.Fetch = d.FetchAddress
	sent := clock.SinceBoot()
	cache, said, err := j.s.backend.Prefill(ctx, reading)
	if err == nil {
		j.heard(d.PrefillServer, d.PrefillIncarnation, sent, said)
	}
	if cache == nil {
		j.log.notPrefilled(*d, err)
		ended.AtPrefillServer, ended.ServerDied = true, said.OtherLife
		return nil, nil, err
	}
	j.log.prefilled()
	next, err := j.decodeAt(ctx, d, ended)
	if next != nil || err != nil {
		j.free(cache)
		return nil, next, err
	}
	return cache, nil, nil
}

// decodeAt puts the engine that decodes into d, or gives what the reducer decided
// in its place.
func (j *job) decodeAt(ctx context.Context, d *entry.Dispatch, ended *entry.AttemptEnded) (entry.Effect, error) {
	j.s.host.RefreshPeerSumForDecode(ctx)
	j.s.host.Post(entry.PrefillDone{RequestID: d.RequestID, Attempt: d.Attempt})
	select {
	case e := <-j.box:
		at, ok := e.(entry.DecodeAt)
		if !ok {
			return e, nil
		}
		d.Server, d.Incarnation, d.Address = at.Server, at.Incarnation, at.Address
		j.member, j.rank = at.Member, at.Rank
		j.log.server = at.Server
		return nil, nil
	case <-ctx.Done():
		ended.AtPrefillServer = true
		return nil, ctx.Err()
	}
}

// heard passes on what a server told of itself.
func (j *job) heard(server, incarnation string, sent time.Duration, said Said) {
	if said.OtherLife {
		return
	}
	heard := entry.ServerReported{Server: server, Incarnation: incarnation, FromResponse: true, SentAt: sent, Backpressure: said.Word}
	if said.HasLoad {
		heard.State, heard.HasLoad = engineapi.StateServing, true
		heard.Load = engineapi.Load{Running: uint32(said.Running), Queued: uint32(said.Queued)}
	}
	j.s.host.Post(heard)
}

// free drops a KV cache that no engine took over.
func (j *job) free(c *Cache) {
	if c == nil {
		return
	}
	j.s.host.Spawn(func() {
		ctx, cancel := context.WithTimeout(j.s.host.TaskContext, freeTimeout)
		defer cancel()
		j.s.backend.Free(ctx, c)
	})
}
