package rpc

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
)

// Guards against bytes that can't be attributed to a call, against totals that are returned
// twice, and against unbounded memory for arbitrary paths.
func TestCallsAreCountedByName(t *testing.T) {
	c := NewCallCounters(tally.NoopScope)
	h := c.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "answer")
	}))
	post := func(path, body string) {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	}
	post("/twirp/goldcrest.Control/Watch", "ask")
	post("/twirp/goldcrest.Control/Watch", "ask")
	post("/twirp/goldcrest.Replica/Step", "")
	want := []CallTotals{{Call: "Step", Calls: 1, Sent: 6}, {Call: "Watch", Calls: 2, Sent: 12, Received: 6}}
	if got := c.Take(); !slices.Equal(got, want) {
		t.Errorf("counted %+v, want %+v", got, want)
	}
	if got := c.Take(); len(got) != 0 {
		t.Errorf("counted twice: %+v", got)
	}
	for i := range 3 * maxCallNames {
		post(fmt.Sprint("/twirp/", i), "")
	}
	if got := c.Take(); len(got) > maxCallNames+1 {
		t.Errorf("%d names are counted separately", len(got))
	}
}
