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
	// kvTransferTimeout bounds the export and the import of a KV cache. If
	// either takes longer, the decode engine prefills the prompt itself.
	kvTransferTimeout = 2 * time.Second
	// finishPrefilled is the finish reason of a prefill-only stream.
	finishPrefilled = "prefilled"
	// finishLength is the finish reason of an answer that reached max_tokens.
	finishLength = "length"
)

// runPrefill prefills the prompt at another engine if the dispatch names one,
// and transfers the KV cache to the decode engine. It returns the handle of the
// imported cache, or "" if there is none.
func (a *modelAttempt) runPrefill(ctx context.Context) (string, error) {
	if a.dispatch.PrefillServer == "" || a.dispatch.Reconnect {
		return "", nil
	}
	req := a.engineRequest(a.dispatch.EngineAttempt)
	req.PrefillOnly = true
	stream, err := a.server.engines.openStream(a.dispatch.PrefillAddress, req)
	if err != nil {
		a.result.AtPrefillServer = true
		a.connectionFailed(a.dispatch.PrefillServer, err)
		return "", nil
	}
	defer stream.close()
	if !a.checkAccepted(stream, a.dispatch.PrefillServer, a.dispatch.PrefillIncarnation) {
		a.result.AtPrefillServer = true
		return "", nil
	}
	if err := a.relayTokens(ctx, stream); err != nil {
		return "", err
	}
	if !a.result.Complete || a.finishReason != finishPrefilled {
		// Either the answer ended during the prefill, or the stream broke.
		a.result.AtPrefillServer = !a.result.Complete
		return "", nil
	}
	if a.offset >= a.baseRequest.MaxTokens {
		a.finishReason = finishLength
		return "", nil
	}
	a.result.Complete, a.finishReason = false, ""
	a.result.Outcome = outcome.Unknown
	return a.transferKV(), nil
}

// transferKV copies the KV cache to the decode engine. It returns the handle of
// the imported cache, or "" on failure.
func (a *modelAttempt) transferKV() string {
	id := url.PathEscape(a.wireID)
	exportURL := "http://" + a.dispatch.PrefillAddress + engineapi.PathKV + id
	status, kvCache, err := a.server.engines.callBytes(fasthttp.MethodGet, exportURL, nil, kvTransferTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return ""
	}
	importURL := "http://" + a.dispatch.Address + engineapi.PathKV + id
	var imported engineapi.KVImported
	if err := a.server.engines.postForJSON(importURL, kvCache, &imported, kvTransferTimeout); err != nil {
		return ""
	}
	return imported.Handle
}
