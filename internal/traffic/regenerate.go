package traffic

import (
	"context"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// knownText is the start of an answer: its text and how many tokens that is.
type knownText struct {
	text   string
	tokens int
}

// useRecordedText takes what the record knows of the text that the caller has
// but did not send along.
func (j *modelJob) useRecordedText(record *pb.StreamRecord) {
	switch {
	case record.Tokens == uint64(j.offset):
		j.text = []byte(record.Text)
	case record.Tokens < uint64(j.offset):
		j.lacksText, j.known = true, knownText{record.Text, int(record.Tokens)}
	default:
		j.lacksText = true
	}
}

// regenerate goes on with an answer of whose text only the start is known. The
// engine makes the tokens between there and the caller's offset again, which
// the same seed makes the same, and they are left out of the answer.
func (a *modelAttempt) regenerate(ctx context.Context) error {
	req := a.engine
	req.Attempt = a.d.EngineAttempt
	req.GeneratedText, req.GeneratedTokens = a.known.text, a.known.tokens
	stream, err := a.s.engines.openStream(a.d.Address, req)
	if err != nil {
		a.failed(err)
		return nil
	}
	defer func() { stream.close() }()
	if !a.accepted(stream, a.d.Server, a.d.Incarnation) {
		return nil
	}
	a.ended.Outcome = outcome.Unknown
	made, ok := a.makeAgain(ctx, stream)
	if !ok {
		return nil
	}
	if made.tokens == a.offset {
		a.text, a.lacksText = []byte(made.text), false
		return a.relay(ctx, stream)
	}
	// The caller's offset lies within a chunk: the engine sends the rest again
	// from there.
	rest, err := a.s.engines.rejoinStream(a.d.Address, a.wireID, a.d.EngineAttempt, a.offset)
	if err != nil {
		a.failed(err)
		return nil
	}
	stream.close()
	stream = rest
	if !a.accepted(stream, a.d.Server, a.d.Incarnation) {
		return nil
	}
	return a.relay(ctx, stream)
}

// makeAgain reads chunks until the caller's offset is reached or passed.
func (a *modelAttempt) makeAgain(ctx context.Context, stream *engineStream) (knownText, bool) {
	made := a.known
	for made.tokens < a.offset {
		chunk, done, err := stream.next()
		if err != nil || done || ctx.Err() != nil {
			return made, false
		}
		if !nextChunk(chunk, made.tokens) {
			return made, false
		}
		made.tokens += chunk.Tokens
		made.text += chunk.Text
		if chunk.Tokens > 0 {
			a.s.host.Post(entry.AttemptProgress{RequestID: a.d.RequestID, Attempt: a.d.Attempt, Tokens: made.tokens - a.known.tokens})
		}
	}
	return made, true
}

func nextChunk(chunk engineapi.Chunk, offset int) bool {
	return chunk.Heartbeat || chunk.Tokens == 0 || chunk.Offset == offset
}
