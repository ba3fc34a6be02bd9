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
	// A fixed seed gives the same result every time; a flag on the command line overrides
	// it.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	cluster = "test"
	// startMS is the wall clock at the start of a test.
	startMS = int64(1_800_000_000_000)
)

// fakeNode is a group of one: proposals commit at once, unless the test takes its
// leadership or lease away or sets commitsBlocked.
type fakeNode struct {
	term, index uint64
	isLeader    bool
	leaseUntil  time.Duration
	// quorumAnswers is false when no quorum responds: reads stay pending.
	quorumAnswers bool
	reads         []uint64
	// nextEffects are returned by the next Tick.
	nextEffects []consensus.Effect
	// replicas is what Status returns about the group.
	replicas []consensus.ReplicaStatus
	// standing is what Status returns about the replica itself.
	standing consensus.Standing
	// removed are the ids of replicas that the group has removed.
	removed map[uint64]bool
	// changes are the proposed changes of the member list.
	changes []consensus.MembershipChange
	// commitsBlocked keeps proposals from committing; they wait in blocked.
	commitsBlocked bool
	blocked        []*pb.LogEntry
	// overloaded refuses proposals, as too much waits to be committed.
	overloaded bool
}

func (n *fakeNode) LeaseUntil() time.Duration { return n.leaseUntil }
func (n *fakeNode) Status() consensus.Status {
	return consensus.Status{Term: n.term, Replicas: n.replicas, Standing: n.standing}
}
func (n *fakeNode) IsRemoved(id *pb.ReplicaIdentity) bool { return n.removed[id.GetId()] }

func (n *fakeNode) Step(_ time.Duration, ev consensus.Event) []consensus.Effect {
	switch e := ev.(type) {
	case consensus.Propose:
		if !n.isLeader {
			return []consensus.Effect{consensus.ProposalRefused{ID: e.ID, Reason: consensus.NotLeader}}
		}
		if n.overloaded {
			return []consensus.Effect{consensus.ProposalRefused{ID: e.ID, Reason: consensus.Overloaded}}
		}
		n.index++
		entry := &pb.LogEntry{Term: n.term, Index: n.index, Data: e.Data}
		if n.commitsBlocked {
			n.blocked = append(n.blocked, entry)
			return []consensus.Effect{consensus.ProposalAppended{ID: e.ID, Index: n.index, Term: n.term}}
		}
		return []consensus.Effect{
			consensus.ProposalAppended{ID: e.ID, Index: n.index, Term: n.term},
			consensus.Apply{Entries: []*pb.LogEntry{entry}},
		}
	case consensus.ProposeMembership:
		n.changes = append(n.changes, e.Change)
	case consensus.ReadIndex:
		if n.quorumAnswers {
			return []consensus.Effect{consensus.ReadReady{ID: e.ID, Index: n.index}}
		}
		n.reads = append(n.reads, e.ID)
	case consensus.Tick:
		list := n.nextEffects
		n.nextEffects = nil
		return list
	}
	return nil
}

// harness is one replica under test with its own clock.
type harness struct {
	*Reducer
	t       testing.TB
	node    *fakeNode
	clock   time.Duration
	nextID  uint64
	replies map[uint64]Reply
	// watchAnswers counts the answers to Watch calls.
	watchAnswers int
	orders       []SendOrder
	// introductions are the addressees of introductions.
	introductions []string
	// repeatedAnnouncements are sent again each second.
	repeatedAnnouncements []*pb.Announcement
	lastReportAt          time.Duration
	// entries poll for the view; silent ones do not.
	entries map[string]*fakeEntry
	logs    []Log
	// runsAt is the incarnation that answers at a server's address; checks counts the questions.
	runsAt map[string]string
	checks int
}

// fakeEntry polls with Watch and applies the answers.
type fakeEntry struct {
	identity *pb.EntryIdentity
	known    uint64
	revision uint64
	call     uint64
	silent   bool
}

func newHarness(t testing.TB) *harness {
	node := &fakeNode{quorumAnswers: true}
	h := &harness{
		t: t, node: node, clock: time.Hour,
		replies: make(map[uint64]Reply), entries: make(map[string]*fakeEntry),
	}
	h.Reducer = NewReducer(Config{Cluster: cluster, ID: 1, Sender: "control-1", OrderPause: 10 * time.Second}, node, NewState())
	h.tick()
	h.becomeLeader(1)
	return h
}

// becomeLeader makes the replica the ready leader of a term.
func (h *harness) becomeLeader(term uint64) {
	h.node.term, h.node.isLeader = term, true
	h.node.leaseUntil = h.clock + time.Hour
	h.emitOnTick(consensus.LeaderChanged{Term: term, Leader: 1, LeaderReady: true})
}

// stepDown ends the replica's leadership.
func (h *harness) stepDown(term uint64) {
	h.node.isLeader, h.node.leaseUntil = false, 0
	h.emitOnTick(consensus.LeaderChanged{Term: term, Leader: 2})
}

// commitBlocked commits what waits, and everything from now on at once.
func (h *harness) commitBlocked() {
	list := h.node.blocked
	h.node.commitsBlocked, h.node.blocked = false, nil
	h.emitOnTick(consensus.Apply{Entries: list})
}

func (h *harness) emitOnTick(list ...consensus.Effect) {
	h.node.nextEffects = list
	h.tick()
}

func (h *harness) step(ev Event) {
	var answers []Event
	for _, eff := range h.Step(h.clock, ev) {
		switch e := eff.(type) {
		case Reply:
			h.replies[e.ID] = e
			if _, ok := e.Response.(*pb.WatchResponse); ok {
				h.watchAnswers++
			}
		case SendOrder:
			h.orders = append(h.orders, e)
		case Log:
			h.logs = append(h.logs, e)
		case Introduce:
			h.introductions = append(h.introductions, e.To...)
		case CheckAddress:
			h.checks++
			answers = append(answers, AddressChecked{Server: e.Server, Candidates: e.Candidates, Incarnation: h.runsAt[e.Server], Reason: "test"})
		}
	}
	for _, answer := range answers {
		h.step(answer)
	}
}

func (h *harness) tick() {
	h.step(Tick{WallMS: startMS + h.clock.Milliseconds()})
}

// advance advances the clock, with entries that poll and servers that announce.
func (h *harness) advance(d time.Duration) {
	for end := h.clock + d; h.clock < end; {
		h.clock += 50 * time.Millisecond
		h.tick()
		h.poll()
		if h.clock >= h.lastReportAt+time.Second {
			h.lastReportAt = h.clock
			h.report(h.repeatedAnnouncements...)
		}
	}
}

func (h *harness) poll() {
	for _, e := range h.entries {
		h.pollOne(e)
	}
}

// pollOne lets an entry apply the answer to its last Watch, if any, and send the next one.
func (h *harness) pollOne(e *fakeEntry) {
	if r, ok := h.replies[e.call]; ok && e.call != 0 {
		delete(h.replies, e.call)
		e.call = 0
		if resp, is := r.Response.(*pb.WatchResponse); is && r.Err == nil {
			e.known, e.revision = resp.GetVersion(), resp.GetRevision()
		}
	}
	if e.call == 0 && !e.silent {
		e.call = h.send(&pb.WatchRequest{
			ClusterId: cluster, Entry: e.identity, KnownVersion: e.known, Revision: e.revision, HoldMs: 600,
		})
	}
}

func (h *harness) addEntry(name string) *fakeEntry {
	e := &fakeEntry{identity: entryIdentity(name, "1")}
	h.entries[name] = e
	return e
}

func entryIdentity(name, incarnation string) *pb.EntryIdentity {
	return &pb.EntryIdentity{Name: name, Incarnation: incarnation, CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"}
}

func (h *harness) send(req proto.Message) uint64 {
	h.nextID++
	h.step(Call{ID: h.nextID, Request: req})
	return h.nextID
}

// call sends a request that must be answered in the same step.
func call[T proto.Message](h *harness, req proto.Message) T {
	h.t.Helper()
	id := h.send(req)
	r, ok := h.replies[id]
	if !ok || r.Err != nil {
		h.t.Fatalf("%T: answered %v, error %v", req, ok, r.Err)
	}
	return r.Response.(T)
}

func (h *harness) report(list ...*pb.Announcement) {
	h.send(&pb.ReportRequest{ClusterId: cluster, Entry: entryIdentity("e1", "1"), Announcements: list})
}

// engine reports an idle engine and returns its announcement, which the harness repeats.
func (h *harness) engine(id string) *pb.Announcement {
	a := &pb.Announcement{
		Server: &pb.BackendServer{
			Id: id, Incarnation: "i1", Address: "127.0.0.1:9", Kind: pb.ServerKind_SERVER_KIND_MODEL,
			Model: "m", ModelVersion: "v1", Role: pb.EngineRole_ENGINE_ROLE_MIXED,
			State: pb.ServerState_SERVER_STATE_SERVING,
		},
		Load: &pb.Load{},
	}
	h.repeatedAnnouncements = append(h.repeatedAnnouncements, a)
	h.report(a)
	return a
}

func (h *harness) server(id string) *pb.BackendServer {
	for _, b := range h.State().View(0).GetServers() {
		if b.GetId() == id {
			return b
		}
	}
	return nil
}

// testDeclaration returns a small declaration; mark makes its content differ.
func testDeclaration(revision, base uint64, author, mark string) *pb.Declaration {
	d := &declaration.Declaration{Revision: revision, Base: base, Author: author}
	d.Limits = declaration.Limits{
		IdempotencyWindow: time.Hour, MaxIdempotentAnswerBytes: 100, QuarantineTime: time.Hour, QuarantineCrashes: 2,
	}
	d.Models = []declaration.Model{{Name: "m", Version: "v1"}}
	d.Profiles = []declaration.Profile{{Name: "p" + mark, Deadline: time.Minute}}
	d.BackendServers = []declaration.BackendServerRule{{Prefix: "checks", Fencing: declaration.FencingChecked}}
	d.Roles = declaration.Roles{MaxUnavailable: 1}
	return d.ToProto()
}

// withObjects replaces the content of the declaration's objects of that kind.
func withObjects(d *pb.Declaration, kind, content string) *pb.Declaration {
	for _, o := range d.GetObjects() {
		if o.GetKind() == kind {
			o.Content = []byte(content)
		}
	}
	d.Digest = declaration.Digest(d.GetObjects())
	return d
}

func (h *harness) apply(d *pb.Declaration) *pb.ApplyResponse {
	h.t.Helper()
	return call[*pb.ApplyResponse](h, &pb.ApplyRequest{ClusterId: cluster, Declaration: proto.CloneOf(d)})
}

// keyAt returns a UUIDv7 with that time.
func keyAt(ms int64, n int) string {
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, n)
}
