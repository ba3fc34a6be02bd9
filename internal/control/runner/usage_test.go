package runner

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// leadingNode is a group of one that commits each proposal at once.
type leadingNode struct{ index uint64 }

func (n *leadingNode) LeaseUntil() time.Duration          { return 1<<63 - 1 }
func (n *leadingNode) Status() consensus.Status           { return consensus.Status{} }
func (n *leadingNode) IsRemoved(*pb.ReplicaIdentity) bool { return false }

func (n *leadingNode) Step(_ time.Duration, ev consensus.Event) []consensus.Effect {
	switch e := ev.(type) {
	case consensus.Tick:
		if n.index == 0 {
			n.index = 1
			return []consensus.Effect{consensus.LeaderChanged{Term: 1, Leader: 1, LeaderReady: true}}
		}
	case consensus.Propose:
		n.index++
		return []consensus.Effect{
			consensus.ProposalAppended{ID: e.ID, Index: n.index, Term: 1},
			consensus.Apply{Entries: []*pb.LogEntry{{Term: 1, Index: n.index, Data: e.Data}}},
		}
	}
	return nil
}

// usageLoop is a loop of a leader in virtual time that has decided a window before, with its
// metrics.
type usageLoop struct {
	*loop
	metrics tally.TestScope
	now     time.Duration
}

const usageLoopWindow = 5 * time.Second

func newUsageLoop(t *testing.T, address string) *usageLoop {
	t.Helper()
	snapshot, err := proto.Marshal(&pb.StateSnapshot{UsageDecided: 100, UsagePending: []*pb.UsageWindow{{Window: 100}}})
	if err != nil {
		t.Fatal(err)
	}
	state, err := control.RestoreState(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	cfg := control.Config{ID: 1, Duties: control.DutiesConfig{
		Usage: control.UsageConfig{Window: usageLoopWindow, ReportDelay: 2 * usageLoopWindow},
	}}
	metrics := tally.NewTestScope("", nil)
	l := &usageLoop{metrics: metrics, now: time.Hour}
	l.loop = newLoop(control.NewReducer(cfg, &leadingNode{}, state), slog.New(slog.DiscardHandler), metrics)
	l.duties = newDutyCaller(l.loop, address, nil)
	return l
}

// stepAt steps the reducer and performs what concerns usage.
func (l *usageLoop) stepAt(ev control.Event) {
	for _, eff := range l.reducer.Step(l.now, ev) {
		switch eff.(type) {
		case control.DutyCall, control.UsageProgress:
			l.perform(eff)
		}
	}
}

// advance moves the clocks to a time after the end of the decided window, with the results of
// calls.
func (l *usageLoop) advance(afterWindow time.Duration) {
	start := l.now
	end := 101 * usageLoopWindow
	for at := time.Duration(0); at <= afterWindow; at += 200 * time.Millisecond {
		l.now = start + at
		l.stepAt(control.Tick{WallMS: (end + at).Milliseconds()})
		l.duties.wait()
		for len(l.events) > 0 {
			l.stepAt(<-l.events)
		}
	}
	l.updateGauges()
}

func (l *usageLoop) counter(name string) int64 {
	c := l.metrics.Snapshot().Counters()[name]
	if c == nil {
		return -1
	}
	return c.Value()
}

func (l *usageLoop) oldestSeconds() float64 {
	return l.metrics.Snapshot().Gauges()["usage_oldest_unreported_seconds+"].Value()
}

func answerUsageWith(t *testing.T, status int) *usageLoop {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	t.Cleanup(s.Close)
	return newUsageLoop(t, strings.TrimPrefix(s.URL, "http://"))
}

// Guards against alerts on usage that don't fire while no report is taken.
func TestMetricsShowUnreportedUsage(t *testing.T) {
	l := answerUsageWith(t, http.StatusServiceUnavailable)
	l.advance(12 * time.Second)
	if got := l.counter("usage_windows_decided+"); got != 2 {
		t.Errorf("%d windows decided, want 2", got)
	}
	if got := l.counter("usage_windows_reported+"); got != 0 {
		t.Errorf("%d windows reported, want 0", got)
	}
	if got := l.counter("duty_calls+duty=usage,result=busy"); got < 3 {
		t.Errorf("%d refused calls, want 3 or more", got)
	}
	if got := l.oldestSeconds(); got != 12 {
		t.Errorf("the oldest window is %v s old, want 12", got)
	}
}

// Guards against alerts on usage that fire although all reports are taken.
func TestMetricsShowReportedUsage(t *testing.T) {
	l := answerUsageWith(t, http.StatusOK)
	l.advance(12 * time.Second)
	if got := l.counter("usage_windows_decided+"); got != 2 {
		t.Errorf("%d windows decided, want 2", got)
	}
	if got := l.counter("usage_windows_reported+"); got != 3 {
		t.Errorf("%d windows reported, want 3", got)
	}
	if got := l.counter("duty_calls+duty=usage,result=taken"); got != 3 {
		t.Errorf("%d calls taken, want 3", got)
	}
	if got := l.oldestSeconds(); got != 0 {
		t.Errorf("the oldest window is %v s old, want 0", got)
	}
}
