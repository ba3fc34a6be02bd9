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
	// askFor is how long a choice waits for the sum of the other entries' backlogs before the
	// entry decides on what it has: small beside callers' targets, and some ten times what an
	// idle aggregator takes.
	askFor = 20 * time.Millisecond
	// sumFreshFor is how old a sum may be for a choice without asking again.
	sumFreshFor = 5 * time.Millisecond
)

// sumSource is what the last sum of an aggregator was, under peerReports.mu.
type sumSource struct {
	// askedAt is when the last answered question was sent.
	askedAt time.Duration
	pace    askPace
	// asking is closed when the question under way has ended; nil for none.
	asking chan struct{}
	// aggregator and readsFrom tell which reads have been heard.
	aggregator string
	readsFrom  uint64
}

// decodeSumFor is how old a sum may be for the choice of the engine that decodes a prompt
// which was read elsewhere: one stream more or less makes little difference there.
const decodeSumFor = 200 * time.Millisecond

// RefreshPeerSumForDecode does so before a decoding engine is chosen.
func (h *Host) RefreshPeerSumForDecode(ctx context.Context) { h.refreshPeers(ctx, decodeSumFor) }

// RefreshPeerSum asks the aggregator, where there is one, for the sum of the other entries'
// backlogs, and hands it to the reducer. It returns when that is done or has failed, after
// askFor at the latest. Callers that come meanwhile share one question.
func (h *Host) RefreshPeerSum(ctx context.Context) { h.refreshPeers(ctx, sumFreshFor) }

func (h *Host) refreshPeers(ctx context.Context, freshFor time.Duration) {
	snap := h.Snapshot()
	if address := snap.Aggregator; address != "" && clock.SinceBoot() >= snap.AskAggregatorFrom {
		h.peerReports.refresh(ctx, address, freshFor)
	}
}

// refresh asks for a sum, unless the last one is fresh or a question is under way.
func (b *peerReports) refresh(ctx context.Context, address string, freshFor time.Duration) {
	b.mu.Lock()
	if clock.SinceBoot()-b.sums.askedAt < b.sums.pace.freshFor(freshFor) {
		b.mu.Unlock()
		return
	}
	if under := b.sums.asking; under != nil {
		b.mu.Unlock()
		select {
		case <-under:
		case <-ctx.Done():
		}
		return
	}
	done := make(chan struct{})
	b.sums.asking = done
	req := &pb.PeerSumRequest{
		ClusterId: b.host.Settings.Cluster, Entry: b.host.Settings.Name, Aggregator: b.sums.aggregator, ReadsFrom: b.sums.readsFrom,
		WantAlive: b.host.Snapshot().LeaseExpiring,
	}
	b.mu.Unlock()
	defer close(done)
	b.ask(address, req)
}

// ask asks an aggregator and hands its answer, or that there was none, to the reducer.
func (b *peerReports) ask(address string, req *pb.PeerSumRequest) {
	ctx, cancel := context.WithTimeout(b.host.TaskContext, askFor)
	defer cancel()
	sent := clock.SinceBoot()
	sum, err := b.peer(address).Sum(ctx, req)
	b.host.Metrics.Scope.Tagged(map[string]string{"ok": okWord(err)}).Counter("peer_sums").Inc(1)
	b.mu.Lock()
	b.sums.asking = nil
	b.sums.pace.ended(clock.SinceBoot() - sent)
	if err == nil {
		b.sums.askedAt, b.sums.aggregator, b.sums.readsFrom = sent, sum.GetIncarnation(), sum.GetReadsNext()
	}
	b.mu.Unlock()
	if err != nil {
		b.host.Post(entry.AggregatorTimedOut{Address: address})
		return
	}
	b.host.Post(entry.SumReceived{SentAt: sent, Sum: sum})
}

// Sum answers another entry's question.
func (b *peerReports) Sum(ctx context.Context, req *pb.PeerSumRequest) (*pb.PeerSum, error) {
	if req.GetEntry() == "" {
		return nil, twirp.RequiredArgumentError("entry")
	}
	return b.questions.put(ctx, b.host.loop.stopped, func(key string) {
		b.host.Post(entry.SumRequested{Key: key, Request: req})
	})
}
