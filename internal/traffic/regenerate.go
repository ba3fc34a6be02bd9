package traffic

import (
	"context"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// textPrefix is the start of an answer: its text and number of tokens.
type textPrefix struct {
	text   string
	tokens int
}

// useRecordedText fills in the caller's text from the record when the resume
// request has an offset but no text.
func (j *modelJob) useRecordedText(record *pb.StreamRecord) {
	switch {
	case record.Tokens == uint64(j.offset):
		j.text = []byte(record.Text)
	case record.Tokens < uint64(j.offset):
		j.textIncomplete, j.knownPrefix = true, textPrefix{record.Text, int(record.Tokens)}
	default:
		j.textIncomplete = true
	}
}

// regenerate resumes an answer whose text before the caller's offset is only
// partly known. The engine generates the missing tokens again, with the same
// seed and thus the same result. Tokens before the offset are not sent to the
// caller.
func (a *modelAttempt) regenerate(ctx context.Context) error {
	req := a.baseRequest
	req.Attempt = a.dispatch.EngineAttempt
	req.GeneratedText, req.GeneratedTokens = a.knownPrefix.text, a.knownPrefix.tokens
	stream, err := a.server.engines.openStream(a.dispatch.Address, req)
	if err != nil {
		a.connectionFailed(a.dispatch.Server, err)
		return nil
	}
	defer func() { stream.close() }()
	if !a.checkAccepted(stream, a.dispatch.Server, a.dispatch.Incarnation) {
		return nil
	}
	a.result.Outcome = outcome.Unknown
	regenerated, ok := a.regenerateToOffset(ctx, stream)
	if !ok {
		return nil
	}
	if regenerated.tokens == a.offset {
		a.text, a.textIncomplete = []byte(regenerated.text), false
		return a.relayTokens(ctx, stream)
	}
	// The caller's offset lies within a chunk. Reconnect, so that the engine
	// sends the tokens from the offset on.
	remaining, err := a.server.engines.reconnectStream(a.dispatch.Address, a.wireID, a.dispatch.EngineAttempt, a.offset)
	if err != nil {
		a.connectionFailed(a.dispatch.Server, err)
		return nil
	}
	stream.close()
	stream = remaining
	if !a.checkAccepted(stream, a.dispatch.Server, a.dispatch.Incarnation) {
		return nil
	}
	return a.relayTokens(ctx, stream)
}

// regenerateToOffset reads chunks until the caller's offset is reached or
// passed.
func (a *modelAttempt) regenerateToOffset(ctx context.Context, stream *engineStream) (textPrefix, bool) {
	regenerated := a.knownPrefix
	for regenerated.tokens < a.offset {
		chunk, done, err := stream.next()
		if err != nil || done || ctx.Err() != nil {
			return regenerated, false
		}
		if !followsOffset(chunk, regenerated.tokens) {
			return regenerated, false
		}
		regenerated.tokens += chunk.Tokens
		regenerated.text += chunk.Text
		if chunk.Tokens > 0 {
			a.server.host.Post(entry.AttemptProgress{RequestID: a.dispatch.RequestID, Attempt: a.dispatch.Attempt, Tokens: regenerated.tokens - a.knownPrefix.tokens})
		}
	}
	return regenerated, true
}

func followsOffset(chunk engineapi.Chunk, offset int) bool {
	return chunk.Heartbeat || chunk.Tokens == 0 || chunk.Offset == offset
}
