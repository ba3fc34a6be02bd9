package traffic

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// replicateAttemptTimeout bounds one attempt to replicate a record to a peer.
	replicateAttemptTimeout = 150 * time.Millisecond
	// maxReplicaAttempts is how many peers are tried, one after the other.
	maxReplicaAttempts = 2
	// replicationWait bounds how long a stream's first byte waits for its
	// record to be replicated. If no peer accepts the record in time, the
	// stream starts anyway; if this entry then dies, the caller has to start
	// over.
	replicationWait = 350 * time.Millisecond
	// renewalCheckInterval is the interval between checks for records whose
	// replica is due for renewal.
	renewalCheckInterval = 100 * time.Millisecond
	// renewalTimeout bounds one call that renews a batch of records.
	renewalTimeout = time.Second
	// lookupTimeout bounds a lookup at all peers.
	lookupTimeout = 700 * time.Millisecond
)

// peerClient calls other entries.
type peerClient struct {
	cluster  string
	identity *pb.EntryIdentity
	auth     *rpc.Auth
	http     *http.Client
	snapshot func() *entry.Snapshot
	log      *slog.Logger
	spawn    func(func())

	mu      sync.Mutex
	clients map[string]pb.Peer
}

func (p *peerClient) client(address string) pb.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = pb.NewPeerProtobufClient(p.auth.URL(address), p.http)
		p.clients[address] = c
	}
	return c
}

// replicaCandidates returns peers in other data centres that may hold a replica
// of a request's record, in the order in which to try them.
func (p *peerClient) replicaCandidates(wireID string, n int) []entry.EntryWeight {
	return p.snapshot().SelectEntries(wireID, n, p.identity.DataCentre)
}

// startReplication replicates a record to a peer in the background. It does so
// only once per record.
func (p *peerClient) startReplication(r *streamRecord) {
	r.mu.Lock()
	alreadyStarted := r.replicationStarted
	r.replicationStarted = true
	r.mu.Unlock()
	if alreadyStarted {
		return
	}
	p.spawn(func() {
		defer close(r.replicated)
		p.replicate(r)
	})
}

// awaitReplication delays a stream's first byte until the replication of its
// record has ended, but for no longer than replicationWait. With a replica, the
// caller can resume at another entry if this entry dies.
func (p *peerClient) awaitReplication(r *streamRecord) {
	p.startReplication(r)
	select {
	case <-r.replicated:
	case <-time.After(replicationWait):
		p.log.Warn("stream record not replicated in time; starting the stream without a confirmed replica", "request_id", r.pb.WireId)
	}
}

func (p *peerClient) replicate(r *streamRecord) {
	for _, peer := range p.replicaCandidates(r.pb.WireId, maxReplicaAttempts) {
		ctx, cancel := context.WithTimeout(context.Background(), replicateAttemptTimeout)
		record := r.snapshot()
		err := p.sendRecords(ctx, peer.PeerAddress, []*pb.StreamRecord{record})
		cancel()
		if err == nil {
			r.acknowledged(peer.PeerAddress, record)
			return
		}
	}
	p.log.Warn("stream record could not be replicated to any peer", "request_id", r.pb.WireId)
}

func (p *peerClient) sendRecords(ctx context.Context, address string, records []*pb.StreamRecord) error {
	_, err := p.client(address).Remember(ctx, &pb.RememberRequest{
		ClusterId: p.cluster, From: p.identity, Records: records,
	})
	return err
}

// runRenewals sends stream progress to the peers that hold replicas, in batches
// per peer.
func (p *peerClient) runRenewals(ctx context.Context, store *recordStore) {
	for host.Sleep(ctx, renewalCheckInterval) {
		byAddress := make(map[string][]*streamRecord)
		for _, r := range store.sweep(time.Now()) {
			address := r.replicaHolder()
			byAddress[address] = append(byAddress[address], r)
		}
		for address, records := range byAddress {
			p.spawn(func() { p.renewReplica(address, records) })
		}
	}
}

// renewReplica renews records at the peer that holds their replicas. If that
// fails, the records are replicated anew. Otherwise the streams would be lost
// if first this peer and then the owner failed.
func (p *peerClient) renewReplica(address string, records []*streamRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), renewalTimeout)
	defer cancel()
	list := make([]*pb.StreamRecord, 0, len(records))
	for _, r := range records {
		list = append(list, r.delta())
	}
	err := p.sendRecords(ctx, address, list)
	if err == nil {
		for i, r := range records {
			r.acknowledged(address, list[i])
		}
		return
	}
	p.log.Warn("renewal of stream records failed", "peer", address, "records", len(records), "error", err)
	for _, r := range records {
		p.spawn(func() { p.replicate(r) })
	}
}

// lookup asks all other entries for a member's record. complete is false if none is found and an entry
// that may have it did not answer.
func (p *peerClient) lookup(ctx context.Context, member, requestID string) (record *pb.StreamRecord, complete bool) {
	var others []entry.EntryWeight
	for _, e := range p.snapshot().Entries {
		if e.Name != p.identity.Name {
			others = append(others, e)
		}
	}
	return p.lookupAt(ctx, others, member, requestID)
}

// lookupAnswer is what one entry answers: a record, none, or nothing at all.
type lookupAnswer struct {
	record   *pb.StreamRecord
	answered bool
}

// lookupAt asks the given entries in parallel and returns the most advanced
// record.
func (p *peerClient) lookupAt(ctx context.Context, others []entry.EntryWeight, member, requestID string) (record *pb.StreamRecord, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	answers := make(chan lookupAnswer, len(others))
	for _, e := range others {
		p.spawn(func() {
			resp, err := p.client(e.PeerAddress).Lookup(ctx, &pb.LookupRequest{
				ClusterId: p.cluster, Member: member, RequestId: requestID,
			})
			answers <- readLookup(resp, err)
		})
	}
	record, answered := mostAdvanced(ctx, answers, len(others))
	return record, record != nil || answered == len(others)
}

func readLookup(resp *pb.LookupResponse, err error) lookupAnswer {
	var twerr twirp.Error
	switch {
	case err == nil:
		return lookupAnswer{resp.Record, true}
	case errors.As(err, &twerr) && twerr.Code() == twirp.NotFound:
		return lookupAnswer{nil, true}
	case errors.Is(err, syscall.ECONNREFUSED):
		// The entry's process has ended, and what it alone knew with it.
		return lookupAnswer{nil, true}
	default:
		return lookupAnswer{}
	}
}

// lookupGrace is how long a lookup waits for a more advanced record after it
// got the first one.
const lookupGrace = 20 * time.Millisecond

// mostAdvanced returns the most advanced record and how many entries answered.
func mostAdvanced(ctx context.Context, answers <-chan lookupAnswer, n int) (best *pb.StreamRecord, answered int) {
	var graceExpired <-chan time.Time
	for range n {
		select {
		case a := <-answers:
			if a.answered {
				answered++
			}
			best = moreAdvanced(best, a.record)
			if best != nil && graceExpired == nil {
				graceExpired = time.After(lookupGrace)
			}
		case <-graceExpired:
			return best, answered
		case <-ctx.Done():
			return best, answered
		}
	}
	return best, answered
}

// moreAdvanced returns the record with the later attempt or, in the same
// attempt, with more tokens. Either record may be nil.
func moreAdvanced(a, b *pb.StreamRecord) *pb.StreamRecord {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case b.Attempt > a.Attempt || (b.Attempt == a.Attempt && b.Tokens > a.Tokens):
		return b
	default:
		return a
	}
}

// notifyPreviousOwner tells the entry that ran a stream that the stream
// continues at this entry.
func (p *peerClient) notifyPreviousOwner(owner, member, requestID string) {
	for _, e := range p.snapshot().Entries {
		if e.Name != owner || e.Name == p.identity.Name {
			continue
		}
		p.spawn(func() {
			ctx, cancel := context.WithTimeout(context.Background(), renewalTimeout)
			defer cancel()
			_, _ = p.client(e.PeerAddress).Forget(ctx, &pb.ForgetRequest{
				ClusterId: p.cluster, Member: member, RequestIds: []string{requestID},
			})
		})
	}
}

// peerService implements the RPCs that other entries call.
type peerService struct{ server *Server }

var _ pb.Peer = peerService{}

func (p peerService) checkCluster(id string) error {
	if id != p.server.host.Settings.Cluster {
		return twirp.PermissionDenied.Error("another cluster")
	}
	return nil
}

// Remember stores replicas of other entries' stream records.
func (p peerService) Remember(_ context.Context, req *pb.RememberRequest) (*pb.RememberResponse, error) {
	if err := p.checkCluster(req.ClusterId); err != nil {
		return nil, err
	}
	if p.server.host.Snapshot().Leaving {
		return nil, twirp.Unavailable.Error("this entry stops")
	}
	kept := true
	for _, r := range req.Records {
		if r.Member == "" || r.RequestId == "" {
			return nil, twirp.RequiredArgumentError("member and request_id")
		}
		kept = p.server.records.storeReplica(r, time.Now()) && kept
	}
	if !kept {
		return nil, twirp.NotFoundError("a record that is renewed is not held here")
	}
	return &pb.RememberResponse{}, nil
}

// Forget drops streams that continue at another entry: their jobs are cancelled
// here, and delayed cancels at the engine are suppressed.
func (p peerService) Forget(ctx context.Context, req *pb.ForgetRequest) (*pb.ForgetResponse, error) {
	if err := p.checkCluster(req.ClusterId); err != nil {
		return nil, err
	}
	for _, id := range req.RequestIds {
		if r := p.server.records.lookup(req.Member, id); r != nil {
			p.server.cancels.suppress(r.WireId)
			p.server.jobs.cancelAndWait(ctx, r.WireId)
		}
	}
	return &pb.ForgetResponse{}, nil
}

// Lookup finds a member's record.
func (p peerService) Lookup(_ context.Context, req *pb.LookupRequest) (*pb.LookupResponse, error) {
	if err := p.checkCluster(req.ClusterId); err != nil {
		return nil, err
	}
	r := p.server.records.lookup(req.Member, req.RequestId)
	if r == nil {
		return nil, twirp.NotFoundError("no such stream")
	}
	return &pb.LookupResponse{Record: r}, nil
}
