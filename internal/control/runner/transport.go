package runner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
	"goldcrestseam.dev/goldcrestseam/internal/store"
)

const (
	// laneQueue is how many messages may wait for one peer; what is over it is
	// dropped, as a network may. Consensus sends again.
	laneQueue = 256
	// batchMessages bounds one Step call.
	batchMessages = 64
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
	// learned holds the addresses that senders named, for a replica that joins
	// and has no member list yet.
	learned map[uint64]string
	lanes   map[laneKey]*lane
	closed  bool
	wg      conc.WaitGroup
}

// laneKey names a lane. Heartbeats and votes have their own, so that a snapshot
// on its way does not cost the leader its lease.
type laneKey struct {
	peer uint64
	bulk bool
}

type lane struct {
	key   laneKey
	queue chan *pb.Message
}

func newTransport(cfg *settings.Control, auth *rpc.Auth, st *store.Store, l *loop) *transport {
	return &transport{
		cfg: cfg, auth: auth, store: st, loop: l,
		members: &pb.Membership{}, learned: make(map[uint64]string), lanes: make(map[laneKey]*lane),
	}
}

func (t *transport) setMembers(m *pb.Membership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = m
}

// send queues a message or drops it.
func (t *transport) send(m *pb.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	key := laneKey{peer: m.GetTo(), bulk: isBulk(m.GetKind())}
	ln := t.lanes[key]
	if ln == nil {
		ln = &lane{key: key, queue: make(chan *pb.Message, laneQueue)}
		t.lanes[key] = ln
		t.wg.Go(func() { t.runLane(ln) })
	}
	select {
	case ln.queue <- m:
	default:
	}
}

func isBulk(kind pb.MessageKind) bool {
	return kind == pb.MessageKind_MESSAGE_KIND_APPEND || kind == pb.MessageKind_MESSAGE_KIND_SNAPSHOT
}

func (t *transport) close() {
	t.mu.Lock()
	t.closed = true
	for _, ln := range t.lanes {
		close(ln.queue)
	}
	t.mu.Unlock()
	t.wg.Wait()
}

// runLane sends batches one after the other.
//
// Failure: a connection goes silent for good while new ones work. Each call has
// a deadline shorter than an election timeout, and after a missed one the lane
// goes on with a new client, which has no old connections.
func (t *transport) runLane(ln *lane) {
	client := t.auth.Client()
	for first := range ln.queue {
		batch := drain(first, ln.queue)
		if err := t.step(client, ln.key, batch); err != nil {
			t.loop.scope.Counter("replica_send_failed").Inc(1)
			client = t.auth.Client()
		}
	}
}

// drain takes what waits along with the first message.
func drain(first *pb.Message, queue <-chan *pb.Message) []*pb.Message {
	batch := []*pb.Message{first}
	for len(batch) < batchMessages {
		select {
		case m, ok := <-queue:
			if !ok {
				return batch
			}
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

func (t *transport) step(client *http.Client, key laneKey, batch []*pb.Message) error {
	members, address := t.target(key.peer)
	if address == "" {
		return nil
	}
	timeout := t.cfg.ElectionTimeout / 2
	if key.bulk {
		timeout = max(timeout, bulkTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := pb.NewReplicaProtobufClient(t.auth.URL(address), client).Step(ctx, &pb.StepRequest{
		ClusterId: t.cfg.Cluster, From: t.sender(batch),
		To: t.store.TargetIdentity(key.peer, members), Messages: batch, FromAddress: t.cfg.Address,
	})
	if err != nil {
		return err
	}
	if resp.GetRemoved() {
		t.loop.post(control.Consensus{Event: consensus.RemovedByPeer{}})
	}
	return nil
}

// sender is the own identity, with the history of boots where a peer may need it.
func (t *transport) sender(batch []*pb.Message) *pb.ReplicaIdentity {
	for _, m := range batch {
		switch m.GetKind() {
		case pb.MessageKind_MESSAGE_KIND_HELLO, pb.MessageKind_MESSAGE_KIND_HELLO_RESPONSE:
			return t.store.HelloIdentity()
		}
	}
	return t.store.Identity()
}

// learn remembers where an admitted sender listens.
func (t *transport) learn(id uint64, address string) {
	if address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learned[id] = address
}

// target gives the member list and where the peer listens, "" if unknown.
func (t *transport) target(peer uint64) (*pb.Membership, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address := addressOf(t.members, peer); address != "" {
		return t.members, address
	}
	return t.members, t.learned[peer]
}

func addressOf(members *pb.Membership, id uint64) string {
	for _, m := range members.GetMembers() {
		if m.GetIdentity().GetId() == id {
			return m.GetAddress()
		}
	}
	return ""
}
