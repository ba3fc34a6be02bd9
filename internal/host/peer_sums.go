package host

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// sumTimeout is how long a placement decision waits for the sum of the other entries'
	// backlogs before it uses the data that it has. It is small against callers' latency
	// targets, and about ten times the response time of an idle aggregator.
	sumTimeout = 20 * time.Millisecond
	// sumMaxAge is how old a sum may be for a placement decision without a new request.
	sumMaxAge = 5 * time.Millisecond
)

// aggregatorState is the state of the requests for sums, guarded by peerExchange.mu.
type aggregatorState struct {
	// lastAnsweredSentAt is when the last answered request was sent.
	lastAnsweredSentAt time.Duration
	interval           sumInterval
	// inFlight is closed when the request in flight ends. It is nil if there is none.
	inFlight chan struct{}
	// incarnation is that of the aggregator. readsFrom tells it which records of prefilled prompts
	// (PeerSum.Reads) this entry has already received.
	incarnation string
	readsFrom   uint64
}

// decodeSumMaxAge is how old a sum may be for the choice of a decode engine for a prompt that
// was prefilled elsewhere. One stream more or less makes little difference there.
const decodeSumMaxAge = 200 * time.Millisecond

// RefreshPeerSumForDecode is like RefreshPeerSum, for the choice of a decode engine. It accepts
// an older sum.
func (h *Host) RefreshPeerSumForDecode(ctx context.Context) { h.refreshPeerSum(ctx, decodeSumMaxAge) }

// RefreshPeerSum requests the sum of the other entries' backlogs from the aggregator, if there
// is one, and passes it to the reducer. It returns when that is done or has failed, after
// sumTimeout at the latest. Concurrent calls share one request.
func (h *Host) RefreshPeerSum(ctx context.Context) { h.refreshPeerSum(ctx, sumMaxAge) }

func (h *Host) refreshPeerSum(ctx context.Context, maxAge time.Duration) {
	snap := h.Snapshot()
	if address := snap.Aggregator; address != "" && clock.SinceBoot() >= snap.AskAggregatorFrom {
		h.peers.refreshSum(ctx, address, maxAge)
	}
}

// refreshSum requests a sum unless the last one is recent enough. If a request is in flight, it
// waits for that one.
func (b *peerExchange) refreshSum(ctx context.Context, address string, maxAge time.Duration) {
	b.mu.Lock()
	if clock.SinceBoot()-b.aggregator.lastAnsweredSentAt < b.aggregator.interval.maxAge(maxAge) {
		b.mu.Unlock()
		return
	}
	if inFlight := b.aggregator.inFlight; inFlight != nil {
		b.mu.Unlock()
		select {
		case <-inFlight:
		case <-ctx.Done():
		}
		return
	}
	done := make(chan struct{})
	b.aggregator.inFlight = done
	req := &pb.PeerSumRequest{
		ClusterId: b.host.Settings.Cluster, Entry: b.host.Settings.Name, Aggregator: b.aggregator.incarnation, ReadsFrom: b.aggregator.readsFrom,
		WantAlive: b.host.Snapshot().LeaseExpiring,
	}
	b.mu.Unlock()
	defer close(done)
	b.requestSum(address, req)
}

// requestSum requests a sum from an aggregator and posts the answer or the failure to the
// reducer.
func (b *peerExchange) requestSum(address string, req *pb.PeerSumRequest) {
	ctx, cancel := context.WithTimeout(b.host.TaskContext, sumTimeout)
	defer cancel()
	sent := clock.SinceBoot()
	sum, err := b.clientFor(address).Sum(ctx, req)
	b.host.Metrics.Scope.Tagged(map[string]string{"ok": okLabel(err)}).Counter("peer_sums").Inc(1)
	b.mu.Lock()
	b.aggregator.inFlight = nil
	b.aggregator.interval.observe(clock.SinceBoot() - sent)
	if err == nil {
		b.aggregator.lastAnsweredSentAt, b.aggregator.incarnation, b.aggregator.readsFrom = sent, sum.GetIncarnation(), sum.GetReadsNext()
	}
	b.mu.Unlock()
	if err != nil {
		b.host.Post(entry.AggregatorTimedOut{Address: address})
		return
	}
	b.host.Post(entry.SumReceived{SentAt: sent, Sum: sum})
}

// Sum answers another entry's request for the sum of backlogs.
func (b *peerExchange) Sum(ctx context.Context, req *pb.PeerSumRequest) (*pb.PeerSum, error) {
	if req.GetEntry() == "" {
		return nil, twirp.RequiredArgumentError("entry")
	}
	return b.sumRequests.submit(ctx, b.host.loop.stopped, func(key string) {
		b.host.Post(entry.SumRequested{Key: key, Request: req})
	})
}
