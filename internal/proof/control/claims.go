package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"goldcrestseam.dev/goldcrestseam/internal/ctl"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	granted = pb.ClaimStatus_CLAIM_STATUS_GRANTED
	running = pb.ClaimStatus_CLAIM_STATUS_RUNNING
	done    = pb.ClaimStatus_CLAIM_STATUS_DONE
	notRun  = pb.ClaimStatus_CLAIM_STATUS_NOT_RUN
)

// claimInput is a Claim, or a Settle when settle is not zero.
type claimInput struct {
	key, request string
	settle       pb.ClaimStatus
}

// claimOutput is its answer; known is false when none came.
type claimOutput struct {
	known  bool
	status pb.ClaimStatus
}

// claimState is one key's state: who holds or held it, and how it ended.
type claimState struct {
	request string
	status  pb.ClaimStatus
}

// claims is one once-only key: a claim is granted when nobody holds the key and
// nobody has run it; the same request is granted its claim again.
var claims = porcupine.Model{
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
	if in.settle != 0 {
		if s.status == running && s.request == in.request {
			return true, claimState{request: s.request, status: in.settle}
		}
		return true, s
	}
	want, next := s.status, s
	switch {
	case s.status == 0, s.status == notRun && s.request != in.request:
		want, next = granted, claimState{request: in.request, status: running}
	case s.status == running && s.request == in.request:
		want = granted
	}
	return !out.known || out.status == want, next
}

// claimant is an entry that claims keys which others claim too, and settles what
// it was granted.
type claimant struct {
	id      int
	client  *ctl.Client
	cluster string
	random  *rand.Rand
	log     *history
	keys    []string
	seq     int
}

func (c *claimant) run(ctx context.Context) {
	for ctx.Err() == nil {
		claim := c.next()
		if c.claim(ctx, claim) == granted {
			end := notRun
			if c.random.IntN(4) == 0 {
				end = done
			}
			c.settle(ctx, claim, end)
		}
	}
}

// next gives a claim of any of the keys under a request id of its own.
func (c *claimant) next() *pb.Claim {
	c.seq++
	return &pb.Claim{
		Member: "m", Service: "s", Key: c.keys[c.random.IntN(len(c.keys))], Fingerprint: 1,
		RequestId: strconv.Itoa(c.id) + "-" + strconv.Itoa(c.seq),
		Owner:     &pb.EntryIdentity{Name: "entry-" + strconv.Itoa(c.id), Incarnation: "1"},
	}
}

func (c *claimant) claim(ctx context.Context, claim *pb.Claim) (status pb.ClaimStatus) {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	in := claimInput{key: claim.GetKey(), request: claim.GetRequestId()}
	c.log.do(c.id, in, func() (any, bool) {
		var resp *pb.ClaimResponse
		err := c.client.CallControl(ctx, func(ctx context.Context, control pb.Control) (err error) {
			resp, err = control.Claim(ctx, &pb.ClaimRequest{ClusterId: c.cluster, Claims: []*pb.Claim{claim}})
			return err
		})
		if err != nil {
			return claimOutput{}, false
		}
		status = resp.GetResults()[0].GetStatus()
		return claimOutput{known: true, status: status}, true
	})
	return status
}

func (c *claimant) settle(ctx context.Context, claim *pb.Claim, end pb.ClaimStatus) {
	ctx, cancel := withTimeout(ctx)
	defer cancel()
	in := claimInput{key: claim.GetKey(), request: claim.GetRequestId(), settle: end}
	c.log.do(c.id, in, func() (any, bool) {
		err := c.client.CallControl(ctx, func(ctx context.Context, control pb.Control) error {
			_, err := control.Settle(ctx, &pb.SettleRequest{
				ClusterId: c.cluster, Settlements: []*pb.Settlement{{Claim: claim, Status: end}},
			})
			return err
		})
		return claimOutput{known: err == nil}, err == nil
	})
}

// newKeys gives keys of now.
func newKeys(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = uuid.Must(uuid.NewV7()).String()
	}
	return keys
}
