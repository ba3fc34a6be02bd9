package enginemodel

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Request is a request to an engine.
type Request struct {
	ID string
	// Priority orders requests. The larger one runs first.
	Priority int
	// PromptTokens and OutputTokens are the total sizes. GeneratedTokens of the output
	// were produced by earlier attempts.
	PromptTokens, OutputTokens, GeneratedTokens int
	// Salt and Prefix, a chain of engineapi.PrefixChain, identify the prompt's blocks in
	// the prefix cache.
	Salt   string
	Prefix []uint64
	// PrefillOnly ends the request after the first token and keeps its KV cache for export.
	PrefillOnly bool
	// KVImported means that the KV cache of prompt and generated tokens is imported
	// and no prefill is needed.
	KVImported bool
}

// Progress is what a request has produced since the last call of Advance.
type Progress struct {
	ID string
	// Tokens is the number of new tokens. The end of the prefill produces the first one.
	Tokens int
	// Finished means that the request is complete.
	Finished bool
	// FirstTokenAt is when the attempt produced its first token, LastTokenAt when it
	// produced its latest one.
	FirstTokenAt, LastTokenAt time.Duration
}

// tokenEpsilon absorbs rounding errors. It is smaller than any real fraction of a token.
const tokenEpsilon = 1e-6

// stream is a request on the engine.
type stream struct {
	req Request
	seq uint64
	// reservedKVTokens is the KV cache reserved for the stream while it has a slot.
	reservedKVTokens int
	running          bool
	// prefillLeft is the number of tokens still to be prefilled.
	prefillLeft float64
	// importEnd is when the import of the KV cache ends.
	importEnd time.Duration
	imported  bool
	// producedTokens counts the attempt's tokens, reportedTokens those already returned by
	// Advance.
	producedTokens float64
	reportedTokens int
	firstTokenAt   time.Duration
}

func newStream(now time.Duration, r Request, seq uint64, cachedBlocks int, kvImportRate float64) *stream {
	s := &stream{req: r, seq: seq, reservedKVTokens: r.PromptTokens + r.OutputTokens}
	contextTokens := r.PromptTokens + r.GeneratedTokens
	if r.KVImported {
		s.importEnd = now + seconds(float64(contextTokens)/kvImportRate)
		s.imported = true
		return s
	}
	// At least one token is always prefilled, since that yields the first output token.
	s.prefillLeft = max(1, float64(contextTokens-cachedBlocks*engineapi.BlockTokens))
	return s
}

// targetTokens returns how many tokens the attempt has to produce.
func (s *stream) targetTokens() float64 {
	if s.req.PrefillOnly {
		return 1
	}
	return max(1, float64(s.req.OutputTokens-s.req.GeneratedTokens))
}

func (s *stream) prefilling() bool { return s.running && s.prefillLeft > tokenEpsilon }

func (s *stream) decoding(now time.Duration) bool {
	return s.running && s.prefillLeft <= tokenEpsilon && s.importEnd <= now && s.producedTokens < s.targetTokens()-tokenEpsilon
}

func (s *stream) done() bool {
	return s.running && s.prefillLeft <= tokenEpsilon && s.producedTokens >= s.targetTokens()-tokenEpsilon
}

// runsBefore orders streams by priority, the larger one first, and then by arrival.
func (s *stream) runsBefore(o *stream) bool {
	if s.req.Priority != o.req.Priority {
		return s.req.Priority > o.req.Priority
	}
	return s.seq < o.seq
}

// insertOrdered adds s to the ordered list.
func insertOrdered(list []*stream, s *stream) []*stream {
	at, _ := slices.BinarySearchFunc(list, s, func(a, b *stream) int {
		if a.runsBefore(b) {
			return -1
		}
		return 1
	})
	return slices.Insert(list, at, s)
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
