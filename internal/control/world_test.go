package control

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func init() {
	// The same verdict every time; a flag on the command line still counts.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	cluster = "test"
	// startMS is the wall clock at the start of a test.
	startMS = int64(1_800_000_000_000)
)

// fakeNode is a group of one: what is proposed commits at once, unless the test
// takes its leadership or lease away.
type fakeNode struct {
	term, index uint64
	leads       bool
	leaseUntil  time.Duration
	// confirms is false when no quorum answers: reads stay open.
	confirms bool
	reads    []uint64
	// tells is given out with the next Tick.
	tells []consensus.Effect
	// replicas is what Status tells of the others.
	replicas []consensus.ReplicaStatus
	// changes are the changes of the member list that were proposed.
	changes []consensus.MembershipChange
	// stuck keeps what is proposed from committing.
	stuck bool
}

func (n *fakeNode) LeaseUntil() time.Duration { return n.leaseUntil }
func (n *fakeNode) Status() consensus.Status {
	return consensus.Status{Term: n.term, Replicas: n.replicas}
}
func (n *fakeNode) IsRemoved(id *pb.ReplicaIdentity) bool { return false }

func (n *fakeNode) Step(_ time.Duration, ev consensus.Event) []consensus.Effect {
	switch e := ev.(type) {
	case consensus.Propose:
		if !n.leads {
			return []consensus.Effect{consensus.ProposalRefused{ID: e.ID, Reason: consensus.NotLeader}}
		}
		n.index++
		if n.stuck {
			return []consensus.Effect{consensus.ProposalAppended{ID: e.ID, Index: n.index, Term: n.term}}
		}
		entry := &pb.LogEntry{Term: n.term, Index: n.index, Data: e.Data}
		return []consensus.Effect{
			consensus.ProposalAppended{ID: e.ID, Index: n.index, Term: n.term},
			consensus.Apply{Entries: []*pb.LogEntry{entry}},
		}
	case consensus.ProposeMembership:
		n.changes = append(n.changes, e.Change)
	case consensus.ReadIndex:
		if n.confirms {
			return []consensus.Effect{consensus.ReadReady{ID: e.ID, Index: n.index}}
		}
		n.reads = append(n.reads, e.ID)
	case consensus.Tick:
		list := n.tells
		n.tells = nil
		return list
	}
	return nil
}

// world is one replica under test with its own clock.
type world struct {
	*Reducer
	t       testing.TB
	node    *fakeNode
	clock   time.Duration
	nextID  uint64
	replies map[uint64]Reply
	// watched counts the answers to Watch.
	watched int
	orders  []SendOrder
	// announced are servers that go on announcing themselves each second.
	announced []*pb.Announcement
	lastTold  time.Duration
	// entries are entries that poll; silent ones do not.
	entries map[string]*fakeEntry
}

// fakeEntry polls Watch and takes over what it gets.
type fakeEntry struct {
	identity *pb.EntryIdentity
	known    uint64
	revision uint64
	call     uint64
	silent   bool
}

func newWorld(t testing.TB) *world {
	node := &fakeNode{confirms: true}
	w := &world{
		t: t, node: node, clock: time.Hour,
		replies: make(map[uint64]Reply), entries: make(map[string]*fakeEntry),
	}
	w.Reducer = NewReducer(Config{Cluster: cluster, ID: 1, Sender: "control-1", OrderPause: 10 * time.Second}, node, NewState())
	w.tick()
	w.lead(1)
	return w
}

// lead makes the replica the ready leader of a term.
func (w *world) lead(term uint64) {
	w.node.term, w.node.leads = term, true
	w.node.leaseUntil = w.clock + time.Hour
	w.tell(consensus.LeaderChanged{Term: term, Leader: 1, LeaderReady: true})
}

// follow takes leadership away.
func (w *world) follow(term uint64) {
	w.node.leads, w.node.leaseUntil = false, 0
	w.tell(consensus.LeaderChanged{Term: term, Leader: 2})
}

func (w *world) tell(list ...consensus.Effect) {
	w.node.tells = list
	w.tick()
}

func (w *world) step(ev Event) {
	for _, eff := range w.Step(w.clock, ev) {
		switch e := eff.(type) {
		case Reply:
			w.replies[e.ID] = e
			if _, ok := e.Response.(*pb.WatchResponse); ok {
				w.watched++
			}
		case SendOrder:
			w.orders = append(w.orders, e)
		}
	}
}

func (w *world) tick() {
	w.step(Tick{WallMS: startMS + w.clock.Milliseconds()})
}

// advance lets time pass, with entries that poll and servers that announce.
func (w *world) advance(d time.Duration) {
	for end := w.clock + d; w.clock < end; {
		w.clock += 50 * time.Millisecond
		w.tick()
		w.poll()
		if w.clock >= w.lastTold+time.Second {
			w.lastTold = w.clock
			w.report(w.announced...)
		}
	}
}

func (w *world) poll() {
	for _, e := range w.entries {
		w.pollOne(e)
	}
}

// pollOne lets an entry take the answer that it has and ask again.
func (w *world) pollOne(e *fakeEntry) {
	if r, ok := w.replies[e.call]; ok && e.call != 0 {
		delete(w.replies, e.call)
		e.call = 0
		if resp, is := r.Response.(*pb.WatchResponse); is && r.Err == nil {
			e.known, e.revision = resp.GetVersion(), resp.GetRevision()
		}
	}
	if e.call == 0 && !e.silent {
		e.call = w.send(&pb.WatchRequest{
			ClusterId: cluster, Entry: e.identity, KnownVersion: e.known, Revision: e.revision, HoldMs: 600,
		})
	}
}

func (w *world) addEntry(name string) *fakeEntry {
	e := &fakeEntry{identity: entryIdentity(name, "1")}
	w.entries[name] = e
	return e
}

func entryIdentity(name, incarnation string) *pb.EntryIdentity {
	return &pb.EntryIdentity{Name: name, Incarnation: incarnation, CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"}
}

func (w *world) send(req proto.Message) uint64 {
	w.nextID++
	w.step(Call{ID: w.nextID, Request: req})
	return w.nextID
}

// ask sends a call that must be answered in the same step.
func ask[T proto.Message](w *world, req proto.Message) T {
	w.t.Helper()
	id := w.send(req)
	r, ok := w.replies[id]
	if !ok || r.Err != nil {
		w.t.Fatalf("%T: answered %v, error %v", req, ok, r.Err)
	}
	return r.Response.(T)
}

func (w *world) report(list ...*pb.Announcement) {
	w.send(&pb.ReportRequest{ClusterId: cluster, Entry: entryIdentity("e1", "1"), Announcements: list})
}

// engine gives an announcement of an idle engine, which the world repeats.
func (w *world) engine(id string) *pb.Announcement {
	a := &pb.Announcement{
		Server: &pb.BackendServer{
			Id: id, Incarnation: "i1", Address: "127.0.0.1:9", Kind: pb.ServerKind_SERVER_KIND_MODEL,
			Model: "m", ModelVersion: "v1", Role: pb.EngineRole_ENGINE_ROLE_MIXED,
			State: pb.ServerState_SERVER_STATE_SERVING,
		},
		Load: &pb.Load{},
	}
	w.announced = append(w.announced, a)
	w.report(a)
	return a
}

func (w *world) server(id string) *pb.BackendServer {
	for _, b := range w.State().View(0).GetServers() {
		if b.GetId() == id {
			return b
		}
	}
	return nil
}

// declare gives a small declaration; mark makes its content differ.
func declare(revision, base uint64, author, mark string) *pb.Declaration {
	d := &declaration.Declaration{Revision: revision, Base: base, Author: author}
	d.Limits = declaration.Limits{
		OnceWindow: time.Hour, OnceAnswerBytes: 100, QuarantineTime: time.Hour, QuarantineDeaths: 2,
	}
	d.Models = []declaration.Model{{Name: "m", Version: "v1"}}
	d.Profiles = []declaration.Profile{{Name: "p" + mark, Deadline: time.Minute}}
	d.BackendServers = []declaration.BackendServerRule{{Prefix: "checks", Fencing: declaration.FencingChecked}}
	d.Roles = declaration.Roles{MaxAway: 1}
	return d.ToProto()
}

// with gives the declaration with the objects of a kind changed.
func with(d *pb.Declaration, kind, content string) *pb.Declaration {
	for _, o := range d.GetObjects() {
		if o.GetKind() == kind {
			o.Content = []byte(content)
		}
	}
	d.Digest = declaration.Digest(d.GetObjects())
	return d
}

func (w *world) apply(d *pb.Declaration) *pb.ApplyResponse {
	w.t.Helper()
	return ask[*pb.ApplyResponse](w, &pb.ApplyRequest{ClusterId: cluster, Declaration: proto.CloneOf(d)})
}

// keyAt gives a UUIDv7 of that time.
func keyAt(ms int64, n int) string {
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}
