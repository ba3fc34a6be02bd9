package server

import (
	"strconv"
	"sync"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/standin/answer"
)

// streamKey names one attempt of a request.
type streamKey struct {
	requestID string
	attempt   uint32
}

func newStreamKey(req engineapi.CompletionRequest) streamKey {
	return streamKey{requestID: req.RequestID, attempt: req.Attempt}
}

// String is the attempt's id in the engine model.
func (k streamKey) String() string {
	return k.requestID + "#" + strconv.FormatUint(uint64(k.attempt), 10)
}

// stream is one attempt: what it has produced so far and how it ended. The
// producer appends; any number of connections read.
type stream struct {
	key     streamKey
	request engineapi.CompletionRequest
	gen     *answer.Generator
	// poison and hangs are scripted faults.
	poison, hangs bool

	mu sync.Mutex
	// tokens holds the texts from offset start on.
	start  int
	tokens []string
	ended  bool
	// finish is the finish reason; empty on a stream that was cut or cancelled.
	finish string
	// changed is closed and replaced on every change.
	changed chan struct{}
}

func newStream(req engineapi.CompletionRequest) *stream {
	return &stream{
		key:     newStreamKey(req),
		request: req,
		gen:     answer.NewGenerator(req.Prompt, req.Seed, req.GeneratedText, req.GeneratedTokens),
		start:   req.GeneratedTokens,
		poison:  hasFault(req.Prompt, faultPoison),
		hangs:   hasFault(req.Prompt, faultHang),
		changed: make(chan struct{}),
	}
}

// produce makes n more tokens. It gives the offset after them.
func (s *stream) produce(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return s.start + len(s.tokens)
	}
	for range n {
		s.tokens = append(s.tokens, s.gen.Next())
	}
	s.notify()
	return s.start + len(s.tokens)
}

// end closes the stream; only the first call counts and gives true.
func (s *stream) end(finish string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.ended, s.finish = true, finish
	s.notify()
	return true
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// part is what a reader gets: the tokens from an offset on.
type part struct {
	tokens  []string
	ended   bool
	finish  string
	changed <-chan struct{}
}

// from gives what there is from the offset on.
func (s *stream) from(offset int) part {
	s.mu.Lock()
	defer s.mu.Unlock()
	skip := min(max(offset-s.start, 0), len(s.tokens))
	return part{tokens: s.tokens[skip:len(s.tokens):len(s.tokens)], ended: s.ended, finish: s.finish, changed: s.changed}
}

// produced gives the offset of the first token and how many there are.
func (s *stream) produced() (start, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.start, len(s.tokens)
}
