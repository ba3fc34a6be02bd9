package traffic

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// maxClaimBatch bounds the claims or settlements in one call to control.
	maxClaimBatch = 256
	// claimBatchDelay is how long claims and settlements are collected before
	// a batch is sent. It is a fraction of the time of a commit at control.
	claimBatchDelay = time.Millisecond
	// settleAttemptTimeout bounds one attempt to deliver settlements.
	settleAttemptTimeout = time.Second
	// settlementTimeout is how long a settlement is retried before it is
	// dropped. The claim then ends with an unknown outcome, which is safe.
	settlementTimeout = 10 * time.Minute
	// maxSettlements bounds the queue of settlements.
	maxSettlements = 10000
)

// claim is the right to run one at-most-once call. Control grants it to a
// single call per idempotency key.
type claim struct {
	pb *pb.Claim
	// sends counts how often the claim was sent to control. After more than one, copies of it
	// may still be under way.
	sends atomic.Int32
}

type pendingClaim struct {
	ctx    context.Context
	claim  *claim
	result chan *pb.ClaimResult
}

type pendingSettlement struct {
	pb       *pb.Settlement
	queuedAt time.Time
	done     chan struct{}
}

// claimClient sends claims and settlements to control in batches.
type claimClient struct {
	control         *host.ControlClient
	cluster         string
	wakeClaims      chan struct{}
	wakeSettlements chan struct{}

	mu                 sync.Mutex
	pendingClaims      []*pendingClaim
	pendingSettlements []*pendingSettlement
	// unsettledCount counts queued settlements that are neither accepted by
	// control nor dropped.
	unsettledCount int
}

func newClaimClient(control *host.ControlClient, cluster string) *claimClient {
	return &claimClient{
		control: control, cluster: cluster,
		wakeClaims: make(chan struct{}, 1), wakeSettlements: make(chan struct{}, 1),
	}
}

// acquire waits until control has committed the claim and returns the result.
// The claim is retried while no answer comes; control is idempotent and grants
// it again to the same call.
func (c *claimClient) acquire(ctx context.Context, claim *claim) (*pb.ClaimResult, error) {
	pending := &pendingClaim{ctx: ctx, claim: claim, result: make(chan *pb.ClaimResult, 1)}
	c.mu.Lock()
	c.pendingClaims = append(c.pendingClaims, pending)
	c.mu.Unlock()
	signal(c.wakeClaims)
	select {
	case r := <-pending.result:
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// settle reports how a claimed call ended, with retries up to
// settlementTimeout. The channel is closed once control has committed the
// settlement.
func (c *claimClient) settle(claim *claim, status pb.ClaimStatus, answer *pb.StoredAnswer) <-chan struct{} {
	pending := &pendingSettlement{
		pb: &pb.Settlement{Claim: claim.pb, Status: status, Answer: answer}, queuedAt: time.Now(),
		done: make(chan struct{}),
	}
	c.mu.Lock()
	if len(c.pendingSettlements) < maxSettlements {
		c.pendingSettlements = append(c.pendingSettlements, pending)
		c.unsettledCount++
	}
	c.mu.Unlock()
	signal(c.wakeSettlements)
	return pending.done
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// unsettled returns the number of settlements that are neither accepted by
// control nor dropped.
func (c *claimClient) unsettled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsettledCount
}

// runClaims sends batches of claims until ctx ends. Each batch is sent in a
// goroutine of its own, so batches run in parallel.
func (c *claimClient) runClaims(ctx context.Context, spawn func(func())) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wakeClaims:
		}
		host.Sleep(ctx, claimBatchDelay)
		for batch := takeBatch(c, &c.pendingClaims); len(batch) > 0; batch = takeBatch(c, &c.pendingClaims) {
			spawn(func() { c.sendClaims(ctx, batch) })
		}
	}
}

// takeBatch removes and returns up to maxClaimBatch items from the head of the
// list.
func takeBatch[T any](c *claimClient, list *[]T) []T {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(maxClaimBatch, len(*list))
	batch := (*list)[:n:n]
	*list = (*list)[n:]
	return batch
}

// sendClaims sends one batch with retries until control answers or claimTimeout
// expires. After a failure, the claims whose callers still wait are requeued.
func (c *claimClient) sendClaims(ctx context.Context, batch []*pendingClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	req := &pb.ClaimRequest{ClusterId: c.cluster}
	for _, pending := range batch {
		req.Claims = append(req.Claims, pending.claim.pb)
	}
	var resp *pb.ClaimResponse
	err := c.control.Call(ctx, host.ControlAttemptTimeout, func(ctx context.Context, control host.Replica) error {
		for _, pending := range batch {
			pending.claim.sends.Add(1)
		}
		var err error
		resp, err = control.Claim(ctx, req)
		return err
	})
	if err != nil || len(resp.Results) != len(batch) {
		host.Sleep(ctx, host.ControlRetryDelay)
		c.requeue(batch)
		return
	}
	for i, pending := range batch {
		pending.result <- resp.Results[i]
	}
}

// requeue puts the claims whose callers still wait back into the queue.
func (c *claimClient) requeue(batch []*pendingClaim) {
	c.mu.Lock()
	for _, pending := range batch {
		if pending.ctx.Err() == nil {
			c.pendingClaims = append(c.pendingClaims, pending)
		}
	}
	c.mu.Unlock()
	signal(c.wakeClaims)
}

// runSettlements sends batches of settlements, one at a time, until ctx ends.
func (c *claimClient) runSettlements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wakeSettlements:
		}
		host.Sleep(ctx, claimBatchDelay)
		for batch := takeBatch(c, &c.pendingSettlements); len(batch) > 0; batch = takeBatch(c, &c.pendingSettlements) {
			c.sendSettlements(ctx, batch)
		}
	}
}

func (c *claimClient) sendSettlements(ctx context.Context, batch []*pendingSettlement) {
	ctx, cancel := context.WithTimeout(ctx, settlementTimeout)
	defer cancel()
	req := &pb.SettleRequest{ClusterId: c.cluster}
	for _, pending := range batch {
		req.Settlements = append(req.Settlements, pending.pb)
	}
	err := c.control.Call(ctx, settleAttemptTimeout, func(ctx context.Context, control host.Replica) error {
		_, err := control.Settle(ctx, req)
		return err
	})
	c.mu.Lock()
	c.unsettledCount -= len(batch)
	c.mu.Unlock()
	if err != nil {
		return
	}
	for _, pending := range batch {
		close(pending.done)
	}
}
