package relay

import (
	"context"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
)

// freeTimeout bounds the call that frees a KV cache at an engine. The engine also frees it by
// itself after some seconds.
const freeTimeout = time.Second

// prefill runs the prefill on a separate engine if the placement chose one. It then asks the
// reducer which engine decodes and writes that one into d. If no cache is returned, ended says
// that the attempt ended at the prefill engine. A non-nil effect means that the reducer has no
// engine to decode.
func (j *job) prefill(ctx context.Context, d *entry.Dispatch, ended *entry.AttemptEnded) (*KVCache, entry.Effect, error) {
	if d.PrefillServer == "" {
		return nil, nil, nil
	}
	attempt := j.newAttempt(d.PrefillAddress, d.PrefillIncarnation)
	attempt.FetchAddress = d.FetchAddress
	sent := clock.SinceBoot()
	cache, status, err := j.s.backend.Prefill(ctx, attempt)
	if err == nil {
		j.reportStatus(d.PrefillServer, d.PrefillIncarnation, sent, status)
	}
	if cache == nil {
		j.log.prefillFailed(*d, err)
		ended.AtPrefillServer, ended.ServerDied = true, status.OtherIncarnation
		return nil, nil, err
	}
	j.log.prefillDone()
	next, err := j.decodeAt(ctx, d, ended)
	if next != nil || err != nil {
		j.freeCache(cache)
		return nil, next, err
	}
	return cache, nil, nil
}

// decodeAt writes the engine that decodes into d, or returns the effect that the reducer chose
// instead.
func (j *job) decodeAt(ctx context.Context, d *entry.Dispatch, ended *entry.AttemptEnded) (entry.Effect, error) {
	j.s.host.RefreshPeerSumForDecode(ctx)
	j.s.host.Post(entry.PrefillDone{RequestID: d.RequestID, Attempt: d.Attempt})
	select {
	case e := <-j.effects:
		at, ok := e.(entry.DecodeAt)
		if !ok {
			return e, nil
		}
		d.Server, d.Incarnation, d.Address, d.Version = at.Server, at.Incarnation, at.Address, at.Version
		j.member, j.rank = at.Member, at.Rank
		j.log.server, j.log.version = at.Server, at.Version
		return nil, nil
	case <-ctx.Done():
		ended.AtPrefillServer = true
		return nil, ctx.Err()
	}
}

// reportStatus passes on to the reducer what a server's response says about the server.
func (j *job) reportStatus(server, incarnation string, sent time.Duration, status ServerStatus) {
	if status.OtherIncarnation {
		return
	}
	report := entry.ServerReported{Server: server, Incarnation: incarnation, FromResponse: true, SentAt: sent, Backpressure: status.Backpressure}
	if status.HasLoad {
		report.State, report.HasLoad = engineapi.StateServing, true
		report.Load = engineapi.Load{Running: uint32(status.Running), Queued: uint32(status.Queued)}
	}
	j.s.host.Post(report)
}

// freeCache frees a KV cache that no engine has fetched.
func (j *job) freeCache(c *KVCache) {
	if c == nil {
		return
	}
	j.s.host.Spawn(func() {
		ctx, cancel := context.WithTimeout(j.s.host.TaskContext, freeTimeout)
		defer cancel()
		j.s.backend.FreeCache(ctx, c)
	})
}
