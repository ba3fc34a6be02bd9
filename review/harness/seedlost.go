//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// trafficAt is when requesters begin, after the machines have started.
	trafficAt = 10 * time.Second
	// seedLostFor is the length of the case.
	seedLostFor = 50 * time.Second
	// replacedAfter is when an empty machine takes the place of the lost one.
	replacedAfter = 4 * time.Second
)

// seedLost starts a whole system for the first time. With trouble, one of its three machines of
// control goes down while it starts and stays down; an empty one takes its place at another address.
func seedLost(root, dir string, rec *record, trouble bool) []string {
	s := newSite(root, dir, rec, 4, 3)
	first, spare := s.control[:3], s.control[3]
	lost := first[2]
	ctx, cancel := context.WithTimeout(context.Background(), seedLostFor)
	defer cancel()
	for _, m := range append(append([]*machine{}, first...), s.edge...) {
		m.start()
		rec.line("platform: %s starts", m.name)
		if m == lost && trouble {
			m.kill()
			rec.line("platform: %s goes down for good", m.name)
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, m := range append(append([]*machine{}, s.control...), s.edge...) {
		m.values["bootstrap"] = "false"
	}
	var nodes []string
	for _, m := range first {
		if m != lost || !trouble {
			nodes = append(nodes, m.values["listen.control-plane"])
		}
	}
	if trouble {
		time.AfterFunc(replacedAfter, func() {
			rec.line("platform: %s is added, empty, in its place", spare.name)
			spare.start()
		})
		nodes = append(nodes, spare.values["listen.control-plane"])
	}
	for n, z := range zones {
		startEngine(ctx, rec, nodes, fmt.Sprintf("i-%d", n+1), "portal", z, s.ip(5, n+1))
	}
	var wg sync.WaitGroup
	status := 0
	wg.Go(func() { status = newCaller(nodes).replace(ctx, rec, plainManifest(7)) })
	served, sent := 0, 0
	wg.Go(func() { sent, served = requestUntil(ctx, s, rec, trafficAt) })
	wg.Wait()
	rec.line("manifest: last status %d; requests: %d sent, %d served", status, sent, served)
	var broken []string
	if served == 0 {
		broken = append(broken, fmt.Sprintf("no request is served (%d tried)", sent))
	}
	if status != 200 {
		broken = append(broken, fmt.Sprintf("the first manifest has no confirmation after %s, last status %d; two of three machines of control run all the while",
			seedLostFor, status))
	}
	return broken
}

// requestUntil sends idempotent requests from a moment on until ctx ends.
func requestUntil(ctx context.Context, s *site, rec *record, from time.Duration) (sent, served int) {
	var directories []string
	for _, m := range s.edge {
		directories = append(directories, m.values["listen.directory"])
	}
	pause(ctx, from)
	for ; ctx.Err() == nil; sent++ {
		addresses := resolve(directories, zones[sent%len(zones)])
		if len(addresses) == 0 {
			rec.line("requester: no directory names a node")
			pause(ctx, 200*time.Millisecond)
			continue
		}
		r := send(addresses[sent%len(addresses)], "GET", fmt.Sprintf("/get/%d", sent), "", 2500*time.Millisecond)
		rec.line("requester: %s at %s: status %d, seal %q, error %v, %d ms", r.id, r.node, r.status, r.seal, r.err, r.took.Milliseconds())
		if r.status == 200 && r.seal != "" {
			served++
		}
		pause(ctx, 200*time.Millisecond)
	}
	return sent, served
}
