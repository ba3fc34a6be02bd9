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

// host runs one Node on a virtual clock of its own rate.
type host struct {
	id     uint64
	disk   *disk
	node   *Node
	rate   float64
	paused bool
	inbox  []packet
	// writes wait for the disk, in order.
	writes  []Effect
	applied uint64
	state   uint64
	// leaseUntil is the latest lease told, in global time.
	leaseUntil time.Duration
	removed    bool
	reads      map[uint64]uint64
	leads      map[uint64]string
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
	at time.Duration
	do func()
}

type position struct{ index, term uint64 }

// cluster is a group with its network, and what must hold of it.
type cluster struct {
	cfg     Config
	random  *rand.Rand
	now     time.Duration
	hosts   map[uint64]*host
	ids     []uint64
	packets []packet
	blocked map[link]bool
	loss    float64
	// chaos is how often, per simStep, a short fault begins by itself; slow is
	// how often a disk does not finish a write in a simStep.
	chaos  float64
	slow   float64
	timers []timer
	// states maps an applied index to the state after it, at whichever replica.
	states  map[uint64]uint64
	leaders map[uint64]uint64
	entries map[position]string
	applied uint64
	term    uint64
	// lost lists replicas whose disk is gone or old; the operator replaces them.
	lost map[uint64]bool
	// size is how many voters the operator aims at.
	size    int
	nextID  uint64
	reads   int
	refused int
	done    int
	faults  []string
}

// simStep is how far time goes at once.
const simStep = 2 * time.Millisecond

func newCluster(seed uint64, size int) *cluster {
	c := &cluster{
		cfg:     Config{SnapshotEntries: 12, TrailingEntries: 4, SnapshotChunkBytes: 7, MaxAppendBytes: 60, MaxInflight: 3, Seed: seed},
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Second,
		hosts:   map[uint64]*host{},
		blocked: map[link]bool{},
		states:  map[uint64]uint64{},
		leaders: map[uint64]uint64{},
		entries: map[position]string{},
		lost:    map[uint64]bool{},
		size:    size,
	}
	boot := &pb.Membership{}
	for id := uint64(1); id <= uint64(size); id++ {
		boot.Members = append(boot.Members, &pb.ReplicaMember{
			Identity: &pb.ReplicaIdentity{Id: id}, Role: pb.ReplicaRole_REPLICA_ROLE_VOTER, Address: fmt.Sprint(id),
		})
	}
	for id := uint64(1); id <= uint64(size); id++ {
		c.addHost(id, boot)
	}
	return c
}

func (c *cluster) addHost(id uint64, boot *pb.Membership) *host {
	h := &host{id: id, rate: 0.9 + 0.2*c.random.Float64()}
	c.hosts[id] = h
	if !slices.Contains(c.ids, id) {
		c.ids = append(c.ids, id)
	}
	c.wipe(h, boot)
	c.start(h)
	return h
}

func (c *cluster) wipe(h *host, boot *pb.Membership) {
	c.crash(h)
	h.disk = &disk{
		folder:    &pb.ReplicaIdentity{Id: h.id, Incarnation: fmt.Sprintf("%d-%x", h.id, c.random.Uint64())},
		bootstrap: boot, peers: map[uint64]*pb.ReplicaIdentity{},
	}
}

// lose empties a replica's disk for good; it comes back with its old settings.
func (c *cluster) lose(h *host) {
	c.lost[h.id] = true
	c.wipe(h, h.disk.bootstrap)
	c.start(h)
}

func (c *cluster) crash(h *host) {
	h.node, h.writes, h.inbox, h.paused, h.leaseUntil = nil, nil, nil, false, 0
}

func (c *cluster) start(h *host) {
	if h.node != nil || h.removed {
		return
	}
	d := h.disk
	AdvanceBoot(d.folder, c.random.Uint64())
	cfg := c.cfg
	cfg.ID = h.id
	cfg.Seed += d.folder.Boot
	h.applied, h.state, h.reads = 0, 0, map[uint64]uint64{}
	h.leads = map[uint64]string{}
	if d.meta != nil {
		h.applied, h.state = d.meta.Index, binary.BigEndian.Uint64(d.data)
	}
	h.node = NewNode(cfg, InitialState{
		Identity: proto.Clone(d.folder).(*pb.ReplicaIdentity), HardState: d.hard, Snapshot: d.meta,
		SnapshotData: d.data, Entries: slices.Clone(d.entries), Membership: d.bootstrap,
	})
	c.step(h, Tick{})
}

func (c *cluster) local(h *host) time.Duration { return time.Duration(float64(c.now) * h.rate) }

func (c *cluster) step(h *host, ev Event) {
	if h.node == nil {
		return
	}
	for _, e := range h.node.Step(c.local(h), ev) {
		c.carryOut(h, e)
		if h.node == nil {
			return
		}
	}
	c.check(h)
}

func (c *cluster) carryOut(h *host, e Effect) {
	switch e := e.(type) {
	case Send:
		c.transmit(h, e.Message)
	case Persist, RestoreSnapshot:
		h.writes = append(h.writes, e)
	case TakeSnapshot:
		data := make([]byte, 8, 40)
		binary.BigEndian.PutUint64(data, h.state)
		data = append(data, make([]byte, h.applied%32)...)
		SetSnapshotChecksum(e.Meta, data)
		if e.Meta.Index != h.applied {
			c.fault("replica %d: snapshot asked for %d at %d", h.id, e.Meta.Index, h.applied)
		}
		h.writes = append(h.writes, SnapshotTaken{Meta: e.Meta, Data: data}.asEffect())
	case Apply:
		c.apply(h, e.Entries)
	case ReadReady:
		c.done++
		if e.Index < h.reads[e.ID] {
			c.fault("replica %d: read at %d misses applied %d", h.id, e.Index, h.reads[e.ID])
		}
	case ReadRefused, ProposalRefused:
		c.refused++
	case Removed:
		h.removed = true
		c.crash(h)
	}
}

// takenEffect lets a finished snapshot wait for the disk like other writes.
type takenEffect struct{ SnapshotTaken }

func (takenEffect) isEffect() {}

func (s SnapshotTaken) asEffect() Effect { return takenEffect{s} }

func (c *cluster) apply(h *host, entries []*pb.LogEntry) {
	for _, e := range entries {
		if e.Index != h.applied+1 {
			c.fault("replica %d: applied %d after %d", h.id, e.Index, h.applied)
		}
		h.applied = e.Index
		d := xxhash.New()
		_, _ = fmt.Fprintf(d, "%d %d %d %x", h.state, e.Term, e.Kind, e.Data)
		h.state = d.Sum64()
		c.checkState(h)
	}
}

func (c *cluster) transmit(h *host, m *pb.Message) {
	copies := 1
	if c.random.Float64() < c.loss {
		copies = c.random.IntN(2) * 2
	}
	from := proto.Clone(h.disk.folder).(*pb.ReplicaIdentity)
	hello := m.Kind == pb.MessageKind_MESSAGE_KIND_HELLO || m.Kind == pb.MessageKind_MESSAGE_KIND_HELLO_RESPONSE
	if !hello {
		from.PastNonces = nil
	}
	to := TargetIdentity(m.To, h.leads[m.To], h.disk.peers[m.To], h.node.Status().Membership)
	for range copies {
		delay := time.Duration(c.random.IntN(int(8 * time.Millisecond)))
		if c.random.Float64() < c.loss {
			delay *= time.Duration(1 + c.random.IntN(100))
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
	if p.to.Incarnation != "" && p.to.Incarnation != h.disk.folder.Incarnation {
		return
	}
	if h.node.IsRemoved(p.from) {
		if s := c.hosts[p.from.Id]; s.node != nil && s.disk.folder.Incarnation == p.from.Incarnation && !c.blocked[link{p.m.To, p.m.From}] {
			c.step(s, RemovedByPeer{})
		}
		return
	}
	if AllLeaderMessages([]*pb.Message{p.m}) {
		h.leads[p.from.Id] = p.from.Incarnation
		c.step(h, Receive{Message: p.m, Incarnation: p.from.Incarnation})
		return
	}
	if CheckPeer(p.from, h.disk.peers[p.from.Id], h.node.CommittedMembership()) != nil {
		return
	}
	h.disk.peers[p.from.Id] = p.from
	c.step(h, Receive{Message: p.m, Incarnation: p.from.Incarnation})
}

// sync finishes the first write that waits for the disk.
func (c *cluster) sync(h *host) {
	w := h.writes[0]
	h.writes = h.writes[1:]
	switch e := w.(type) {
	case Persist:
		h.disk.save(e)
		c.step(h, Persisted{Sequence: e.Sequence})
	case takenEffect:
		if e.Meta.Index > h.disk.meta.GetIndex() {
			h.disk.meta, h.disk.data = e.Meta, e.Data
			AdvanceBoot(h.disk.folder, c.random.Uint64())
		}
		c.step(h, e.SnapshotTaken)
	case RestoreSnapshot:
		h.disk.meta, h.disk.data, h.disk.entries = e.Meta, e.Data, nil
		AdvanceBoot(h.disk.folder, c.random.Uint64())
		h.applied, h.state = e.Meta.Index, binary.BigEndian.Uint64(e.Data)
		c.checkState(h)
		c.step(h, SnapshotRestored{Index: e.Meta.Index})
	}
}

// run lets time pass: messages arrive, disks sync, replicas tick, faults come.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end && len(c.faults) == 0; {
		c.now += simStep
		c.expire()
		c.deliverDue()
		if c.random.IntN(50) == 0 {
			c.operate()
		}
		if c.random.Float64() < c.chaos {
			c.disturbAnyone()
		}
		c.work()
		for _, id := range c.ids {
			c.runHost(c.hosts[id])
		}
	}
}

func (c *cluster) runHost(h *host) {
	if h.node == nil || h.paused {
		return
	}
	if len(h.writes) > 0 && c.random.Float64() >= c.slow {
		c.sync(h)
	}
	if c.random.IntN(5) == 0 {
		c.step(h, Tick{})
	}
}

func (c *cluster) expire() {
	due := c.timers
	c.timers = nil
	for _, t := range due {
		if t.at > c.now {
			c.timers = append(c.timers, t)
			continue
		}
		t.do()
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

// resume lets a paused replica go on: what came meanwhile arrives now.
func (c *cluster) resume(h *host) {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, p := range inbox {
		c.deliver(p)
	}
}

// leader gives the ready leader of the highest term that runs, nil if none.
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
	c.step(h, Propose{ID: c.nextID, Data: binary.BigEndian.AppendUint64(nil, c.nextID)})
}

func (c *cluster) read(h *host) {
	c.nextID++
	c.reads++
	if h.node != nil {
		h.reads[c.nextID] = c.applied
	}
	c.step(h, ReadIndex{ID: c.nextID})
}
