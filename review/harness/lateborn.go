//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// bornAt is when the first engine starts, and bornEach how much later each further one does. An engine
	// lives for firstLife, and a new lifetime with a new id starts at its address after engineBack.
	bornAt     = 1200 * time.Millisecond
	bornEach   = 2700 * time.Millisecond
	firstLife  = 300 * time.Millisecond
	engineBack = 2 * time.Second
	// lateReportAfter is how long after the start of the first lifetime its first report arrives. The engine
	// is cut off from control in that lifetime only.
	lateReportAfter = 2650 * time.Millisecond
	lateBornFor     = 45 * time.Second
)

// lateBorn plays engines that crash soon after their start and come back as new lifetimes. With trouble
// each engine is cut off from control in its first lifetime, and one report of that arrives afterwards.
func lateBorn(root, dir string, rec *record, trouble bool) []string {
	s := newSite(root, dir, rec, 3, 3)
	ctx, cancel := context.WithTimeout(context.Background(), lateBornFor)
	defer cancel()
	var nodes []string
	for _, m := range s.control {
		nodes = append(nodes, m.values["listen.control-plane"])
	}
	for _, m := range append(append([]*machine{}, s.control...), s.edge...) {
		m.start()
		time.Sleep(20 * time.Millisecond)
	}
	status := newCaller(nodes).replace(ctx, rec, plainManifest(7))
	var engines []*engine
	for n, z := range zones {
		pause(ctx, bornAt+time.Duration(n)*bornEach-time.Since(rec.start))
		engines = append(engines, twoLives(ctx, s, rec, nodes, n+1, z, trouble))
	}
	sent, served := requestUntil(ctx, s, rec, trafficAt-time.Since(rec.start))
	for _, e := range engines {
		rec.line("engine %s: %d of its reports acknowledged", e.id, e.acknowledged.Load())
	}
	rec.line("manifest: status %d; requests: %d sent, %d served", status, sent, served)
	if served > 0 {
		return nil
	}
	return []string{fmt.Sprintf("no request is served (%d tried), with three engines that are ready, answer, and report so", sent)}
}

// twoLives starts an engine, which crashes and comes back as a new lifetime. With trouble control gets the
// report of the first one late.
func twoLives(ctx context.Context, s *site, rec *record, nodes []string, n int, zone string, trouble bool) *engine {
	start, ip := time.Now(), s.ip(5, n)
	reach := nodes
	if trouble {
		// Nobody listens there: the partition.
		reach = []string{addr(s.ip(8, 8), portControl)}
	}
	life, crash := context.WithCancel(ctx)
	first := startEngine(life, rec, reach, fmt.Sprintf("i-%da", n), "portal", zone, ip)
	rec.line("engine %s: starts at %s", first.id, first.address)
	pause(ctx, firstLife)
	crash()
	_ = first.server.Close()
	rec.line("engine %s: crashes; %d of its reports acknowledged", first.id, first.acknowledged.Load())
	pause(ctx, engineBack)
	second := startEngine(ctx, rec, nodes, fmt.Sprintf("i-%db", n), "portal", zone, ip)
	rec.line("engine %s: starts at %s", second.id, second.address)
	pause(ctx, lateReportAfter-time.Since(start))
	rec.line("engine %s: %d of its reports acknowledged", second.id, second.acknowledged.Load())
	if trouble {
		deliver(rec, nodes, first)
	}
	return second
}

// deliver hands a node of control the first report of an engine that has crashed since, once.
func deliver(rec *record, nodes []string, e *engine) {
	body, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 1,
	})
	if err != nil {
		cantRun("%v", err)
	}
	for n := range 3 * len(nodes) {
		node := nodes[n%len(nodes)]
		status, _ := newCaller(nodes).call(node, http.MethodPost, "/v1/Instances.Heartbeat/"+e.id, body)
		rec.line("partition: the first report of %s arrives at %s: %d", e.id, node, status)
		if status != 0 && status < 500 {
			return
		}
	}
}
