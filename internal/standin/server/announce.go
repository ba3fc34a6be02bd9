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
	// announceTargets is how many entries each announcement goes to. Three
	// tolerate two unreachable entries.
	announceTargets = 3
	// defaultAnnounceInterval applies until an entry's answer sets another one.
	defaultAnnounceInterval = time.Second
	announceTimeout         = 500 * time.Millisecond
)

// announcer sends the server's announcements to the entries.
type announcer struct {
	client   *http.Client
	interval time.Duration
	// failed holds the entries whose latest announcement was not answered.
	failed map[string]bool
}

func (s *Server) triggerAnnounce() {
	select {
	case s.announceTrigger <- struct{}{}:
	default:
	}
}

func (s *Server) announceLoop(ctx context.Context) {
	a := &announcer{
		// Without keep-alive, a connection that the network has blackholed
		// can't swallow further announcements.
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: announceTimeout},
		interval: defaultAnnounceInterval, failed: make(map[string]bool),
	}
	for {
		s.announceRound(ctx, a)
		select {
		case <-ctx.Done():
			return
		case <-s.announceTrigger:
		case <-time.After(a.interval):
		}
	}
}

func (s *Server) announceRound(ctx context.Context, a *announcer) {
	s.mu.Lock()
	body := s.announcement()
	targets := a.chooseTargets(s.entries)
	s.mu.Unlock()
	results := pool.NewWithResults[announceResult]()
	for _, entry := range targets {
		results.Go(func() announceResult { return a.send(ctx, entry, body) })
	}
	for _, r := range results.Wait() {
		a.failed[r.entry] = !r.ok
		if r.ok {
			s.applyAnnounceAnswer(a, r.answer)
		}
	}
}

// chooseTargets returns up to announceTargets entries in the preferred order,
// entries that failed after the others. If all of them have failed, it clears
// the failures and returns every entry.
func (a *announcer) chooseTargets(entries []string) []string {
	ordered := slices.Clone(entries)
	slices.SortStableFunc(ordered, func(x, y string) int { return failureRank(a.failed[x]) - failureRank(a.failed[y]) })
	for _, e := range ordered[:min(announceTargets, len(ordered))] {
		if !a.failed[e] {
			return ordered[:min(announceTargets, len(ordered))]
		}
	}
	clear(a.failed)
	return ordered
}

func failureRank(failed bool) int {
	if failed {
		return 1
	}
	return 0
}

// announcement builds the announcement of the current state. The caller must
// hold mu.
func (s *Server) announcement() engineapi.Announcement {
	c, o := &s.config, &s.orders
	a := engineapi.Announcement{
		Cluster: c.Cluster, ID: c.ID, Incarnation: s.incarnation, Address: c.advertisedAddress(),
		Region: c.Region, DataCentre: c.DataCentre, Kind: c.Kind, Services: c.Services, SoftwareVersion: c.SoftwareVersion,
		State: s.state(), Slots: uint32(c.Slots), Load: s.load(),
	}
	if c.Kind == engineapi.KindModel {
		a.Model, a.Version, a.Adapters, a.Role = o.model, o.version, slices.Clone(o.adapters), o.role
		a.LastOrder, a.LastToken = o.lastDone.ID, o.lastDone.Token
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

// applyAnnounceAnswer applies an entry's answer: the interval, the list of
// entries and a request to leave. The configured entries stay in the list, so
// that a wrong answer can't leave the server without working entries.
func (s *Server) applyAnnounceAnswer(a *announcer, answer engineapi.AnnounceAnswer) {
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
		s.startLeaving()
	}
}
