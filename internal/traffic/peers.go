package traffic

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// rememberTry bounds one peer's answer before a stream's first byte.
	rememberTry = 150 * time.Millisecond
	// rememberHolders is how many peers are asked, one after the other.
	rememberHolders = 2
	// rememberWait bounds what a first byte may wait for a holder. Without one
	// the stream goes on, and a caller whose entry dies starts anew.
	rememberWait = 350 * time.Millisecond
	// renewTick paces renewals.
	renewTick = 100 * time.Millisecond
	// renewTry bounds one batch of renewals.
	renewTry = time.Second
	// lookupTry bounds a look-up at all peers.
	lookupTry = 700 * time.Millisecond
)

// peers calls other entries.
type peers struct {
	cluster  string
	identity *pb.EntryIdentity
	auth     *rpc.Auth
	http     *http.Client
	snapshot func() *entry.Snapshot
	log      *slog.Logger
	run      func(func())

	mu      sync.Mutex
	clients map[string]pb.Peer
}

func (p *peers) client(address string) pb.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = pb.NewPeerProtobufClient(p.auth.URL(address), p.http)
		p.clients[address] = c
	}
	return c
}

// holders gives the peers in other data centres that may keep a record.
func (p *peers) holders(wireID string, n int) []entry.EntryWeight {
	return p.snapshot().SelectEntries(wireID, n, p.identity.DataCentre)
}

// begin hands a record to a peer, once.
func (p *peers) begin(r *streamRecord) {
	r.mu.Lock()
	begun := r.begun
	r.begun = true
	r.mu.Unlock()
	if begun {
		return
	}
	p.run(func() {
		defer close(r.replicated)
		p.replicate(r)
	})
}

// await holds a stream's first byte back until another entry knows it. If this
// entry then dies, the caller goes on there.
func (p *peers) await(r *streamRecord) {
	p.begin(r)
	select {
	case <-r.replicated:
	case <-time.After(rememberWait):
		p.log.Warn("no peer has taken a stream's record in time", "request_id", r.pb.WireId)
	}
}

func (p *peers) replicate(r *streamRecord) {
	for _, holder := range p.holders(r.pb.WireId, rememberHolders) {
		ctx, cancel := context.WithTimeout(context.Background(), rememberTry)
		record := r.whole()
		err := p.remember(ctx, holder.PeerAddress, []*pb.StreamRecord{record})
		cancel()
		if err == nil {
			r.taken(holder.PeerAddress, record)
			return
		}
	}
	p.log.Warn("no peer holds a stream's record", "request_id", r.pb.WireId)
}

func (p *peers) remember(ctx context.Context, address string, records []*pb.StreamRecord) error {
	_, err := p.client(address).Remember(ctx, &pb.RememberRequest{
		ClusterId: p.cluster, From: p.identity, Records: records,
	})
	return err
}

// renew tells holders how far streams have got, in batches.
func (p *peers) renew(ctx context.Context, store *recordStore) {
	for host.Pause(ctx, renewTick) {
		byHolder := make(map[string][]*streamRecord)
		for _, r := range store.sweep(time.Now()) {
			holder := r.heldBy()
			byHolder[holder] = append(byHolder[holder], r)
		}
		for address, records := range byHolder {
			p.run(func() { p.renewAt(address, records) })
		}
	}
}

// renewAt renews records at their holder. When that fails another holder is
// sought: else the loss of holder and owner, one after the other, would lose the
// streams.
func (p *peers) renewAt(address string, records []*streamRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTry)
	defer cancel()
	list := make([]*pb.StreamRecord, 0, len(records))
	for _, r := range records {
		list = append(list, r.renewal())
	}
	err := p.remember(ctx, address, list)
	if err == nil {
		for i, r := range records {
			r.taken(address, list[i])
		}
		return
	}
	p.log.Warn("renewal of stream records failed", "peer", address, "records", len(records), "error", err)
	for _, r := range records {
		p.run(func() { p.replicate(r) })
	}
}

// lookup asks all other entries for a member's record.
func (p *peers) lookup(ctx context.Context, member, requestID string) *pb.StreamRecord {
	var others []entry.EntryWeight
	for _, e := range p.snapshot().Entries {
		if e.Name != p.identity.Name {
			others = append(others, e)
		}
	}
	return p.ask(ctx, others, member, requestID)
}

// ask asks all at once and takes the record that is furthest.
func (p *peers) ask(ctx context.Context, others []entry.EntryWeight, member, requestID string) *pb.StreamRecord {
	ctx, cancel := context.WithTimeout(ctx, lookupTry)
	defer cancel()
	found := make(chan *pb.StreamRecord, len(others))
	for _, e := range others {
		p.run(func() {
			resp, err := p.client(e.PeerAddress).Lookup(ctx, &pb.LookupRequest{
				ClusterId: p.cluster, Member: member, RequestId: requestID,
			})
			if err != nil {
				found <- nil
				return
			}
			found <- resp.Record
		})
	}
	return furthest(ctx, found, len(others))
}

// settleTime is how long a look-up waits for a better record after the first.
const settleTime = 20 * time.Millisecond

func furthest(ctx context.Context, found <-chan *pb.StreamRecord, n int) *pb.StreamRecord {
	var best *pb.StreamRecord
	var settled <-chan time.Time
	for range n {
		select {
		case r := <-found:
			best = further(best, r)
			if best != nil && settled == nil {
				settled = time.After(settleTime)
			}
		case <-settled:
			return best
		case <-ctx.Done():
			return best
		}
	}
	return best
}

// further gives the record of the later attempt, then of more tokens; either
// may be nil.
func further(a, b *pb.StreamRecord) *pb.StreamRecord {
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

// handOver tells the entry that ran a stream that it goes on here.
func (p *peers) handOver(owner, member, requestID string) {
	for _, e := range p.snapshot().Entries {
		if e.Name != owner || e.Name == p.identity.Name {
			continue
		}
		p.run(func() {
			ctx, cancel := context.WithTimeout(context.Background(), renewTry)
			defer cancel()
			_, _ = p.client(e.PeerAddress).Forget(ctx, &pb.ForgetRequest{
				ClusterId: p.cluster, Member: member, RequestIds: []string{requestID},
			})
		})
	}
}

// peerService answers other entries.
type peerService struct{ s *Server }

var _ pb.Peer = peerService{}

func (p peerService) wrongCluster(id string) error {
	if id != p.s.host.Settings.Cluster {
		return twirp.PermissionDenied.Error("another cluster")
	}
	return nil
}

// Remember keeps other entries' stream records.
func (p peerService) Remember(_ context.Context, req *pb.RememberRequest) (*pb.RememberResponse, error) {
	if err := p.wrongCluster(req.ClusterId); err != nil {
		return nil, err
	}
	if p.s.host.Snapshot().Leaving {
		return nil, twirp.Unavailable.Error("this entry stops")
	}
	kept := true
	for _, r := range req.Records {
		if r.Member == "" || r.RequestId == "" {
			return nil, twirp.RequiredArgumentError("member and request_id")
		}
		kept = p.s.records.remember(r, time.Now()) && kept
	}
	if !kept {
		return nil, twirp.NotFoundError("a record that is renewed is not held here")
	}
	return &pb.RememberResponse{}, nil
}

// Forget lets streams go that another entry goes on with.
func (p peerService) Forget(ctx context.Context, req *pb.ForgetRequest) (*pb.ForgetResponse, error) {
	if err := p.wrongCluster(req.ClusterId); err != nil {
		return nil, err
	}
	for _, id := range req.RequestIds {
		if r := p.s.records.lookup(req.Member, id); r != nil {
			p.s.cancels.keep(r.WireId)
			p.s.jobs.takeOver(ctx, r.WireId)
		}
	}
	return &pb.ForgetResponse{}, nil
}

// Lookup finds a member's record.
func (p peerService) Lookup(_ context.Context, req *pb.LookupRequest) (*pb.LookupResponse, error) {
	if err := p.wrongCluster(req.ClusterId); err != nil {
		return nil, err
	}
	r := p.s.records.lookup(req.Member, req.RequestId)
	if r == nil {
		return nil, twirp.NotFoundError("no such stream")
	}
	return &pb.LookupResponse{Record: r}, nil
}
