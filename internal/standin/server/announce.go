package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

const (
	// announceTo is how many entries hear of it: two may be cut off.
	announceTo = 3
	// announceInterval holds until an entry names another one.
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
)

// announcer says to entries what the server is.
type announcer struct {
	client   *http.Client
	interval time.Duration
	// failed lists entries that gave no answer last time.
	failed map[string]bool
}

func (s *Server) announceNow() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Server) announceLoop(ctx context.Context) {
	a := &announcer{
		// A connection that has gone silent must not eat announcements.
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: announceTimeout},
		interval: announceInterval, failed: make(map[string]bool),
	}
	for {
		s.announceRound(ctx, a)
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-time.After(a.interval):
		}
	}
}

func (s *Server) announceRound(ctx context.Context, a *announcer) {
	s.mu.Lock()
	body := s.announcement()
	targets := a.choose(s.entries)
	s.mu.Unlock()
	results := pool.NewWithResults[announceResult]()
	for _, entry := range targets {
		results.Go(func() announceResult { return a.send(ctx, entry, body) })
	}
	for _, r := range results.Wait() {
		a.failed[r.entry] = !r.ok
		if r.ok {
			s.follow(a, r.answer)
		}
	}
}

// choose gives the best entries, those that failed last. Once all have failed
// they are all tried again.
func (a *announcer) choose(entries []string) []string {
	order := slices.Clone(entries)
	slices.SortStableFunc(order, func(x, y string) int { return rank(a.failed[x]) - rank(a.failed[y]) })
	for _, e := range order[:min(announceTo, len(order))] {
		if !a.failed[e] {
			return order[:min(announceTo, len(order))]
		}
	}
	clear(a.failed)
	return order
}

func rank(failed bool) int {
	if failed {
		return 1
	}
	return 0
}

// announcement must be called with mu held.
func (s *Server) announcement() engineapi.Announcement {
	c, o := &s.config, &s.orders
	a := engineapi.Announcement{
		Cluster: c.Cluster, ID: c.ID, Incarnation: s.incarnation, Address: c.announced(),
		Region: c.Region, DataCentre: c.DataCentre, Kind: c.Kind, Services: c.Services,
		State: s.state(), Slots: uint32(c.Slots), Load: s.load(),
	}
	if c.Kind == engineapi.KindModel {
		a.Model, a.Version, a.Adapters, a.Role = o.model, o.version, slices.Clone(o.adapters), o.role
		a.LastOrder, a.LastToken = o.last.ID, o.last.Token
		if o.running != nil {
			a.RunningOrder = o.running.ID
		}
	}
	return a
}

type announceResult struct {
	entry  string
	answer engineapi.AnnounceAnswer
	ok     bool
}

func (a *announcer) send(ctx context.Context, entry string, body engineapi.Announcement) announceResult {
	result := announceResult{entry: entry}
	data, err := json.Marshal(body)
	if err != nil {
		return result
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+engineapi.PathAnnounce, bytes.NewReader(data))
	if err != nil {
		return result
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return result
	}
	defer resp.Body.Close()
	result.ok = resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&result.answer) == nil
	return result
}

// follow takes an entry's answer to heart. The entries of the configuration
// stay in the list, so that a wrong answer can't cut the server off.
func (s *Server) follow(a *announcer, answer engineapi.AnnounceAnswer) {
	if answer.IntervalMS > 0 {
		a.interval = time.Duration(answer.IntervalMS) * time.Millisecond
	}
	if len(answer.Entries) > 0 {
		entries := slices.Clone(answer.Entries)
		for _, e := range s.config.Entries {
			if !slices.Contains(entries, e) {
				entries = append(entries, e)
			}
		}
		s.mu.Lock()
		s.entries = entries
		s.mu.Unlock()
	}
	if answer.Leave {
		s.leave()
	}
}
