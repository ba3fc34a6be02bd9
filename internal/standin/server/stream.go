package server

import (
	"strconv"
	"sync"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/standin/answer"
)

// streamKey identifies one attempt of a request.
type streamKey struct {
	requestID string
	attempt   uint32
}

func newStreamKey(req engineapi.CompletionRequest) streamKey {
	return streamKey{requestID: req.RequestID, attempt: req.Attempt}
}

// String returns the attempt's ID in the engine model.
func (k streamKey) String() string {
	return k.requestID + "#" + strconv.FormatUint(uint64(k.attempt), 10)
}

// stream holds the output of one attempt and how it ended. One producer appends;
// any number of connections read.
type stream struct {
	key     streamKey
	request engineapi.CompletionRequest
	gen     *answer.Generator
	// crashes and hangs are the faults that the prompt injects.
	crashes, hangs bool

	mu sync.Mutex
	// tokens holds the token texts from offset startOffset on.
	startOffset int
	tokens      []string
	ended       bool
	// finishReason is empty for an aborted stream.
	finishReason string
	// changed is closed and replaced on every change.
	changed chan struct{}
}

func newStream(req engineapi.CompletionRequest) *stream {
	return &stream{
		key:         newStreamKey(req),
		request:     req,
		gen:         answer.NewGenerator(req.Prompt, req.Seed, req.GeneratedText, req.GeneratedTokens),
		startOffset: req.GeneratedTokens,
		crashes:     hasFault(req.Prompt, faultCrash),
		hangs:       hasFault(req.Prompt, faultHang),
		changed:     make(chan struct{}),
	}
}

// produce generates n more tokens and returns the offset after them. It does
// nothing on an ended stream.
func (s *stream) produce(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return s.startOffset + len(s.tokens)
	}
	for range n {
		s.tokens = append(s.tokens, s.gen.Next())
	}
	s.notify()
	return s.startOffset + len(s.tokens)
}

// end marks the stream as ended. Only the first call has an effect and returns
// true.
func (s *stream) end(finish string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.ended, s.finishReason = true, finish
	s.notify()
	return true
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// streamPart is a reader's view of a stream: the tokens from an offset on.
type streamPart struct {
	tokens       []string
	ended        bool
	finishReason string
	changed      <-chan struct{}
}

// partFrom returns the tokens that exist from the offset on.
func (s *stream) partFrom(offset int) streamPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	skip := min(max(offset-s.startOffset, 0), len(s.tokens))
	return streamPart{tokens: s.tokens[skip:len(s.tokens):len(s.tokens)], ended: s.ended, finishReason: s.finishReason, changed: s.changed}
}

// produced returns the offset of the first token and the number of tokens.
func (s *stream) produced() (start, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startOffset, len(s.tokens)
}
