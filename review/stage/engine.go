//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// beatInterval is the site's heartbeat-ms.
	beatInterval = 1200 * time.Millisecond
	// switchTime is the site's switch-s: how long an engine is away to change its stage.
	switchTime = 3 * time.Second
)

// order is an order as it arrived at an engine.
type order struct {
	at     time.Time
	holder string
	token  uint64
	stage  string
	status int
}

// engine is a stand-in of a model engine that does not check fences: it takes any valid order.
type engine struct {
	d       *deployment
	id      string
	service string
	zone    string
	address string
	server  *http.Server
	done    chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	stage    string
	sequence int
	accepted int
	busy     time.Time
	next     string
	replica  int
	orders   []order
}

// newEngine starts an engine at the n-th address. It announces itself until stop.
func newEngine(d *deployment, n int, service, stage string) (*engine, error) {
	e := &engine{
		d: d, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: service, zone: "luzon-" + string(rune('a'+n%3)), stage: stage,
		address: address(d.ip(groupEngine, n), portEngine), done: make(chan struct{}), replica: n,
	}
	ln, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/order", e.handleOrder)
	mux.HandleFunc("GET /v1/report", e.handleReport)
	mux.HandleFunc("GET /healthz", e.handleHealth)
	e.server = &http.Server{Handler: mux}
	e.wg.Add(2)
	go func() { defer e.wg.Done(); _ = e.server.Serve(ln) }()
	go func() { defer e.wg.Done(); e.announce() }()
	return e, nil
}

func (e *engine) stop() {
	close(e.done)
	_ = e.server.Close()
	e.wg.Wait()
}

// announce sends heartbeats: to the address that the last answer named, else to the next replica.
func (e *engine) announce() {
	for {
		wait := beatInterval
		if !e.beat("ready") {
			wait = 100 * time.Millisecond
		}
		select {
		case <-e.done:
			return
		case <-time.After(wait):
		}
	}
}

func (e *engine) beat(state string) bool {
	e.mu.Lock()
	e.sequence++
	content := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 128, "state": state, "cold-remaining-ms": 0,
		"stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": e.sequence,
	}
	to := e.next
	if to == "" {
		to = address(e.d.control[e.replica%len(e.d.control)].ip, portRegistry)
	}
	e.mu.Unlock()
	status, answer := post(to, "/v1/Instances.Heartbeat/"+e.id, content)
	e.mu.Lock()
	defer e.mu.Unlock()
	if status != http.StatusOK {
		e.next = ""
		e.replica++
		return false
	}
	var named struct {
		Next string `json:"heartbeat-address"`
	}
	if json.Unmarshal(answer, &named) == nil && named.Next != "" {
		to = named.Next
	}
	e.next = to
	return true
}

// handleOrder answers as the protocol says: 200 if the order already holds, 409 while another one is carried out, else 202,
// and the engine is back in its new stage switchTime later.
func (e *engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Opcode string  `json:"opcode"`
		Stage  string  `json:"stage"`
		Holder string  `json:"holder"`
		Token  *uint64 `json:"fencing-token"`
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Token == nil || o.Opcode != "stage" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := http.StatusAccepted
	switch {
	case time.Now().Before(e.busy):
		status = http.StatusConflict
	case e.stage == o.Stage:
		status = http.StatusOK
	default:
		e.accepted++
		e.busy = time.Now().Add(switchTime)
		time.AfterFunc(switchTime, func() { e.mu.Lock(); e.stage = o.Stage; e.mu.Unlock() })
	}
	e.orders = append(e.orders, order{at: time.Now(), holder: o.Holder, token: *o.Token, stage: o.Stage, status: status})
	e.mu.Unlock()
	e.d.record.logf("engine %s: order stage %s of holder %s, token %#x: %d", e.id, o.Stage, o.Holder, *o.Token, status)
	w.WriteHeader(status)
}

func (e *engine) received() []order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]order{}, e.orders...)
}

func (e *engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": e.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": time.Now().Before(e.busy),
		"sequence": e.accepted, "queued": 0, "active": 0, "kv-used": 0, "kv-total": 797057, "kv-handles": 0,
	})
}

func (e *engine) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	w.Header().Set("X-Instance-Load", "0,0,"+strconv.Itoa(128))
}

// engineManifest is a manifest of one service of model engines, with the figures of the site.
func engineManifest(service string) map[string]any {
	return map[string]any{
		"route-table": []any{map[string]any{
			"name": "r-1", "host": "ficu95.example", "path-prefix": "/lohu930/", "route-type": "streaming", "timeout-ms": 8000,
			"target-latency-ms": 300, "priority": 1, "service": service, "max-attempts": 2, "session-affinity": true, "resumable": true,
			"target-gap-ms": 250,
		}},
		"services": []any{map[string]any{
			"name": service, "health-path": "/healthz", "max-connections": 620, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 128, "kv-capacity-tokens": 797057, "kv-bytes": 35136, "link-mbps": 1100000.0, "moves": true, "backups": true,
				"stride": 10, "most": 12, "kv-hold-s": 5.0, "switch-s": 3.0, "pin-ms": 4000.0, "hold-ms": 2000.0,
				"models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
