package host

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// endlessBody reads as many bytes as there are, and counts them.
type endlessBody struct{ left, read int }

func (b *endlessBody) Read(p []byte) (int, error) {
	n := min(len(p), b.left)
	b.left, b.read = b.left-n, b.read+n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Guards against an entry that keeps all that is sent to it as a call of another entry.
func TestPeerCallsAreBounded(t *testing.T) {
	h := newHost(t, func(entry.Effect) {})
	for _, method := range []string{"Report", "Sum", "Permit", "Suspects", "RememberOrigins", "FindOrigin", "View"} {
		body := &endlessBody{left: 16 * maxPeerCallBytes}
		req := httptest.NewRequest(http.MethodPost, pb.PeerLoadPathPrefix+method, body)
		req.Header.Set("Content-Type", "application/protobuf")
		w := httptest.NewRecorder()
		h.peerHandler(nil).ServeHTTP(w, req)
		if w.Code == http.StatusOK || body.read > 2*maxPeerCallBytes || body.read == 0 {
			t.Errorf("%s: status %d after %d bytes", method, w.Code, body.read)
		}
	}
}
