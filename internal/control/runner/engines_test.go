package runner

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

func orderTo(server *httptest.Server, until time.Duration) control.SendOrder {
	return control.SendOrder{
		Server: "engine", Address: strings.TrimPrefix(server.URL, "http://"), LeaseUntil: until, Timeout: time.Second,
		Order: engineapi.Order{ID: "o1", Kind: engineapi.OrderSetRole, Role: engineapi.RolePrefill},
	}
}

// A leader is paused after it decided to send an order, and resumes when its lease has
// expired and another replica leads. The engine, which ignores fencing tokens, must not get
// a byte of the order, and the reducer must learn that none was sent.
func TestNoOrderIsWrittenAfterTheLease(t *testing.T) {
	var got atomic.Int32
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got.Add(1)
		_ = json.NewEncoder(w).Encode(engineapi.OrderAnswer{ID: "o1", Result: engineapi.OrderDone})
	}))
	defer engine.Close()
	_, notSent, err := deliver(nativeOrders{}, orderTo(engine, clock.SinceBoot()-time.Millisecond))
	if err == nil || !notSent || got.Load() != 0 {
		t.Errorf("after the lease: not sent %v, error %v, the engine got %d", notSent, err, got.Load())
	}
	answer, _, err := deliver(nativeOrders{}, orderTo(engine, clock.SinceBoot()+time.Minute))
	if err != nil || answer.Result != engineapi.OrderDone || got.Load() != 1 {
		t.Errorf("within the lease: %v, error %v, the engine got %d", answer, err, got.Load())
	}
}

// An engine reads an order and closes the connection without an answer. The order may have
// been carried out: it must be sent only once and reported as possibly sent.
func TestUnansweredOrderIsNotRepeated(t *testing.T) {
	var got atomic.Int32
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got.Add(1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	defer engine.Close()
	_, notSent, err := deliver(nativeOrders{}, orderTo(engine, clock.SinceBoot()+time.Minute))
	if err == nil || notSent || got.Load() != 1 {
		t.Errorf("not sent %v, error %v, the engine got %d", notSent, err, got.Load())
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	order := orderTo(engine, clock.SinceBoot()+time.Minute)
	order.Address = closed.Addr().String()
	if _, notSent, err := deliver(nativeOrders{}, order); err == nil || !notSent {
		t.Errorf("nobody listens: not sent %v, error %v", notSent, err)
	}
}

// Malformed answers, another order's answer and an answer without a result must be
// rejected.
func TestWrongOrderAnswersAreRefused(t *testing.T) {
	for _, body := range []string{"", "{", `{"id":"o2","result":"done"}`, `{"id":"o1"}`} {
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(body))
		}))
		if answer, _, err := deliver(nativeOrders{}, orderTo(engine, clock.SinceBoot()+time.Minute)); err == nil {
			t.Errorf("%q was accepted as %v", body, answer)
		}
		engine.Close()
	}
}
