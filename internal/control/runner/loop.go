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
	// tickInterval is how late timers may be noticed: half of the shortest of
	// them, a heartbeat of 100 ms. Ticks of 20 ms cost an idle replica twice
	// the processor time.
	tickInterval = 50 * time.Millisecond
	// eventQueue is how many events may wait; who posts more waits itself.
	eventQueue = 1024
	// gaugeInterval is how often the state's sizes are written to the metrics, and what was
	// answered to the log.
	gaugeInterval = 5 * time.Second
	// callTimeout bounds every call but Watch, whose hold is shorter.
	callTimeout = 5 * time.Second
)

// group is what the traffic goroutines read of the control group.
type group struct {
	// members is the committed list.
	members *pb.Membership
	leader  uint64
	leads   bool
}

// loop is the control goroutine: it alone steps the reducer.
type loop struct {
	reducer *control.Reducer
	log     *slog.Logger
	scope   tally.Scope
	disk    *disk
	net     *transport
	engines *engineSender
	duties  *dutyCaller

	// answered counts the calls of other processes.
	answered *rpc.CallCounters

	events chan control.Event
	stop   chan struct{}
	// done is closed when the control goroutine has ended.
	done   chan struct{}
	failed chan error
	group  atomic.Pointer[group]
	// waitsFor is the address of the leader that this replica has asked to be added;
	// nil if none.
	waitsFor atomic.Pointer[string]

	nextCall atomic.Uint64
	mu       sync.Mutex
	calls    map[uint64]chan control.Reply
}

func newLoop(reducer *control.Reducer, log *slog.Logger, scope tally.Scope) *loop {
	l := &loop{
		reducer: reducer, log: log, scope: scope, answered: rpc.NewCallCounters(scope),
		events: make(chan control.Event, eventQueue),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
		failed: make(chan error, 1),
		calls:  make(map[uint64]chan control.Reply),
	}
	l.group.Store(&group{members: &pb.Membership{}})
	return l
}

func (l *loop) view() *group { return l.group.Load() }

// post hands an event to the control goroutine; after its end it does nothing.
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
			l.logAnswered()
		}
	}
}

// logAnswered tells how many calls were answered since the last line, with their bytes.
func (l *loop) logAnswered() {
	var calls []any
	for _, t := range l.answered.Take() {
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
		l.carryOut(eff)
	}
}

func (l *loop) carryOut(eff control.Effect) {
	switch e := eff.(type) {
	case control.ConsensusEffect:
		l.carryOutConsensus(e.Effect)
	case control.SaveSnapshot:
		l.disk.do(diskWork{save: &e.Snapshot})
	case control.Reply:
		l.reply(e)
	case control.SendOrder:
		l.engines.send(e)
	case control.DutyCall:
		l.duties.call(e)
	case control.Members:
		l.group.Store(&group{members: e.Committed, leader: e.Leader, leads: e.IsLeader})
		l.net.setMembers(e.Membership)
		l.scope.Gauge("leads").Update(boolGauge(e.IsLeader))
	case control.Fatal:
		l.fail(e.Err)
	case control.Log:
		l.writeLog(e)
	}
}

func (l *loop) carryOutConsensus(eff consensus.Effect) {
	switch e := eff.(type) {
	case consensus.Send:
		l.net.send(e.Message)
	case consensus.Persist:
		l.disk.do(diskWork{persist: &e})
	case consensus.RestoreSnapshot:
		l.disk.do(diskWork{restore: &e})
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
	ch := l.calls[e.ID]
	delete(l.calls, e.ID)
	l.mu.Unlock()
	if ch != nil {
		ch <- e
	}
}

// call posts a request and waits for its answer.
func (l *loop) call(ctx context.Context, req proto.Message) (proto.Message, error) {
	return l.ask(ctx, func(id uint64) control.Event { return control.Call{ID: id, Request: req} })
}

func (l *loop) ask(ctx context.Context, event func(id uint64) control.Event) (proto.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id := l.nextCall.Add(1)
	ch := make(chan control.Reply, 1)
	l.mu.Lock()
	l.calls[id] = ch
	l.mu.Unlock()
	l.post(event(id))
	select {
	case e := <-ch:
		return e.Response, e.Err
	case <-ctx.Done():
	case <-l.stop:
	}
	l.mu.Lock()
	delete(l.calls, id)
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
