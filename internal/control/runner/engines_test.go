package runner

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
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

// Guards against an answer that HTTP calls faulty and that counts: an order that passes for done, a duty for accepted, an
// address for that of an incarnation.
func TestBrokenAnswerCountsForNothing(t *testing.T) {
	const body = `{"id":"o1","result":"done"}`
	fields := engineapi.HeaderIncarnation + ": i-1\r\n"
	length := fmt.Sprintf(": %d\r\n\r\n%s", len(body), body)
	for name, text := range map[string]string{
		"status 000":                     "HTTP/1.1 000 \r\n" + fields + "Content-Length" + length,
		"status 099 before an answer":    "HTTP/1.1 099 \r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length" + length,
		"blank within a name":            "HTTP/1.1 200 OK\r\n" + fields + "X Trouble: 1\r\nContent-Length" + length,
		"blank behind the length's name": "HTTP/1.1 200 OK\r\n" + fields + "Content-Length " + length,
		"control byte within a name":     "HTTP/1.1 200 OK\r\n" + fields + "X\x01Trouble: 1\r\nContent-Length" + length,
		"chunks in HTTP/1.0":             "HTTP/1.0 200 OK\r\n" + fields + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"blank in the trailer":           "HTTP/1.1 200 OK\r\n" + fields + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX End: 1\r\n\r\n", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
					_, _ = conn.Write([]byte(text))
					_ = conn.Close()
				}
			}))
			defer engine.Close()
			if answer, notSent, err := deliver(nativeOrders{}, orderTo(engine, clock.SinceBoot()+time.Minute)); err == nil || notSent {
				t.Errorf("order: %+v, not sent %v", answer, notSent)
			}
			address := strings.TrimPrefix(engine.URL, "http://")
			call := control.DutyCall{Duty: control.DutyUsage, Usage: &pb.UsageWindow{Window: 1}, Timeout: time.Second, LeaseUntil: clock.SinceBoot() + time.Minute}
			if result, reason := newDutyCaller(nil, address, nil).deliver(call); result != control.DutyUnanswered {
				t.Errorf("duty: %s, %s", result, reason)
			}
			var incarnation string
			_, err := callOnce(leasedCall{address: address, leaseUntil: math.MaxInt64, timeout: time.Second, maxAnswerBytes: maxOrderAnswerBytes},
				func(req *fasthttp.Request) error {
					return nativeIdentity{}.WriteCheck(req, control.CheckAddress{Address: address})
				},
				func(resp *fasthttp.Response) (err error) {
					incarnation, err = nativeIdentity{}.ReadCheck(resp)
					return err
				})
			if err == nil {
				t.Errorf("identity: %q", incarnation)
			}
		})
	}
}
