package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/ctl"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	granted = pb.ClaimStatus_CLAIM_STATUS_GRANTED
	running = pb.ClaimStatus_CLAIM_STATUS_RUNNING
	done    = pb.ClaimStatus_CLAIM_STATUS_DONE
	notRun  = pb.ClaimStatus_CLAIM_STATUS_NOT_RUN
)

// claimInput is the input of a Claim, or of a Settle when settledAs is not zero.
type claimInput struct {
	key, requestID string
	settledAs      pb.ClaimStatus
}

// claimOutput is the answer; answered is false when none came.
type claimOutput struct {
	answered bool
	status   pb.ClaimStatus
}

// claimState is the state of one key: which request claimed it last, and the
// status of that claim.
type claimState struct {
	requestID string
	status    pb.ClaimStatus
}

// claimModel is the model of the idempotency key of one at-most-once call. A claim is granted when no request
// holds the key and none has run it. A request that holds the key is granted its
// claim again.
var claimModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return claimState{} },
	Step:      stepClaims,
	Equal:     func(a, b any) bool { return a == b },
}

func partitionByKey(ops []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	var keys []string
	for _, op := range ops {
		key := op.Input.(claimInput).key
		if byKey[key] == nil {
			keys = append(keys, key)
		}
		byKey[key] = append(byKey[key], op)
	}
	slices.Sort(keys)
	var parts [][]porcupine.Operation
	for _, key := range keys {
		parts = append(parts, byKey[key])
	}
	return parts
}

func stepClaims(state, input, output any) (bool, any) {
	s, in, out := state.(claimState), input.(claimInput), output.(claimOutput)
	if in.settledAs != 0 {
		if s.status == running && s.requestID == in.requestID {
			return true, claimState{requestID: s.requestID, status: in.settledAs}
		}
		return true, s
	}
	expected, next := s.status, s
	switch {
	case s.status == 0, s.status == notRun && s.requestID != in.requestID:
		expected, next = granted, claimState{requestID: in.requestID, status: running}
	case s.status == running && s.requestID == in.requestID:
		expected = granted
	}
	return !out.answered || out.status == expected, next
}

// claimant acts as an entry that competes with others for keys and settles the
// claims that it is granted.
type claimant struct {
	id     int
	client *ctl.Client
	// watcher is the client that stays listed.
	watcher *ctl.Client
	cluster string
	rng     *rand.Rand
	history *history
	keys    []string
	seq     int
}

func (c *claimant) run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	listed := make(chan struct{})
	wg.Go(func() { c.stayListed(ctx, listed) })
	select {
	case <-listed:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		claim := c.newClaim()
		if c.claim(ctx, claim) == granted {
			status := notRun
			if c.rng.IntN(4) == 0 {
				status = done
			}
			c.settle(ctx, claim, status)
		}
	}
}

// watchHold is how long control holds a Watch of a claimant.
const watchHold = 500 * time.Millisecond

// stayListed watches control as an entry does, which grants nothing to an entry that it does not
// list. It closes listed after the first answer.
func (c *claimant) stayListed(ctx context.Context, listed chan<- struct{}) {
	version := uint64(0)
	for ctx.Err() == nil {
		opCtx, cancel := withOpTimeout(ctx)
		err := c.watcher.CallControl(opCtx, func(ctx context.Context, control pb.Control) error {
			resp, err := control.Watch(ctx, &pb.WatchRequest{
				ClusterId: c.cluster, Entry: c.identity(), KnownVersion: version, HoldMs: uint32(watchHold.Milliseconds()),
			})
			version = max(version, resp.GetVersion())
			return err
		})
		cancel()
		if err == nil && listed != nil {
			close(listed)
			listed = nil
		}
	}
}

func (c *claimant) identity() *pb.EntryIdentity {
	return &pb.EntryIdentity{Name: "entry-" + strconv.Itoa(c.id), Incarnation: "1"}
}

// newClaim returns a claim of a random key under a new request id.
func (c *claimant) newClaim() *pb.Claim {
	c.seq++
	return &pb.Claim{
		Member: "m", Service: "s", Key: c.keys[c.rng.IntN(len(c.keys))], Fingerprint: 1,
		RequestId: strconv.Itoa(c.id) + "-" + strconv.Itoa(c.seq),
		Owner:     c.identity(),
	}
}

func (c *claimant) claim(ctx context.Context, claim *pb.Claim) (status pb.ClaimStatus) {
	ctx, cancel := withOpTimeout(ctx)
	defer cancel()
	in := claimInput{key: claim.GetKey(), requestID: claim.GetRequestId()}
	c.history.record(c.id, in, func() (any, bool) {
		var resp *pb.ClaimResponse
		err := c.client.CallControl(ctx, func(ctx context.Context, control pb.Control) (err error) {
			resp, err = control.Claim(ctx, &pb.ClaimRequest{ClusterId: c.cluster, Claims: []*pb.Claim{claim}})
			return err
		})
		if err != nil {
			return claimOutput{}, false
		}
		status = resp.GetResults()[0].GetStatus()
		return claimOutput{answered: true, status: status}, true
	})
	return status
}

func (c *claimant) settle(ctx context.Context, claim *pb.Claim, status pb.ClaimStatus) {
	ctx, cancel := withOpTimeout(ctx)
	defer cancel()
	in := claimInput{key: claim.GetKey(), requestID: claim.GetRequestId(), settledAs: status}
	c.history.record(c.id, in, func() (any, bool) {
		err := c.client.CallControl(ctx, func(ctx context.Context, control pb.Control) error {
			_, err := control.Settle(ctx, &pb.SettleRequest{
				ClusterId: c.cluster, Settlements: []*pb.Settlement{{Claim: claim, Status: status}},
			})
			return err
		})
		return claimOutput{answered: err == nil}, err == nil
	})
}

// newKeys returns n new keys; a key (UUIDv7) contains the time of its creation.
func newKeys(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = uuid.Must(uuid.NewV7()).String()
	}
	return keys
}
