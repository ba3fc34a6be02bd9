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
	// otherWriterAt is when the reports of another writer come, after the machines have started.
	otherWriterAt = 6 * time.Second
	// otherWriterFor is the length of the case.
	otherWriterFor = 45 * time.Second
	// otherSequence is where the other writer's count stands.
	otherSequence = 100000
)

// otherWriter sends, before traffic starts, one liveness report of another writer for each engine: with a
// service that the manifest doesn't name. The engines go on with their own reports.
func otherWriter(root, dir string, rec *record, trouble bool) []string {
	s := newSite(root, dir, rec, 3, 3)
	ctx, cancel := context.WithTimeout(context.Background(), otherWriterFor)
	defer cancel()
	var nodes []string
	for _, m := range s.control {
		nodes = append(nodes, m.values["listen.control-plane"])
	}
	for _, m := range append(append([]*machine{}, s.control...), s.edge...) {
		m.start()
		time.Sleep(20 * time.Millisecond)
	}
	var engines []*engine
	for n, z := range zones {
		engines = append(engines, startEngine(ctx, rec, nodes, fmt.Sprintf("i-%d", n+1), "portal", z, s.ip(5, n+1)))
	}
	status := newCaller(nodes).replace(ctx, rec, plainManifest(7))
	pause(ctx, otherWriterAt-time.Since(rec.start))
	acked := make([]int64, len(engines))
	for n, e := range engines {
		acked[n] = e.acknowledged.Load()
		if trouble {
			report(rec, nodes, e)
		}
	}
	sent, served := requestUntil(ctx, s, rec, trafficAt-otherWriterAt)
	for n, e := range engines {
		rec.line("engine %s: %d of its reports acknowledged before, %d after", e.id, acked[n], e.acknowledged.Load()-acked[n])
	}
	rec.line("manifest: status %d; requests: %d sent, %d served", status, sent, served)
	if served > 0 {
		return nil
	}
	return []string{fmt.Sprintf("no request is served (%d tried), with three engines that are ready, answer, and report so", sent)}
}

// report sends a report of another writer for an engine, to the nodes in turn until one takes or refuses it.
func report(rec *record, nodes []string, e *engine) {
	body, err := json.Marshal(map[string]any{
		"service": "elsewhere", "address": e.address, "zone": e.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold-remaining-ms": 0, "sequence": otherSequence,
	})
	if err != nil {
		cantRun("%v", err)
	}
	for n := range 3 * len(nodes) {
		node := nodes[n%len(nodes)]
		status, _ := newCaller(nodes).call(node, http.MethodPost, "/v1/Instances.Heartbeat/"+e.id, body)
		rec.line("another writer: report for %s with the service elsewhere to %s: %d", e.id, node, status)
		if status != 0 && status < 500 {
			return
		}
	}
}
