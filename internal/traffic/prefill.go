package traffic

import (
	"context"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// kvTimeout bounds the export or import of KV cache. When it does not get
	// there in time the decoding engine prefills by itself.
	kvTimeout = 2 * time.Second
	// finishPrefilled closes the stream of a prefill.
	finishPrefilled = "prefilled"
	// finishLength closes an answer of as many tokens as were asked for.
	finishLength = "length"
)

// prefill lets another engine prefill when the placement chose a pair, and
// moves the KV cache over. It gives the handle, or "" for none.
func (a *modelAttempt) prefill(ctx context.Context) (string, error) {
	if a.d.PrefillServer == "" || a.d.Reconnect {
		return "", nil
	}
	req := a.engineRequest(a.d.EngineAttempt)
	req.PrefillOnly = true
	stream, err := a.s.engines.openStream(a.d.PrefillAddress, req)
	if err != nil {
		a.ended.AtPrefillServer = true
		a.failed(err)
		return "", nil
	}
	defer stream.close()
	if !a.accepted(stream, a.d.PrefillServer, a.d.PrefillIncarnation) {
		a.ended.AtPrefillServer = true
		return "", nil
	}
	if err := a.relay(ctx, stream); err != nil {
		return "", err
	}
	if !a.ended.Complete || a.finish != finishPrefilled {
		// The prefill may have ended the whole answer, or broke.
		a.ended.AtPrefillServer = !a.ended.Complete
		return "", nil
	}
	if a.offset >= a.engine.MaxTokens {
		a.finish = finishLength
		return "", nil
	}
	a.ended.Complete, a.finish = false, ""
	a.ended.Outcome = outcome.Unknown
	return a.moveKV(), nil
}

// moveKV copies the KV cache to the decoding engine; "" when that fails.
func (a *modelAttempt) moveKV() string {
	id := url.PathEscape(a.wireID)
	from := "http://" + a.d.PrefillAddress + engineapi.PathKV + id
	status, kv, err := a.s.engines.bytes(fasthttp.MethodGet, from, nil, kvTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return ""
	}
	to := "http://" + a.d.Address + engineapi.PathKV + id
	var imported engineapi.KVImported
	if err := a.s.engines.post(to, kv, &imported, kvTimeout); err != nil {
		return ""
	}
	return imported.Handle
}
