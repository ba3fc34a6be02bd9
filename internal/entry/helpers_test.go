package entry

import (
	"flag"
	"fmt"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func init() {
	// The same schedules every time; a flag on the command line overrides.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
}

const testModel = "review"

// world steps a reducer and keeps what it did.
type world struct {
	t       fataler
	r       *Reducer
	now     time.Duration
	version uint64
	effects []Effect
}

func newWorld(t fataler) *world {
	id := &pb.EntryIdentity{Name: "entry-a1", Incarnation: "i1", DataCentre: "dc-a", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"}
	return &world{t: t, r: New(Config{Cluster: "test", Identity: id, MaxStreams: 50}), now: second}
}

func (w *world) step(ev Event) []Effect {
	w.effects = w.r.Step(w.now, ev)
	return w.effects
}

func (w *world) after(d time.Duration) { w.now += d }

func testServer(i int, state pb.ServerState) *pb.BackendServer {
	return &pb.BackendServer{
		Id: fmt.Sprintf("engine-%d", i), Incarnation: "life-1", Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
		DataCentre: "dc-a", Kind: pb.ServerKind_SERVER_KIND_MODEL, Model: testModel,
		Role: pb.EngineRole_ENGINE_ROLE_MIXED, State: state, Slots: 8,
	}
}

func serving(n int) []*pb.BackendServer {
	var list []*pb.BackendServer
	for i := range n {
		list = append(list, testServer(i, pb.ServerState_SERVER_STATE_SERVING))
	}
	return list
}

func testDeclaration(revision uint64) *declaration.Declaration {
	return &declaration.Declaration{
		Revision: revision,
		Limits:   declaration.Limits{QuarantineDeaths: 2},
		Profiles: []declaration.Profile{{
			Name: "counter", Class: declaration.ClassUrgent, FirstToken: 10 * second, Deadline: 60 * second, Share: 1,
		}},
	}
}

// view gives control's whole view with these servers, newer than the last one.
func (w *world) view(servers ...*pb.BackendServer) []Effect {
	w.version++
	return w.step(ViewReceived{SentAt: w.now, Response: &pb.WatchResponse{
		Version: w.version, Full: true, Revision: w.version, LeaseMs: 1500,
		Objects: testDeclaration(w.version).ToProto().Objects, Servers: servers,
	}})
}

// renew lets control confirm the view in force.
func (w *world) renew() []Effect {
	return w.step(ViewReceived{SentAt: w.now, Response: &pb.WatchResponse{
		Version: w.version, KnownVersion: w.version, Revision: w.version, LeaseMs: 1500,
	}})
}

func (w *world) arrival(id, member string) RequestArrived {
	return RequestArrived{
		Work: decision.Work{
			RequestID: id, Member: member, MemberWeight: 1, Service: "eligibility", Profile: "counter", ProfileShare: 1,
			Class: declaration.ClassUrgent, Kind: declaration.KindModel, Model: testModel,
			PromptTokens: 100, OutputTokens: 50,
			Arrived: w.now, FirstTokenBy: w.now + 10*second, FinishBy: w.now + 60*second,
		},
		Fingerprint: uint64(len(id)), RetryBudget: 0.2,
	}
}

func (w *world) arrive(id string) []Effect { return w.step(w.arrival(id, "hotels")) }

func (w *world) said(i int, state engineapi.State) []Effect {
	return w.step(ServerReported{Server: fmt.Sprintf("engine-%d", i), Incarnation: "life-1", State: state})
}

// pick gives the effects of one type.
func pick[T Effect](effects []Effect) []T {
	var list []T
	for _, e := range effects {
		if e, ok := e.(T); ok {
			list = append(list, e)
		}
	}
	return list
}

// dispatched gives the one dispatch of the last step.
func (w *world) dispatched() Dispatch {
	w.t.Helper()
	list := pick[Dispatch](w.effects)
	if len(list) != 1 {
		w.t.Fatalf("%d dispatches, want 1: %v", len(list), w.effects)
	}
	return list[0]
}

// refused gives the one refusal of the last step.
func (w *world) refused() *outcome.Refusal {
	w.t.Helper()
	list := pick[Refuse](w.effects)
	if len(list) != 1 {
		w.t.Fatalf("%d refusals, want 1: %v", len(list), w.effects)
	}
	return list[0].Refusal
}

func (w *world) ended(d Dispatch, change func(*AttemptEnded)) []Effect {
	ev := AttemptEnded{RequestID: d.RequestID, Attempt: d.Attempt, Outcome: outcome.Unknown}
	change(&ev)
	return w.step(ev)
}

// began lets the server show that it has begun the attempt.
func (w *world) began(d Dispatch) {
	w.step(AttemptProgress{RequestID: d.RequestID, Attempt: d.Attempt})
}

func died(ev *AttemptEnded) { ev.ServerDied = true }

// fataler is a test or a rapid check.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}
