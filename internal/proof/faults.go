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
	// freezeDuration is how long a frozen engine stays stopped: longer than an
	// entry waits for the next token of a stream.
	freezeDuration = 4 * time.Second
	// leaderDowntime is the time from the kill of a control leader to its restart.
	leaderDowntime = 2 * time.Second
)

// Fault is a failure that is injected under load.
type Fault struct {
	Name string
	// NeedsForwarders says that the fault needs forwarders in front of the engines.
	NeedsForwarders bool
	// Inject causes the fault. Errors: testbed.Failed, errors of reading journals.
	Inject func(context.Context, *Trial) error
}

// Faults lists the faults that are measured and tested.
var Faults = []Fault{
	{Name: "none", Inject: func(context.Context, *Trial) error { return nil }},
	{Name: "engine killed", Inject: killEngine},
	{Name: "entry killed", Inject: killEntry},
	{Name: "engine and entry killed", Inject: killEngineAndEntry},
	{Name: "engine frozen", Inject: freezeEngine},
	{Name: "open connections silent", NeedsForwarders: true, Inject: blackholeOpenConnections},
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

func killEngineAndEntry(_ context.Context, t *Trial) error {
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
	sleep(ctx, freezeDuration)
	return nil
}

func blackholeOpenConnections(_ context.Context, t *Trial) error {
	for _, f := range t.Bed.Forwarders {
		f.BlackholeOpenConnections()
	}
	return nil
}

func killLeader(ctx context.Context, t *Trial) error {
	leader, err := t.Bed.Leader(ctx)
	if err != nil {
		return err
	}
	leader.Kill()
	sleep(ctx, leaderDowntime)
	return leader.Start()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// FaultReport is what callers observed under one fault, over several seeds.
type FaultReport struct {
	Fault string `json:"fault"`
	Seeds int    `json:"seeds"`
	// Accepted counts all requests except those refused with outcome "not run";
	// Complete counts answers that were complete and byte for byte correct.
	Accepted      int     `json:"accepted"`
	Complete      int     `json:"whole"`
	CompleteShare float64 `json:"share_whole"`
	// DuplicateRuns counts at-most-once calls that ran more than once.
	DuplicateRuns int `json:"doubled"`
	// Resumes counts how often callers resumed a stream.
	Resumes int `json:"resumes"`
	// Migrated streams ran on more than one engine or were resumed by their
	// callers. MigratedStall has the longest silence that each of these callers
	// saw, Stall that of all streams, both in milliseconds.
	Migrated      int                `json:"moved"`
	MigratedStall workload.Quantiles `json:"moved_stall_ms"`
	Stall         workload.Quantiles `json:"stall_ms"`
	Findings      []string           `json:"findings,omitempty"`
}

// faultTotals accumulates the trials of one fault.
type faultTotals struct {
	report         FaultReport
	allStalls      *workload.Histogram
	migratedStalls *workload.Histogram
}

func newFaultTotals(name string) *faultTotals {
	return &faultTotals{report: FaultReport{Fault: name}, allStalls: workload.NewHistogram(), migratedStalls: workload.NewHistogram()}
}

func (s *faultTotals) add(out *Outcome) {
	r, c := &s.report, out.Counts
	r.Seeds++
	r.Accepted += c.Requests - c.RefusedNotRun
	r.Complete += c.Complete
	r.DuplicateRuns += c.DuplicateRuns
	r.Resumes += out.Resumes()
	r.Findings = append(r.Findings, c.Findings...)
	runCounts := startsByMark(out.Records)
	for _, d := range out.Results {
		if d.Path != "" || !d.Result.Complete {
			continue
		}
		s.allStalls.Add(longestStall(d))
		if runCounts[d.Mark] > 1 || d.Result.Resumes > 0 {
			r.Migrated++
			s.migratedStalls.Add(longestStall(d))
		}
	}
}

// longestStall returns the longest time a stream's caller waited for a token,
// the first one included.
func longestStall(d audit.FinishedRequest) time.Duration {
	return max(d.Result.TimeToFirstToken, d.Result.MaxChunkGap)
}

func (s *faultTotals) result() FaultReport {
	r := s.report
	r.CompleteShare = float64(r.Complete) / float64(max(r.Accepted, 1))
	r.Stall, r.MigratedStall = s.allStalls.Quantiles(), s.migratedStalls.Quantiles()
	return r
}

func startsByMark(records []journal.Record) map[string]int {
	counts := make(map[string]int)
	for _, r := range records {
		if r.Event == journal.RequestStarted {
			counts[r.Mark]++
		}
	}
	return counts
}
