//go:build review

package main

import (
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

const (
	deadlyPath = "/get/deadly"
	// deadlyFrom and deadlyFor are when, and for how long, the request comes that crashes engines.
	deadlyFrom = 12 * time.Second
	deadlyFor  = 20 * time.Second
	// deadlyEach is how often it comes, at any machine: less than 0.03 of all requests, with
	// soundRequesters that send one request each soundEach.
	deadlyEach      = 550 * time.Millisecond
	soundRequesters = 14
	soundEach       = 200 * time.Millisecond
	// deadlyRuns is how long an engine runs it before the engine crashes.
	deadlyRuns = 20 * time.Millisecond
	// engineDown is after which time an engine that has crashed is back.
	engineDown = 2 * time.Second
	// reportsLate is by how much the reports of a new lifetime arrive late, with trouble.
	reportsLate = 3 * time.Second
	// contact is contact-ms.
	contact = 3 * time.Second
	// firstCrashes and allowedRetries are the rule's figures.
	firstCrashes, allowedRetries = 3, 3
	deadlyEngines                = 6
)

// mortalEngine is an engine that a certain request crashes. It comes back at its address, with its id and
// a later born.
type mortalEngine struct {
	id, zone, address string
	rec               *record
	nodes             *caller
	late              bool
	ledger            *ledger
}

// ledger holds what the request that crashes engines did.
type ledger struct {
	mu      sync.Mutex
	reached []time.Duration
	crashed []time.Duration
}

func (l *ledger) note(list *[]time.Duration, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*list = append(*list, at)
}

// live plays one lifetime after the other until ctx ends.
func (e *mortalEngine) live(ctx context.Context) {
	for life := 0; ctx.Err() == nil; life++ {
		e.lifetime(ctx, life)
		pause(ctx, engineDown)
	}
}

func (e *mortalEngine) lifetime(ctx context.Context, life int) {
	ln, err := net.Listen("tcp", e.address)
	if err != nil {
		cantRun("%v", err)
	}
	ctx, crash := context.WithCancel(ctx)
	defer crash()
	server := &http.Server{Handler: &lifetimeHandler{engine: e, life: life, crash: crash}}
	go func() { _ = server.Serve(ln) }()
	born := time.Now().UnixMilli()
	e.rec.line("engine %s: lifetime %d begins", e.id, life)
	go e.beat(ctx, life, born)
	<-ctx.Done()
	_ = server.Close()
}

// beat sends liveness reports. With trouble those of a lifetime after the first arrive late at first.
func (e *mortalEngine) beat(ctx context.Context, life int, born int64) {
	if e.late && life > 0 {
		pause(ctx, reportsLate)
	}
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": "portal", "address": e.address, "zone": e.zone, "version": "v1", "slots": 6, "state": "ready",
			"cold-remaining-ms": 0, "sequence": sequence, "born": born,
		})
		status, _ := e.nodes.call(e.nodes.nodes[rand.IntN(len(e.nodes.nodes))], http.MethodPost, "/v1/Instances.Heartbeat/"+e.id, body)
		if sequence == 1 {
			e.rec.line("engine %s: first report of lifetime %d: %d", e.id, life, status)
		}
		if status/100 == 2 {
			pause(ctx, 1200*time.Millisecond)
			continue
		}
		pause(ctx, 200*time.Millisecond)
	}
}

// lifetimeHandler serves the calls of one lifetime.
type lifetimeHandler struct {
	engine *mortalEngine
	life   int
	crash  func()
}

func (h *lifetimeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e, id := h.engine, r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", e.id)
	if r.URL.Path == "/healthz" {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if strings.HasPrefix(r.URL.Path, deadlyPath) {
		e.rec.line("engine %s: lifetime %d begins to run %s, which crashes it", e.id, h.life, id)
		e.ledger.note(&e.ledger.reached, time.Since(e.rec.start))
		time.Sleep(deadlyRuns)
		e.ledger.note(&e.ledger.crashed, time.Since(e.rec.start))
		h.crash()
		panic(http.ErrAbortHandler)
	}
	pause(r.Context(), 15*time.Millisecond)
	w.Header().Set("X-Server-Seal", fmt.Sprintf("%s.%d.%s", e.id, h.life, id))
	fmt.Fprintf(w, "answer to %s by %s\n", id, e.id)
}

// deadly sends one request that crashes each engine that begins to run it again and again. With trouble,
// the reports of engines that are back arrive late.
func deadly(root, dir string, rec *record, trouble bool) []string {
	s := newSite(root, dir, rec, 3, 3)
	ctx, cancel := context.WithTimeout(context.Background(), deadlyFrom+deadlyFor+5*time.Second)
	defer cancel()
	var nodes, entries []string
	for _, m := range s.control {
		nodes = append(nodes, m.values["listen.control-plane"])
	}
	for _, m := range s.edge {
		entries = append(entries, m.values["listen.frontend"])
	}
	for _, m := range append(append([]*machine{}, s.control...), s.edge...) {
		m.start()
		time.Sleep(20 * time.Millisecond)
	}
	l := &ledger{}
	for n := range deadlyEngines {
		e := &mortalEngine{
			id: fmt.Sprintf("i-%d", n+1), zone: zones[n%len(zones)], address: addr(s.ip(5, n+1), portEngine),
			rec: rec, nodes: newCaller(nodes), late: trouble, ledger: l,
		}
		go e.live(ctx)
	}
	if status := newCaller(nodes).replace(ctx, rec, plainManifest(7)); status != 200 {
		cantRun("the manifest is answered %d", status)
	}
	pause(ctx, trafficAt-time.Since(rec.start))
	var wg sync.WaitGroup
	var sound soundCounts
	for n := range soundRequesters {
		wg.Go(func() { sound.request(ctx, rec, entries, n) })
	}
	pause(ctx, deadlyFrom-time.Since(rec.start))
	for end := time.Now().Add(deadlyFor); time.Now().Before(end); pause(ctx, deadlyEach) {
		wg.Go(func() {
			r := send(entries[rand.IntN(len(entries))], "GET", deadlyPath, "", 2500*time.Millisecond)
			sound.deadly.Add(1)
			rec.line("requester: %s, the request that crashes engines, at %s: status %d, error %v, %d ms", r.id, r.node, r.status, r.err, r.took.Milliseconds())
		})
	}
	wg.Wait()
	rec.line("requests: %d sound ones sent, %d served; %d of the one that crashes engines", sound.sent.Load(), sound.served.Load(), sound.deadly.Load())
	return l.judge(rec)
}

// soundCounts counts the requests of both kinds.
type soundCounts struct{ sent, served, deadly atomic.Int64 }

// request sends sound requests, no two alike, until ctx ends.
func (c *soundCounts) request(ctx context.Context, rec *record, entries []string, requester int) {
	for n := 0; ctx.Err() == nil; n++ {
		r := send(entries[rand.IntN(len(entries))], "GET", fmt.Sprintf("/get/%d/%d", requester, n), "", 2500*time.Millisecond)
		c.sent.Add(1)
		if r.status == 200 && r.seal != "" {
			c.served.Add(1)
		}
		rec.line("sound %s: %d", r.id, r.status)
		pause(ctx, soundEach)
	}
}

// judge applies the rule: no more than three retries reach engines later than contact-ms after the third crash.
func (l *ledger) judge(rec *record) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.line("the request has reached engines %d times and crashed %d", len(l.reached), len(l.crashed))
	if len(l.crashed) < firstCrashes {
		return nil
	}
	third, later := l.crashed[firstCrashes-1], 0
	for _, at := range l.reached {
		if at > third+contact {
			later++
		}
	}
	rec.line("third crash at %.3f s; %d sends later than contact-ms after it", third.Seconds(), later)
	if later <= allowedRetries {
		return nil
	}
	return []string{fmt.Sprintf("a request that had crashed three engines reached engines %d times more, later than contact-ms after the third crash (%d crashes in all)", later, len(l.crashed))}
}
