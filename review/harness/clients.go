//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

// route, service and manifest are the operator's document in the platform's names.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"path-prefix"`
	Type        string `json:"route-type"`
	TimeoutMS   int    `json:"timeout-ms"`
	TargetMS    int    `json:"target-latency-ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max-attempts"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health-path"`
	MaxConns   int    `json:"max-connections"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

type manifest struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"route-table"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// plainManifest has one idempotent and one non-idempotent route to a plain service.
func plainManifest(version int) manifest {
	return manifest{
		Version: version,
		Routes: []route{
			{Name: "r-get", Host: host, Prefix: "/get/", Type: "idempotent", TimeoutMS: 2500, TargetMS: 150, Priority: 2, Service: "portal", MaxAttempts: 2},
			{Name: "r-put", Host: host, Prefix: "/put/", Type: "non_idempotent", TimeoutMS: 2500, TargetMS: 150, Priority: 2, Service: "portal", MaxAttempts: 1},
		},
		Services: []service{{Name: "portal", HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"}},
		Limits:   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// caller calls nodes of control as the operator and engines do: a random node first, the next one
// after a failure, a 5xx, 408, 429 or a second without an answer; a 307 is followed twice.
type caller struct {
	nodes  []string
	client *http.Client
}

func newCaller(nodes []string) *caller {
	return &caller{nodes: nodes, client: &http.Client{
		Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return http.ErrUseLastResponse
			}
			return nil
		},
	}}
}

// call sends one call to one node; status 0 means no answer.
func (c *caller) call(node, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 4<<20))
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}

// replace sends a manifest until it is confirmed or refused, or ctx ends, and returns the last status.
func (c *caller) replace(ctx context.Context, rec *record, m manifest) int {
	body, err := json.Marshal(m)
	if err != nil {
		cantRun("%v", err)
	}
	last := 0
	for i := rand.IntN(len(c.nodes)); ctx.Err() == nil; i++ {
		node := c.nodes[i%len(c.nodes)]
		last, _ = c.call(node, http.MethodPost, "/v1/Config.Replace", body)
		rec.line("operator: Config.Replace version %d to %s: %d", m.Version, node, last)
		if last == 200 || last == 400 || last == 409 || last == 412 || last == 413 || last == 422 {
			return last
		}
		pause(ctx, 200*time.Millisecond)
	}
	return last
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// engine is a sound engine of a plain service.
type engine struct {
	id, service, zone, address string
	rec                        *record
	nodes                      *caller
	server                     *http.Server
	seals                      atomic.Int64
	// runs counts the runs of each attempt id.
	mu   sync.Mutex
	runs map[string]int
	// acknowledged counts the liveness reports that were confirmed.
	acknowledged atomic.Int64
}

func startEngine(ctx context.Context, rec *record, nodes []string, id, service, zone, ip string) *engine {
	e := &engine{id: id, service: service, zone: zone, address: addr(ip, portEngine), rec: rec, nodes: newCaller(nodes), runs: make(map[string]int)}
	ln, err := net.Listen("tcp", e.address)
	if err != nil {
		cantRun("%v", err)
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(ln) }()
	go e.beat(ctx)
	return e
}

// beat sends liveness reports.
func (e *engine) beat(ctx context.Context) {
	next := ""
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 6, "state": "ready",
			"cold-remaining-ms": 0, "sequence": sequence,
		})
		node := next
		if node == "" {
			node = e.nodes.nodes[rand.IntN(len(e.nodes.nodes))]
		}
		status, text := e.nodes.call(node, http.MethodPost, "/v1/Instances.Heartbeat/"+e.id, body)
		next = ""
		if status/100 == 2 {
			e.acknowledged.Add(1)
			var answer struct {
				Next string `json:"heartbeat-address"`
			}
			_ = json.Unmarshal(text, &answer)
			next = answer.Next
			pause(ctx, 1200*time.Millisecond)
			continue
		}
		pause(ctx, 200*time.Millisecond)
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	e.rec.line("engine %s: runs %s", e.id, id)
	pause(r.Context(), 15*time.Millisecond)
	w.Header().Set("X-Server-Seal", fmt.Sprintf("%s.%d", e.id, e.seals.Add(1)))
	fmt.Fprintf(w, "answer to %s by %s\n", id, e.id)
}

// resolve asks a directory for the addresses of edge nodes.
func resolve(directories []string, zone string) []string {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range rand.Perm(len(directories)) {
		resp, err := client.Get(fmt.Sprintf("http://%s/v1/resolve?name=%s&region=muscat&zone=%s", directories[i], host, zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if resp.StatusCode == 200 && err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// result is how one requester attempt ended.
type result struct {
	id, node, seal, body string
	status               int
	err                  error
	took                 time.Duration
}

var attempts atomic.Int64

func newAttemptID() string {
	return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1))
}

// send makes one requester attempt on a channel of its own.
func send(node, method, path string, body string, deadline time.Duration) result {
	r := result{id: newAttemptID(), node: node}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, content)
	if err != nil {
		cantRun("%v", err)
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", r.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var text []byte
		text, err = io.ReadAll(resp.Body)
		r.status, r.seal, r.body = resp.StatusCode, resp.Header.Get("X-Server-Seal"), string(text)
	}
	r.err, r.took = err, time.Since(start)
	return r
}
