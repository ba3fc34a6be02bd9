package consensus

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// disk is what a replica has synced.
type disk struct {
	folder    *pb.ReplicaIdentity
	bootstrap *pb.Membership
	hard      *pb.HardState
	entries   []*pb.LogEntry
	meta      *pb.SnapshotMeta
	data      []byte
	peers     map[uint64]*pb.ReplicaIdentity
}

func (d *disk) clone() *disk {
	c := *d
	c.folder = proto.Clone(d.folder).(*pb.ReplicaIdentity)
	c.peers = maps.Clone(d.peers)
	return &c
}

// lastList gives the latest member list that is synced.
func (d *disk) lastList() *pb.Membership {
	h := newMemberHistory(Initial{Snapshot: d.meta, Entries: d.entries, Membership: d.bootstrap})
	return h.current()
}

func (d *disk) save(p Persist) {
	if p.TruncateFrom != 0 {
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e *pb.LogEntry) bool { return e.Index >= p.TruncateFrom })
	}
	d.entries = append(slices.Clip(d.entries), p.Entries...)
	if p.CompactTo != 0 {
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e *pb.LogEntry) bool { return e.Index < p.CompactTo })
	}
	if p.HardState != nil {
		d.hard = p.HardState
	}
}

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
		cfg:     Config{SnapshotEntries: 12, TailEntries: 4, SnapshotChunkBytes: 7, MaxAppendBytes: 60, MaxInflight: 3, Seed: seed},
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
	NextBoot(d.folder, c.random.Uint64())
	cfg := c.cfg
	cfg.ID = h.id
	cfg.Seed += d.folder.Boot
	h.applied, h.state, h.reads = 0, 0, map[uint64]uint64{}
	h.leads = map[uint64]string{}
	if d.meta != nil {
		h.applied, h.state = d.meta.Index, binary.BigEndian.Uint64(d.data)
	}
	h.node = NewNode(cfg, Initial{
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
		SealSnapshot(e.Meta, data)
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

func (c *cluster) checkState(h *host) {
	known, ok := c.states[h.applied]
	if ok && known != h.state {
		c.fault("replica %d: another state at %d", h.id, h.applied)
	}
	c.states[h.applied] = h.state
	c.applied = max(c.applied, h.applied)
}

// check tests what must hold after each step of a replica.
func (c *cluster) check(h *host) {
	n := h.node
	if n.role == leader {
		c.checkLeader(h)
	}
	if lease := n.LeaseUntil(); lease > 0 {
		h.leaseUntil = max(h.leaseUntil, time.Duration(float64(lease)/h.rate))
	}
	for _, id := range c.ids {
		if o := c.hosts[id]; o != h && min(o.leaseUntil, h.leaseUntil) > c.now {
			c.fault("replicas %d and %d both hold a lease", h.id, o.id)
		}
	}
}

// checkLeader tests election safety and, when a term later than any before has
// its leader, that the leader's log holds whatever was applied anywhere.
func (c *cluster) checkLeader(h *host) {
	n := h.node
	other, ok := c.leaders[n.term]
	if ok && other != h.id {
		c.fault("term %d has leaders %d and %d", n.term, other, h.id)
	}
	c.leaders[n.term] = h.id
	if n.term <= c.term {
		return
	}
	c.term = n.term
	if n.log.lastIndex() < c.applied {
		c.fault("leader %d of term %d ends at %d, applied is %d", h.id, n.term, n.log.lastIndex(), c.applied)
	}
}

// checkLogs tests log matching: an entry of one index and term is the same
// everywhere, and so is the one before it.
func (c *cluster) checkLogs() {
	for _, id := range c.ids {
		n := c.hosts[id].node
		if n == nil {
			continue
		}
		prev := n.log.baseTerm
		for _, e := range n.log.entries {
			at := position{e.Index, e.Term}
			content := fmt.Sprintf("%d %d %x", prev, e.Kind, e.Data)
			if known, ok := c.entries[at]; ok && known != content {
				c.fault("replica %d: entry %v is %q, elsewhere %q", id, at, content, known)
			}
			c.entries[at] = content
			prev = e.Term
		}
	}
}

func (c *cluster) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
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
	if FromLeader([]*pb.Message{p.m}) {
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
			NextBoot(h.disk.folder, c.random.Uint64())
		}
		c.step(h, e.SnapshotTaken)
	case RestoreSnapshot:
		h.disk.meta, h.disk.data, h.disk.entries = e.Meta, e.Data, nil
		NextBoot(h.disk.folder, c.random.Uint64())
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

type faultKind int

const (
	crashed faultKind = iota
	frozen
	cutOff
	cutOneWay
	transferred
	faultKinds
)

// disturbAnyone begins a short fault, most often at the leader, where it does harm.
func (c *cluster) disturbAnyone() {
	h := c.hosts[c.ids[c.random.IntN(len(c.ids))]]
	if l := c.leader(); l != nil && c.random.IntN(2) == 0 {
		h = l
	}
	c.disturb(faultKind(c.random.IntN(int(faultKinds))), h)
}

// disturb begins a fault that ends after a while.
func (c *cluster) disturb(kind faultKind, h *host) {
	var end func()
	switch kind {
	case crashed:
		c.crash(h)
		end = func() { c.start(h) }
	case frozen:
		h.paused = h.node != nil
		end = func() { c.resume(h) }
	case cutOff:
		c.cut(h.id, true)
		end = func() { c.cut(h.id, false) }
	case cutOneWay:
		one := link{h.id, c.ids[c.random.IntN(len(c.ids))]}
		c.blocked[one] = true
		end = func() { delete(c.blocked, one) }
	case transferred:
		c.step(h, TransferLeadership{})
		return
	}
	c.endLater(end)
}

// endLater ends a fault, mostly within some heartbeats, at most after a second.
func (c *cluster) endLater(end func()) {
	longest := 1 + c.random.IntN(int(time.Second))
	c.timers = append(c.timers, timer{c.now + time.Duration(c.random.IntN(longest)), end})
}

// work is what callers do all the time.
func (c *cluster) work() {
	l := c.leader()
	if l == nil {
		return
	}
	if c.random.IntN(20) == 0 {
		c.propose(l)
	}
	if c.random.IntN(40) == 0 {
		c.read(c.hosts[c.ids[c.random.IntN(len(c.ids))]])
	}
}

// cut cuts a replica off from all others, both ways, or ends that.
func (c *cluster) cut(id uint64, on bool) {
	for _, other := range c.ids {
		for _, l := range []link{{id, other}, {other, id}} {
			if on {
				c.blocked[l] = true
			} else {
				delete(c.blocked, l)
			}
		}
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

// operate is an operator who removes lost replicas and adds new ones.
func (c *cluster) operate() {
	l := c.leader()
	if l == nil {
		return
	}
	members := l.node.Status().Membership
	for _, m := range members.Members {
		if c.lost[m.Identity.Id] {
			c.step(l, ProposeMembership{Change: MembershipChange{RemoveID: m.Identity.Id}})
			return
		}
	}
	if len(members.Members) >= c.size {
		return
	}
	c.emptyRemoved(l)
	id := c.joiner(members)
	c.step(l, ProposeMembership{Change: MembershipChange{Add: &pb.ReplicaMember{
		Identity: &pb.ReplicaIdentity{Id: id}, Address: fmt.Sprint(id),
	}}})
}

// emptyRemoved empties the disk of a removed replica now and then, so that it may
// join again under its old id. One whose incarnation was not known when it was
// removed can't.
func (c *cluster) emptyRemoved(l *host) {
	for _, gone := range l.node.CommittedMembership().Removed {
		h := c.hosts[gone.Id]
		left := findMember(l.node.members.current(), gone.Id) == nil && gone.Incarnation != ""
		if left && (h.removed || c.lost[h.id]) && c.random.IntN(2) == 0 {
			h.removed = false
			delete(c.lost, h.id)
			c.wipe(h, nil)
			c.start(h)
			return
		}
	}
}

// joiner gives a replica that waits to be added, a new one if need be.
func (c *cluster) joiner(members *pb.Membership) uint64 {
	for _, id := range c.ids {
		h := c.hosts[id]
		gone := h.removed || wasRemoved(members, h.disk.folder)
		if findMember(members, id) == nil && !c.lost[id] && !gone && h.disk.bootstrap == nil {
			return id
		}
	}
	id := uint64(len(c.ids) + 1)
	c.addHost(id, nil)
	return id
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
