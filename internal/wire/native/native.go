// Package native converts between the types of the native protocol with backend servers
// (package engineapi) and those of the decisions (package decision).
package native

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Role converts the role that an engine reports. The names of roles are the same in both
// packages.
func Role(role engineapi.Role) decision.Role { return decision.Role(role) }

// EngineRole is the inverse of Role.
func EngineRole(role decision.Role) engineapi.Role { return engineapi.Role(role) }

// State converts the state that a backend server reports. The names of states are the same in
// both packages.
func State(state engineapi.State) decision.ServerState { return decision.ServerState(state) }

// Load converts the load that a backend server reports.
func Load(l engineapi.Load) decision.Load {
	return decision.Load{
		Running: l.Running, Queued: l.Queued,
		QueuedPrefillTokens: l.QueuedPrefillTokens, RunningDecodeTokens: l.RunningDecodeTokens,
		PrefillRate: l.PrefillRate, DecodeRate: l.DecodeRate, CacheUsed: l.CacheUsed,
		KVTokens: l.KVTokens, KVUsed: l.KVUsed, Age: time.Duration(l.AgeMS) * time.Millisecond,
	}
}

// CacheEvents converts changes of an engine's prefix cache.
func CacheEvents(events []engineapi.CacheEvent) []decision.CacheEvent {
	list := make([]decision.CacheEvent, 0, len(events))
	for _, e := range events {
		list = append(list, decision.CacheEvent{Hash: e.Hash, Dropped: e.Dropped})
	}
	return list
}

// The hashes of engineapi.PrefixChain cover the blocks that the decisions assume.
var _ = [1]struct{}{}[engineapi.BlockTokens-decision.DefaultBlockTokens]

// Token converts the fencing token of an order.
func Token(t *pb.FencingToken) engineapi.FencingToken {
	return engineapi.FencingToken{Term: t.GetTerm(), Sequence: t.GetSequence()}
}
