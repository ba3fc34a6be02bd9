package runner

import (
	"context"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/ctl"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Guards against a group that bears one loss less right after a machine was removed as planned, though its successor
// has long been there: the voter stops, and is listed until its silence has lasted.
func TestStoppedVoterHasHandedItsPlaceOver(t *testing.T) {
	t.Parallel()
	const voters, stopped = 5, 4
	g := newReplicaGroup(t, voters+1)
	defer g.stopAll()
	for n := range voters {
		g.start(n, true)
	}
	g.awaitVoters(nobody)
	g.start(voters, false)
	g.awaitJoiner()
	g.stops[stopped]()
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	var resp *pb.ListReplicasResponse
	err := ctl.NewClient("test", g.addresses, trustedAuth(t)).Call(ctx, func(ctx context.Context, c pb.Operator) (err error) {
		resp, err = c.ListReplicas(ctx, &pb.ListReplicasRequest{ClusterId: "test"})
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if !g.isWhole(resp.GetReplicas(), stopped) {
		t.Errorf("as the voter has stopped the group is %v, want five voters without it", resp.GetReplicas())
	}
}

// Guards against a planned stop that takes longer, or a group that shrinks, where nobody can take the place.
func TestHandOverNeedsASuccessor(t *testing.T) {
	t.Parallel()
	const voters, stopped = 5, 4
	g := newReplicaGroup(t, voters)
	defer g.stopAll()
	g.startAll(true)
	g.awaitVoters(nobody)
	g.stops[stopped]()
	g.start(stopped, false)
	g.awaitVoters(nobody)
}
