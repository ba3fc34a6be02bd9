package runner

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
	"goldcrestseam.dev/goldcrestseam/internal/store"
)

const (
	// sendQueueLength is how many messages may wait for one peer. Further messages are
	// dropped, as a network may do; consensus sends them again.
	sendQueueLength = 256
	// maxQueuedBytes bounds the size of these messages, but for one.
	maxQueuedBytes = 8 << 20
	// maxBatchMessages and maxBatchBytes bound the messages of one Step call: no message is added once
	// they have that size together.
	maxBatchMessages = 64
	maxBatchBytes    = 4 << 20
	// bulkTimeout bounds a call that carries log entries or snapshot chunks.
	bulkTimeout = time.Second
)

// transport sends consensus messages to the other replicas.
type transport struct {
	cfg   *settings.Control
	auth  *rpc.Auth
	store *store.Store
	loop  *loop

	mu      sync.Mutex
	members *pb.Membership
	// learnedAddresses holds the addresses that senders reported, for a replica that joins
	// and has no member list yet.
	learnedAddresses map[uint64]string
	queues           map[queueKey]*sendQueue
	// failureLog limits the lines about calls that failed: a replica that is down fails many a second.
	failureLog rate.Sometimes
	closed     bool
	wg         conc.WaitGroup
}

// queueKey identifies a send queue. Heartbeats and votes have their own queue, so that a
// snapshot transfer does not cost the leader its lease.
type queueKey struct {
	peer uint64
	bulk bool
}

type sendQueue struct {
	key      queueKey
	messages chan *pb.Message
	// bytes is the size of the messages that wait.
	bytes atomic.Int64
	// introducedBoot is the boot of this replica that the peer has accepted with its history. Only
	// the queue's goroutine uses it.
	introducedBoot uint64
}

// put adds a message unless the queue is full.
func (q *sendQueue) put(m *pb.Message) {
	size := int64(proto.Size(m))
	if waiting := q.bytes.Load(); waiting > 0 && waiting+size > maxQueuedBytes {
		return
	}
	q.bytes.Add(size)
	select {
	case q.messages <- m:
	default:
		q.bytes.Add(-size)
	}
}

func newTransport(cfg *settings.Control, auth *rpc.Auth, st *store.Store, l *loop) *transport {
	return &transport{
		cfg: cfg, auth: auth, store: st, loop: l,
		members: &pb.Membership{}, learnedAddresses: make(map[uint64]string), queues: make(map[queueKey]*sendQueue),
		failureLog: rate.Sometimes{First: refusalLogBurst, Interval: refusalLogInterval},
	}
}

func (t *transport) setMembers(m *pb.Membership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = m
}

// send queues a message, or drops it if the queue is full.
func (t *transport) send(m *pb.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	key := queueKey{peer: m.GetTo(), bulk: isBulk(m.GetKind())}
	q := t.queues[key]
	if q == nil {
		q = &sendQueue{key: key, messages: make(chan *pb.Message, sendQueueLength)}
		t.queues[key] = q
		t.wg.Go(func() { t.sendLoop(q) })
	}
	q.put(m)
}

func isBulk(kind pb.MessageKind) bool {
	return kind == pb.MessageKind_MESSAGE_KIND_APPEND || kind == pb.MessageKind_MESSAGE_KIND_SNAPSHOT
}

func (t *transport) close() {
	t.mu.Lock()
	t.closed = true
	for _, q := range t.queues {
		close(q.messages)
	}
	t.mu.Unlock()
	t.wg.Wait()
}

// sendLoop sends batches one after the other.
//
// Failure: an existing connection is permanently broken without an error while new ones
// work. Each call has a deadline shorter than an election timeout, and after a failed call
// the loop continues with a new client, which has no old connections.
func (t *transport) sendLoop(q *sendQueue) {
	client := t.auth.Client()
	for first := range q.messages {
		batch := q.takeBatch(first)
		if err := t.step(client, q, batch); err != nil {
			t.loop.scope.Counter("replica_send_failed").Inc(1)
			t.failureLog.Do(func() { t.logFailure(q.key.peer, err) })
			client = t.auth.Client()
		}
	}
}

// logFailure tells a peer that is down from one that refuses this replica.
func (t *transport) logFailure(peer uint64, err error) {
	_, address := t.target(peer)
	t.loop.log.Info("messages to a replica failed", "replica", peer, "address", address, "error", err.Error())
}

// takeBatch takes the waiting messages along with the first one.
func (q *sendQueue) takeBatch(first *pb.Message) []*pb.Message {
	batch, size := []*pb.Message{first}, proto.Size(first)
	defer func() { q.bytes.Add(int64(-size)) }()
	for len(batch) < maxBatchMessages && size < maxBatchBytes {
		select {
		case m, ok := <-q.messages:
			if !ok {
				return batch
			}
			batch = append(batch, m)
			size += proto.Size(m)
		default:
			return batch
		}
	}
	return batch
}

func (t *transport) step(client *http.Client, q *sendQueue, batch []*pb.Message) error {
	members, address := t.target(q.key.peer)
	if address == "" {
		return nil
	}
	timeout := t.cfg.ElectionTimeout / 2
	if q.key.bulk {
		timeout = max(timeout, bulkTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	from := q.senderIdentity(t.store, batch)
	resp, err := pb.NewReplicaProtobufClient(t.auth.URL(address), client).Step(ctx, &pb.StepRequest{
		ClusterId: t.cfg.Cluster, From: from,
		To: t.store.TargetIdentity(q.key.peer, members), Messages: batch, FromAddress: t.cfg.Address,
	})
	if err != nil {
		return err
	}
	q.introducedBoot = from.GetBoot()
	if resp.GetRemoved() {
		t.loop.post(control.Consensus{Event: consensus.RemovedByPeer{}})
	}
	return nil
}

// senderIdentity returns this replica's identity, with the history of boots if the peer may
// need it: with a HELLO, and with whatever is sent first in a new boot.
//
// Failure: a snapshot begins a new boot, and answers that are sent before the HELLO are refused. All
// replicas take snapshots at the same entry, so the leader hears no quorum until they are repeated.
func (q *sendQueue) senderIdentity(st *store.Store, batch []*pb.Message) *pb.ReplicaIdentity {
	id := st.HelloIdentity()
	for _, m := range batch {
		switch m.GetKind() {
		case pb.MessageKind_MESSAGE_KIND_HELLO, pb.MessageKind_MESSAGE_KIND_HELLO_RESPONSE:
			return id
		}
	}
	if q.key.bulk || id.GetBoot() == q.introducedBoot {
		id.PastNonces = nil
	}
	return id
}

// learnAddress remembers the address of an admitted sender.
func (t *transport) learnAddress(id uint64, address string) {
	if address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learnedAddresses[id] = address
}

// target returns the member list and the address of the peer, "" if unknown.
func (t *transport) target(peer uint64) (*pb.Membership, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address := addressOf(t.members, peer); address != "" {
		return t.members, address
	}
	return t.members, t.learnedAddresses[peer]
}

func addressOf(members *pb.Membership, id uint64) string {
	for _, m := range members.GetMembers() {
		if m.GetIdentity().GetId() == id {
			return m.GetAddress()
		}
	}
	return ""
}
