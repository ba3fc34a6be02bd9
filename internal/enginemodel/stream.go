package enginemodel

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Request is what an engine is asked to run.
type Request struct {
	ID string
	// Priority: a larger one runs first.
	Priority int
	// PromptTokens and OutputTokens are the sizes of the whole; of the output
	// GeneratedTokens were produced by earlier attempts.
	PromptTokens, OutputTokens, GeneratedTokens int
	// Salt and Prefix are for the prefix cache.
	Salt   string
	Prefix []uint64
	// PrefillOnly stops after the first token.
	PrefillOnly bool
	// KVImported: the KV cache of prompt and generated tokens is imported, so
	// that nothing is prefilled.
	KVImported bool
}

// Progress is what a request produced since the last call of Advance.
type Progress struct {
	ID string
	// Tokens are new tokens; the first one comes with the end of the prefill.
	Tokens int
	// Finished: nothing more comes.
	Finished bool
	// FirstTokenAt is when the first of the attempt's tokens came, and LastTokenAt when
	// the last token so far did.
	FirstTokenAt, LastTokenAt time.Duration
}

// tiny is below any real remainder of a token; it takes up rounding.
const tiny = 1e-6

// stream is a request at the engine.
type stream struct {
	req Request
	seq uint64
	// kv is the tokens of memory reserved for it while it has a slot.
	kv      int
	running bool
	// prefill is the prompt tokens left.
	prefill float64
	// importing is until when its KV cache is imported.
	importing time.Duration
	imported  bool
	// produced counts the attempt's tokens, reported those already told.
	produced float64
	reported int
	firstAt  time.Duration
}

func newStream(now time.Duration, r Request, seq uint64, held int, kvRate float64) *stream {
	s := &stream{req: r, seq: seq, kv: r.PromptTokens + r.OutputTokens}
	context := r.PromptTokens + r.GeneratedTokens
	if r.KVImported {
		s.importing = now + seconds(float64(context)/kvRate)
		s.imported = true
		return s
	}
	// At least one token is prefilled: it gives the first output token.
	s.prefill = max(1, float64(context-held*engineapi.BlockTokens))
	return s
}

// target is how many tokens the attempt has to produce.
func (s *stream) target() float64 {
	if s.req.PrefillOnly {
		return 1
	}
	return max(1, float64(s.req.OutputTokens-s.req.GeneratedTokens))
}

func (s *stream) prefilling() bool { return s.running && s.prefill > tiny }

func (s *stream) decoding(now time.Duration) bool {
	return s.running && s.prefill <= tiny && s.importing <= now && s.produced < s.target()-tiny
}

func (s *stream) done() bool { return s.running && s.prefill <= tiny && s.produced >= s.target()-tiny }

// before orders streams: the larger priority first, then the earlier one.
func (s *stream) before(o *stream) bool {
	if s.req.Priority != o.req.Priority {
		return s.req.Priority > o.req.Priority
	}
	return s.seq < o.seq
}

// insert puts s into the ordered list.
func insert(list []*stream, s *stream) []*stream {
	at, _ := slices.BinarySearchFunc(list, s, func(a, b *stream) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return slices.Insert(list, at, s)
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
