package traffic

import (
	"context"
	"sync"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// claimBatch bounds the claims or settlements of one call to control.
	claimBatch = 256
	// claimGather is how long a batch gathers: a fraction of a commit's time.
	claimGather = time.Millisecond
	// settleTry bounds one try to hand settlements over.
	settleTry = time.Second
	// settleGiveUp is when a settlement is dropped that control does not take.
	// The claim then ends as unknown, which is safe.
	settleGiveUp = 10 * time.Minute
	// maxSettlements bounds settlements that wait for control.
	maxSettlements = 10000
)

// claim is one once-only call's right to run.
type claim struct{ pb *pb.Claim }

type waitingClaim struct {
	ctx    context.Context
	claim  *claim
	result chan *pb.ClaimResult
}

type waitingSettlement struct {
	pb    *pb.Settlement
	since time.Time
	done  chan struct{}
}

// claims hands claims and settlements to control, in batches.
type claims struct {
	control *host.ControlClient
	cluster string
	wake    chan struct{}
	wakeSet chan struct{}

	mu       sync.Mutex
	claims   []*waitingClaim
	settling []*waitingSettlement
	// underWay counts settlements that control has not taken yet.
	underWay int
}

func newClaims(control *host.ControlClient, cluster string) *claims {
	return &claims{
		control: control, cluster: cluster,
		wake: make(chan struct{}, 1), wakeSet: make(chan struct{}, 1),
	}
}

// claim waits until control has committed the claim. The same claim is sent
// again while no answer comes: control grants it again to the same call.
func (c *claims) claim(ctx context.Context, cl *claim) (*pb.ClaimResult, error) {
	w := &waitingClaim{ctx: ctx, claim: cl, result: make(chan *pb.ClaimResult, 1)}
	c.mu.Lock()
	c.claims = append(c.claims, w)
	c.mu.Unlock()
	signal(c.wake)
	select {
	case r := <-w.result:
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// settle hands over how a claimed call ended, as often as it takes. The channel
// is closed once control has it.
func (c *claims) settle(cl *claim, status pb.ClaimStatus, answer *pb.StoredAnswer) <-chan struct{} {
	w := &waitingSettlement{
		pb: &pb.Settlement{Claim: cl.pb, Status: status, Answer: answer}, since: time.Now(),
		done: make(chan struct{}),
	}
	c.mu.Lock()
	if len(c.settling) < maxSettlements {
		c.settling = append(c.settling, w)
		c.underWay++
	}
	c.mu.Unlock()
	signal(c.wakeSet)
	return w.done
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// unsettled is how many settlements control has not taken yet.
func (c *claims) unsettled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.underWay
}

// runClaims sends claims until ctx ends, run it with go to have batches side by
// side.
func (c *claims) runClaims(ctx context.Context, spawn func(func())) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		host.Pause(ctx, claimGather)
		for batch := takeBatch(c, &c.claims); len(batch) > 0; batch = takeBatch(c, &c.claims) {
			spawn(func() { c.sendClaims(ctx, batch) })
		}
	}
}

// takeBatch takes the first claimBatch of what waits in the list.
func takeBatch[T any](c *claims, list *[]T) []T {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(claimBatch, len(*list))
	batch := (*list)[:n:n]
	*list = (*list)[n:]
	return batch
}

// sendClaims sends one batch until control answers or no caller waits any more.
func (c *claims) sendClaims(ctx context.Context, batch []*waitingClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	req := &pb.ClaimRequest{ClusterId: c.cluster}
	for _, w := range batch {
		req.Claims = append(req.Claims, w.claim.pb)
	}
	var resp *pb.ClaimResponse
	err := c.control.Call(ctx, host.ControlAttemptTimeout, func(ctx context.Context, control pb.Control) error {
		var err error
		resp, err = control.Claim(ctx, req)
		return err
	})
	if err != nil || len(resp.Results) != len(batch) {
		host.Pause(ctx, host.ControlRetryDelay)
		c.askAgain(batch)
		return
	}
	for i, w := range batch {
		w.result <- resp.Results[i]
	}
}

// askAgain puts back the claims whose callers still wait.
func (c *claims) askAgain(batch []*waitingClaim) {
	c.mu.Lock()
	for _, w := range batch {
		if w.ctx.Err() == nil {
			c.claims = append(c.claims, w)
		}
	}
	c.mu.Unlock()
	signal(c.wake)
}

// runSettlements hands settlements over until ctx ends.
func (c *claims) runSettlements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wakeSet:
		}
		host.Pause(ctx, claimGather)
		for batch := takeBatch(c, &c.settling); len(batch) > 0; batch = takeBatch(c, &c.settling) {
			c.sendSettlements(ctx, batch)
		}
	}
}

func (c *claims) sendSettlements(ctx context.Context, batch []*waitingSettlement) {
	ctx, cancel := context.WithTimeout(ctx, settleGiveUp)
	defer cancel()
	req := &pb.SettleRequest{ClusterId: c.cluster}
	for _, w := range batch {
		req.Settlements = append(req.Settlements, w.pb)
	}
	err := c.control.Call(ctx, settleTry, func(ctx context.Context, control pb.Control) error {
		_, err := control.Settle(ctx, req)
		return err
	})
	c.mu.Lock()
	c.underWay -= len(batch)
	c.mu.Unlock()
	if err != nil {
		return
	}
	for _, w := range batch {
		close(w.done)
	}
}
