package intake

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// Handler returns a handler that reads the bodies of calls, of at most limit bytes, before it passes them on to next.
func (b *Budget) Handler(next http.Handler, limit int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		length := int(r.ContentLength)
		interrupt := func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) }
		body, err := b.Read(Source{Reader: r.Body, Length: length, Interrupt: interrupt}, limit)
		if err != nil {
			refuse(w, err)
			return
		}
		defer body.Release()
		r.Body = io.NopCloser(bytes.NewReader(body.Bytes()))
		next.ServeHTTP(w, r)
	})
}

// refuse answers a call whose body was not read to its end, and ends its connection.
func refuse(w http.ResponseWriter, err error) {
	w.Header().Set("Connection", "close")
	status := Status(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter.Seconds())))
	}
	http.Error(w, err.Error(), status)
}

// Status returns the status for a request whose body was not read to its end: 413, 503 for lack of memory, or 400.
func Status(err error) int {
	switch {
	case errorx.IsOfType(err, TooLarge):
		return http.StatusRequestEntityTooLarge
	case errorx.IsOfType(err, NoMemory):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}
