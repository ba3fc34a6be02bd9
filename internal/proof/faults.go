package proof

import (
	"context"
	"syscall"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/standin/audit"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
	"goldcrestseam.dev/goldcrestseam/internal/standin/workload"
)

const (
	// FaultDelay is the time from the start of a trial's load to the fault: streams
	// are in progress by then.
	FaultDelay = 1200 * time.Millisecond
	// frozenFor is how long a frozen engine stays so: longer than an entry
	// waits for a silent stream.
	frozenFor = 4 * time.Second
	// leaderGone is how long a killed control replica stays away.
	leaderGone = 2 * time.Second
)

// Fault is something that goes wrong in the middle of load.
type Fault struct {
	Name string
	// NeedsForwarders says that the fault needs forwarders in front of the engines.
	NeedsForwarders bool
	// Inject does it. Errors: testbed.Failed, of the journals.
	Inject func(context.Context, *Trial) error
}

// Faults are those that are measured and proved.
var Faults = []Fault{
	{Name: "none", Inject: func(context.Context, *Trial) error { return nil }},
	{Name: "engine killed", Inject: killEngine},
	{Name: "entry killed", Inject: killEntry},
	{Name: "engine and entry killed", Inject: killBoth},
	{Name: "engine frozen", Inject: freezeEngine},
	{Name: "open connections silent", NeedsForwarders: true, Inject: silenceConnections},
	{Name: "control leader killed", Inject: killLeader},
}

// FaultByName returns the fault with that name, or nil.
func FaultByName(name string) *Fault {
	for i := range Faults {
		if Faults[i].Name == name {
			return &Faults[i]
		}
	}
	return nil
}

func killEngine(_ context.Context, t *Trial) error {
	engine, err := t.Busiest(t.Bed.Engines)
	if err != nil {
		return err
	}
	engine.Kill()
	return nil
}

func killEntry(_ context.Context, t *Trial) error {
	t.Bed.Entries[0].Kill()
	return nil
}

func killBoth(_ context.Context, t *Trial) error {
	engine, err := t.Busiest(t.Bed.Engines)
	if err != nil {
		return err
	}
	t.Bed.Entries[0].Signal(syscall.SIGKILL)
	engine.Signal(syscall.SIGKILL)
	return nil
}

func freezeEngine(ctx context.Context, t *Trial) error {
	engine, err := t.Busiest(t.Bed.Engines)
	if err != nil {
		return err
	}
	engine.Signal(syscall.SIGSTOP)
	defer engine.Signal(syscall.SIGCONT)
	pause(ctx, frozenFor)
	return nil
}

func silenceConnections(_ context.Context, t *Trial) error {
	for _, f := range t.Bed.Forwarders {
		f.SilenceOpen()
	}
	return nil
}

func killLeader(ctx context.Context, t *Trial) error {
	leader, err := t.Bed.Leader(ctx)
	if err != nil {
		return err
	}
	leader.Kill()
	pause(ctx, leaderGone)
	return leader.Start()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// FaultReport is what callers saw of one fault over several seeds.
type FaultReport struct {
	Fault string `json:"fault"`
	Seeds int    `json:"seeds"`
	// Accepted requests are those that were not refused as not run.
	Accepted      int     `json:"accepted"`
	Complete      int     `json:"whole"`
	CompleteShare float64 `json:"share_whole"`
	Doubled       int     `json:"doubled"`
	Resumes       int     `json:"resumes"`
	// Migrated streams ran on more than one engine or were resumed by their
	// callers. MigratedStall has the longest silence that each of these callers
	// saw, Stall that of all streams, both in milliseconds.
	Migrated      int               `json:"moved"`
	MigratedStall workload.Quantile `json:"moved_stall_ms"`
	Stall         workload.Quantile `json:"stall_ms"`
	Findings      []string          `json:"findings,omitempty"`
}

// faultSums adds trials up.
type faultSums struct {
	report FaultReport
	all    *workload.Histogram
	moved  *workload.Histogram
}

func newFaultSums(name string) *faultSums {
	return &faultSums{report: FaultReport{Fault: name}, all: workload.NewHistogram(), moved: workload.NewHistogram()}
}

func (s *faultSums) add(out *Outcome) {
	r, c := &s.report, out.Counts
	r.Seeds++
	r.Accepted += c.Requests - c.RefusedNotRun
	r.Complete += c.Whole
	r.Doubled += c.Doubled
	r.Resumes += out.Resumes()
	r.Findings = append(r.Findings, c.Findings...)
	runs := startsByMark(out.Records)
	for _, d := range out.Results {
		if d.Path != "" || !d.Result.Whole {
			continue
		}
		s.all.Add(longest(d))
		if runs[d.Mark] > 1 || d.Result.Resumes > 0 {
			r.Migrated++
			s.moved.Add(longest(d))
		}
	}
}

// longest is the longest silence of a stream, the wait for its first token
// included.
func longest(d audit.Done) time.Duration { return max(d.Result.FirstToken, d.Result.LongestGap) }

func (s *faultSums) sum() FaultReport {
	r := s.report
	r.CompleteShare = float64(r.Complete) / float64(max(r.Accepted, 1))
	r.Stall, r.MigratedStall = s.all.Quantile(), s.moved.Quantile()
	return r
}

func startsByMark(records []journal.Record) map[string]int {
	runs := make(map[string]int)
	for _, r := range records {
		if r.Event == journal.Started {
			runs[r.Mark]++
		}
	}
	return runs
}
