package runner

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// tickInterval is how late a timer may fire: half of the shortest timer, the 100 ms
	// heartbeat. Ticks of 20 ms double the processor time of an idle replica.
	tickInterval = 50 * time.Millisecond
	// eventQueueLength is how many events may wait; further posters block.
	eventQueueLength = 1024
	// gaugeInterval is how often the sizes of the state are written to the metrics, and the
	// counts of answered calls to the log.
	gaugeInterval = 5 * time.Second
	// callTimeout bounds every call except Watch, which is answered earlier.
	callTimeout = 5 * time.Second
)

// group is the state of the control group that the request goroutines read.
type group struct {
	// members is the committed member list.
	members  *pb.Membership
	leader   uint64
	isLeader bool
	// leaderAddress and replicas are what is known of the leader and the members, also from
	// outside of the group.
	leaderAddress string
	replicas      []string
}

// loop is the control goroutine, the only one that steps the reducer.
type loop struct {
	reducer *control.Reducer
	log     *slog.Logger
	scope   tally.Scope
	disk    *disk
	net     *transport
	engines *engineSender
	duties  *dutyCaller
	intro   *introducer
	usage   *usageReporter

	// callCounters counts the calls of other processes.
	callCounters *rpc.CallCounters

	events chan control.Event
	stop   chan struct{}
	// done is closed when the control goroutine has ended.
	done   chan struct{}
	failed chan error
	group  atomic.Pointer[group]

	lastCallID   atomic.Uint64
	mu           sync.Mutex
	pendingCalls map[uint64]chan control.Reply
}

func newLoop(reducer *control.Reducer, log *slog.Logger, scope tally.Scope) *loop {
	l := &loop{
		reducer: reducer, log: log, scope: scope, callCounters: rpc.NewCallCounters(scope),
		events:       make(chan control.Event, eventQueueLength),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
		failed:       make(chan error, 1),
		pendingCalls: make(map[uint64]chan control.Reply),
	}
	l.group.Store(&group{members: &pb.Membership{}})
	return l
}

func (l *loop) currentGroup() *group { return l.group.Load() }

// post hands an event to the control goroutine; after that has ended, it does nothing.
func (l *loop) post(ev control.Event) {
	select {
	case l.events <- ev:
	case <-l.stop:
	}
}

func (l *loop) run() {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	gauges := time.NewTicker(gaugeInterval)
	defer gauges.Stop()
	for {
		select {
		case <-l.stop:
			return
		case ev := <-l.events:
			l.step(ev)
		case <-ticker.C:
			l.step(control.Tick{WallMS: time.Now().UnixMilli()})
		case <-gauges.C:
			l.updateGauges()
			l.logCallCounts()
			l.usage.reportBeside("storage", l.reducer.Consensus())
		}
	}
}

// logCallCounts logs the number of answered calls since the last line, with their bytes.
func (l *loop) logCallCounts() {
	var calls []any
	for _, t := range l.callCounters.Take() {
		calls = append(calls, slog.Group(t.Call, "calls", t.Calls, "bytes_sent", t.Sent, "bytes_received", t.Received))
	}
	l.log.Info("calls answered", slog.Group("by_call", calls...), "over_ms", gaugeInterval.Milliseconds())
}

func (l *loop) updateGauges() {
	f := l.reducer.State().Stats()
	for _, g := range []struct {
		name  string
		value float64
	}{
		{"applied_index", float64(f.Index)}, {"revision", float64(f.Revision)},
		{"view_version", float64(f.ViewVersion)}, {"role_changes", float64(f.RoleChanges)},
		{"backend_servers", float64(f.Servers)}, {"entries", float64(f.Entries)},
		{"unresolved_orders", float64(f.UnresolvedOrders)}, {"claims", float64(f.Claims)},
		{"suspects", float64(f.Suspects)}, {"stored_answer_bytes", float64(f.AnswerBytes)},
	} {
		l.scope.Gauge(g.name).Update(g.value)
	}
}

func (l *loop) step(ev control.Event) {
	for _, eff := range l.reducer.Step(clock.SinceBoot(), ev) {
		l.perform(eff)
	}
}

func (l *loop) perform(eff control.Effect) {
	switch e := eff.(type) {
	case control.ConsensusEffect:
		l.performConsensus(e.Effect)
	case control.SaveSnapshot:
		l.disk.enqueue(diskWrite{save: &e.Snapshot})
	case control.Reply:
		l.reply(e)
	case control.SendOrder:
		l.engines.send(e)
	case control.CheckAddress:
		l.engines.check(e)
	case control.DutyCall:
		l.duties.call(e)
	case control.Members:
		l.group.Store(&group{members: e.Committed, leader: e.Leader, isLeader: e.IsLeader, leaderAddress: e.LeaderAddress, replicas: e.Replicas})
		l.net.setMembers(e.Membership)
		l.scope.Gauge("leads").Update(boolGauge(e.IsLeader))
	case control.Introduce:
		l.intro.send(e)
	case control.Fatal:
		l.fail(e.Err)
	case control.Log:
		l.writeLog(e)
	}
}

func (l *loop) performConsensus(eff consensus.Effect) {
	switch e := eff.(type) {
	case consensus.Send:
		l.net.send(e.Message)
	case consensus.Persist:
		l.disk.enqueue(diskWrite{persist: &e})
	case consensus.RestoreSnapshot:
		l.disk.enqueue(diskWrite{restore: &e})
	case consensus.Removed:
		l.fail(Removed.New("the group has removed this replica; its data folder must not be used again"))
	}
}

func (l *loop) fail(err error) {
	select {
	case l.failed <- err:
	default:
	}
}

func (l *loop) writeLog(e control.Log) {
	attrs := make([]slog.Attr, 0, len(e.Fields))
	for _, f := range e.Fields {
		attrs = append(attrs, slog.Any(f.Name, f.Value))
	}
	l.log.LogAttrs(context.Background(), e.Level, e.Message, attrs...)
}

func (l *loop) reply(e control.Reply) {
	l.mu.Lock()
	ch := l.pendingCalls[e.ID]
	delete(l.pendingCalls, e.ID)
	l.mu.Unlock()
	if ch != nil {
		ch <- e
	}
}

// call posts a request and waits for its answer.
func (l *loop) call(ctx context.Context, req proto.Message) (proto.Message, error) {
	return l.postAndWait(ctx, func(id uint64) control.Event { return control.Call{ID: id, Request: req} })
}

func (l *loop) postAndWait(ctx context.Context, event func(id uint64) control.Event) (proto.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id := l.lastCallID.Add(1)
	ch := make(chan control.Reply, 1)
	l.mu.Lock()
	l.pendingCalls[id] = ch
	l.mu.Unlock()
	l.post(event(id))
	select {
	case e := <-ch:
		return e.Response, e.Err
	case <-ctx.Done():
	case <-l.stop:
	}
	l.mu.Lock()
	delete(l.pendingCalls, id)
	l.mu.Unlock()
	l.post(control.CallCanceled{ID: id})
	return nil, twirp.NewError(twirp.DeadlineExceeded, "no answer in time; it may come about")
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
