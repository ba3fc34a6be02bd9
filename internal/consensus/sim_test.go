package consensus

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// host runs one Node on a virtual clock with its own rate.
type host struct {
	id        uint64
	disk      *disk
	node      *Node
	clockRate float64
	paused    bool
	inbox     []packet
	// pendingWrites wait for the disk, in order.
	pendingWrites []Effect
	applied       uint64
	stateHash     uint64
	// leaseUntil is the latest end of a lease that the node returned, in global
	// time.
	leaseUntil time.Duration
	removed    bool
	// gone: its disk is lost, and what runs in its place has a new id.
	gone               bool
	readFloors         map[uint64]uint64
	leaderIncarnations map[uint64]string
}

type packet struct {
	at   time.Duration
	from *pb.ReplicaIdentity
	to   *pb.ReplicaIdentity
	m    *pb.Message
}

type link struct{ from, to uint64 }

// timer ends a short fault.
type timer struct {
	at  time.Duration
	end func()
}

// voteOf is the one vote that a replica id has in a term.
type voteOf struct{ voter, term uint64 }

type entryPosition struct{ index, term uint64 }

// cluster simulates a group and its network, and checks invariants.
type cluster struct {
	cfg      Config
	random   *rand.Rand
	now      time.Duration
	hosts    map[uint64]*host
	ids      []uint64
	packets  []packet
	blocked  map[link]bool
	lossRate float64
	// faultRate is the probability, per simStep, that a random short fault
	// starts; writeDelayRate is the probability that a disk does not finish a
	// write in a simStep.
	faultRate      float64
	writeDelayRate float64
	// maxDelay is the longest additional delay of a message; without one, none is drawn.
	maxDelay time.Duration
	timers   []timer
	// stateHashAt maps an applied index to the hash of the state after it on
	// any replica.
	stateHashAt   map[uint64]uint64
	leaderOfTerm  map[uint64]uint64
	seenEntries   map[entryPosition]string
	maxApplied    uint64
	maxLeaderTerm uint64
	// lostDisks lists replicas whose disk was emptied or restored from an old
	// copy; the simulated operator replaces them.
	lostDisks map[uint64]bool
	// votesCast holds whom a replica id has voted for in a term, under any incarnation.
	votesCast map[voteOf]uint64
	// beforeStep is called before each step of a replica, operator in place of runOperator; nil for
	// none.
	beforeStep func()
	operator   func()
	// targetVoters is the number of voters that the simulated operator
	// maintains.
	targetVoters int
	nextID       uint64
	// proposalSizes are the sizes of proposals in bytes, in turn; nil: 8 bytes each.
	proposalSizes []int
	// stateBytes is the size of each snapshot beyond its first bytes; 0: by the applied index, up to 31.
	stateBytes int
	reads      int
	refusals   int
	readsDone  int
	violations []string
}

// simStep is the step of the simulated time.
const simStep = 2 * time.Millisecond

func newCluster(seed uint64, size int) *cluster {
	return newClusterWith(Config{SnapshotEntries: 12, TrailingEntries: 4, SnapshotChunkBytes: 7, MaxAppendBytes: 60, MaxInflight: 3, Seed: seed}, size)
}

// newClusterBootstrappedOnce returns a cluster of replicas with Config.BootstrapOnce.
func newClusterBootstrappedOnce(seed uint64, size int) *cluster {
	return newClusterWith(Config{
		SnapshotEntries: 12, TrailingEntries: 4, SnapshotChunkBytes: 7, MaxAppendBytes: 60, MaxInflight: 3, Seed: seed, BootstrapOnce: true,
	}, size)
}

// newClusterWith returns a cluster whose nodes have that configuration, but for their ids.
func newClusterWith(cfg Config, size int) *cluster {
	seed := cfg.Seed
	c := &cluster{
		cfg:          cfg,
		random:       rand.New(rand.NewPCG(seed, 1)),
		now:          time.Second,
		hosts:        map[uint64]*host{},
		blocked:      map[link]bool{},
		stateHashAt:  map[uint64]uint64{},
		leaderOfTerm: map[uint64]uint64{},
		seenEntries:  map[entryPosition]string{},
		lostDisks:    map[uint64]bool{},
		votesCast:    map[voteOf]uint64{},
		targetVoters: size,
	}
	bootstrap := &pb.Membership{}
	for id := uint64(1); id <= uint64(size); id++ {
		bootstrap.Members = append(bootstrap.Members, &pb.ReplicaMember{
			Identity: &pb.ReplicaIdentity{Id: id}, Role: pb.ReplicaRole_REPLICA_ROLE_VOTER, Address: fmt.Sprint(id),
		})
	}
	for id := uint64(1); id <= uint64(size); id++ {
		c.addHost(id, bootstrap)
	}
	return c
}

func (c *cluster) addHost(id uint64, bootstrap *pb.Membership) *host {
	h := &host{id: id, clockRate: 0.9 + 0.2*c.random.Float64()}
	c.hosts[id] = h
	if !slices.Contains(c.ids, id) {
		c.ids = append(c.ids, id)
	}
	c.wipe(h, bootstrap)
	c.start(h)
	return h
}

func (c *cluster) wipe(h *host, bootstrap *pb.Membership) {
	c.crash(h)
	h.disk = &disk{
		identity:  &pb.ReplicaIdentity{Id: h.id, Incarnation: fmt.Sprintf("%d-%x", h.id, c.random.Uint64())},
		bootstrap: bootstrap, peers: map[uint64]*pb.ReplicaIdentity{},
	}
}

// loseDisk empties a replica's disk; the replica restarts with its settings, or waits to be added under
// a new id.
func (c *cluster) loseDisk(h *host) {
	c.lostDisks[h.id] = true
	if c.cfg.BootstrapOnce {
		c.crash(h)
		h.gone = true
		c.addHost(uint64(len(c.ids)+1), nil)
		return
	}
	c.wipe(h, h.disk.bootstrap)
	c.start(h)
}

func (c *cluster) crash(h *host) {
	h.node, h.pendingWrites, h.inbox, h.paused, h.leaseUntil = nil, nil, nil, false, 0
}

func (c *cluster) start(h *host) {
	if h.node != nil || h.removed || h.gone {
		return
	}
	d := h.disk
	AdvanceBoot(d.identity, c.random.Uint64())
	cfg := c.cfg
	cfg.ID = h.id
	cfg.Seed += d.identity.Boot
	h.applied, h.stateHash, h.readFloors = 0, 0, map[uint64]uint64{}
	h.leaderIncarnations = map[uint64]string{}
	if d.meta != nil {
		h.applied, h.stateHash = d.meta.Index, binary.BigEndian.Uint64(d.data)
	}
	h.node = NewNode(cfg, InitialState{
		Identity: proto.Clone(d.identity).(*pb.ReplicaIdentity), HardState: d.hardState, Snapshot: d.meta,
		SnapshotData: d.data, Entries: slices.Clone(d.entries), Membership: d.bootstrap,
	})
	c.step(h, Tick{})
}

func (c *cluster) localTime(h *host) time.Duration {
	return time.Duration(float64(c.now) * h.clockRate)
}

func (c *cluster) step(h *host, ev Event) {
	if c.beforeStep != nil {
		c.beforeStep()
	}
	if h.node == nil {
		return
	}
	for _, e := range h.node.Step(c.localTime(h), ev) {
		c.perform(h, e)
		if h.node == nil {
			return
		}
	}
	c.checkInvariants(h)
}

func (c *cluster) perform(h *host, e Effect) {
	switch e := e.(type) {
	case Send:
		c.transmit(h, e.Message)
	case Persist, RestoreSnapshot:
		h.pendingWrites = append(h.pendingWrites, e)
	case TakeSnapshot:
		data := make([]byte, 8, 40+c.stateBytes)
		binary.BigEndian.PutUint64(data, h.stateHash)
		padding := int(h.applied % 32)
		if c.stateBytes > 0 {
			padding = c.stateBytes
		}
		data = append(data, make([]byte, padding)...)
		SetSnapshotChecksum(e.Meta, data)
		if e.Meta.Index != h.applied {
			c.violation("replica %d: snapshot requested for index %d at applied index %d", h.id, e.Meta.Index, h.applied)
		}
		h.pendingWrites = append(h.pendingWrites, SnapshotTaken{Meta: e.Meta, Data: data}.asWrite())
	case Apply:
		c.apply(h, e.Entries)
	case ReadReady:
		c.readsDone++
		if e.Index < h.readFloors[e.ID] {
			c.violation("replica %d: read at index %d misses applied index %d", h.id, e.Index, h.readFloors[e.ID])
		}
	case ReadRefused, ProposalRefused:
		c.refusals++
	case Removed:
		h.removed = true
		c.crash(h)
	}
}

// snapshotWrite queues a completed snapshot for the disk like other writes.
type snapshotWrite struct{ SnapshotTaken }

func (snapshotWrite) isEffect() {}

func (s SnapshotTaken) asWrite() Effect { return snapshotWrite{s} }

func (c *cluster) apply(h *host, entries []*pb.LogEntry) {
	for _, e := range entries {
		if e.Index != h.applied+1 {
			c.violation("replica %d: applied %d after %d", h.id, e.Index, h.applied)
		}
		h.applied = e.Index
		d := xxhash.New()
		_, _ = fmt.Fprintf(d, "%d %d %d %x", h.stateHash, e.Term, e.Kind, e.Data)
		h.stateHash = d.Sum64()
		c.checkState(h)
	}
}

func (c *cluster) transmit(h *host, m *pb.Message) {
	c.checkVote(m)
	copies := 1
	if c.random.Float64() < c.lossRate {
		copies = c.random.IntN(2) * 2
	}
	from := proto.Clone(h.disk.identity).(*pb.ReplicaIdentity)
	hello := m.Kind == pb.MessageKind_MESSAGE_KIND_HELLO || m.Kind == pb.MessageKind_MESSAGE_KIND_HELLO_RESPONSE
	if !hello {
		from.PastNonces = nil
	}
	to := TargetIdentity(m.To, h.leaderIncarnations[m.To], h.disk.peers[m.To], h.node.Status().Membership)
	for range copies {
		delay := time.Duration(c.random.IntN(int(8 * time.Millisecond)))
		if c.random.Float64() < c.lossRate {
			delay *= time.Duration(1 + c.random.IntN(100))
		}
		if c.maxDelay > 0 {
			delay += time.Duration(c.random.Int64N(int64(c.maxDelay)))
		}
		c.packets = append(c.packets, packet{
			at: c.now + delay, from: from, to: to, m: proto.Clone(m).(*pb.Message),
		})
	}
}

func (c *cluster) deliver(p packet) {
	h := c.hosts[p.m.To]
	if h == nil || h.node == nil || c.blocked[link{p.m.From, p.m.To}] {
		return
	}
	if h.paused {
		h.inbox = append(h.inbox, p)
		return
	}
	if p.to.Incarnation != "" && p.to.Incarnation != h.disk.identity.Incarnation {
		return
	}
	if h.node.IsRemoved(p.from) {
		if s := c.hosts[p.from.Id]; s.node != nil && s.disk.identity.Incarnation == p.from.Incarnation && !c.blocked[link{p.m.To, p.m.From}] {
			c.step(s, RemovedByPeer{})
		}
		return
	}
	if AllLeaderMessages([]*pb.Message{p.m}) {
		h.leaderIncarnations[p.from.Id] = p.from.Incarnation
		c.step(h, Receive{Message: p.m, Incarnation: p.from.Incarnation})
		return
	}
	if CheckPeer(p.from, h.disk.peers[p.from.Id], h.node.CommittedMembership()) != nil {
		return
	}
	h.disk.peers[p.from.Id] = p.from
	c.step(h, Receive{Message: p.m, Incarnation: p.from.Incarnation})
}

// finishWrite completes the first pending write.
func (c *cluster) finishWrite(h *host) {
	w := h.pendingWrites[0]
	h.pendingWrites = h.pendingWrites[1:]
	switch e := w.(type) {
	case Persist:
		h.disk.save(e)
		c.step(h, Persisted{Sequence: e.Sequence})
	case snapshotWrite:
		if e.Meta.Index > h.disk.meta.GetIndex() {
			h.disk.meta, h.disk.data = e.Meta, e.Data
			AdvanceBoot(h.disk.identity, c.random.Uint64())
		}
		c.step(h, e.SnapshotTaken)
	case RestoreSnapshot:
		h.disk.meta, h.disk.data, h.disk.entries = e.Meta, e.Data, nil
		AdvanceBoot(h.disk.identity, c.random.Uint64())
		h.applied, h.stateHash = e.Meta.Index, binary.BigEndian.Uint64(e.Data)
		c.checkState(h)
		c.step(h, SnapshotRestored{Index: e.Meta.Index})
	}
}

// run advances time: messages arrive, disks sync, replicas tick, faults start and
// end.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end && len(c.violations) == 0; {
		c.now += simStep
		c.runTimers()
		c.deliverDue()
		if c.random.IntN(50) == 0 {
			c.actAsOperator()
		}
		if c.random.Float64() < c.faultRate {
			c.injectRandomFault()
		}
		c.generateLoad()
		for _, id := range c.ids {
			c.runHost(c.hosts[id])
		}
	}
}

func (c *cluster) actAsOperator() {
	if c.operator != nil {
		c.operator()
		return
	}
	c.runOperator()
}

func (c *cluster) runHost(h *host) {
	if h.node == nil || h.paused {
		return
	}
	if len(h.pendingWrites) > 0 && c.random.Float64() >= c.writeDelayRate {
		c.finishWrite(h)
	}
	if c.random.IntN(5) == 0 {
		c.step(h, Tick{})
	}
}

func (c *cluster) runTimers() {
	due := c.timers
	c.timers = nil
	for _, t := range due {
		if t.at > c.now {
			c.timers = append(c.timers, t)
			continue
		}
		t.end()
	}
}

func (c *cluster) deliverDue() {
	due := c.packets[:0:0]
	kept := c.packets[:0]
	for _, p := range c.packets {
		if p.at <= c.now {
			due = append(due, p)
		} else {
			kept = append(kept, p)
		}
	}
	c.packets = kept
	slices.SortStableFunc(due, func(a, b packet) int { return int(a.at - b.at) })
	for _, p := range due {
		c.deliver(p)
	}
}

// resume continues a paused replica: messages that arrived meanwhile are delivered.
func (c *cluster) resume(h *host) {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, p := range inbox {
		c.deliver(p)
	}
}

// leader returns the running ready leader of the highest term, nil if there is
// none.
func (c *cluster) leader() *host {
	var found *host
	for _, id := range c.ids {
		h := c.hosts[id]
		if h.node == nil || h.paused || !h.node.ready() {
			continue
		}
		if found == nil || h.node.term > found.node.term {
			found = h
		}
	}
	return found
}

func (c *cluster) propose(h *host) {
	c.nextID++
	data := binary.BigEndian.AppendUint64(nil, c.nextID)
	if n := uint64(len(c.proposalSizes)); n > 0 {
		data = append(data, make([]byte, c.proposalSizes[c.nextID%n])...)
	}
	c.step(h, Propose{ID: c.nextID, Data: data})
}

func (c *cluster) read(h *host) {
	c.nextID++
	c.reads++
	if h.node != nil {
		h.readFloors[c.nextID] = c.maxApplied
	}
	c.step(h, ReadIndex{ID: c.nextID})
}
