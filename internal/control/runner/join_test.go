package runner

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/ctl"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Guards against a group that replaces nobody any more: a replica that waits was added and removed while it was away,
// has no member list, and asks to be added under the identity that was removed.
func TestSpareRemovedWhileAwayEndsToJoinAgain(t *testing.T) {
	t.Parallel()
	const spare = 5
	g := newReplicaGroup(t, spare+1)
	for n := range spare {
		g.start(n, true)
	}
	defer g.stopAll()
	g.awaitVoters(nobody)
	g.start(spare, false)
	g.stops[spare]()
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	client := ctl.NewClient("test", g.addresses[:spare], trustedAuth(t))
	identity := &pb.ReplicaIdentity{Id: g.identities[spare].GetId(), Incarnation: g.identities[spare].GetIncarnation()}
	member := &pb.ReplicaMember{Identity: identity, Address: g.addresses[spare]}
	for _, change := range []pb.ReplicaChange{pb.ReplicaChange_REPLICA_CHANGE_ADD, pb.ReplicaChange_REPLICA_CHANGE_REMOVE} {
		err := client.Call(ctx, func(ctx context.Context, c pb.Operator) error {
			_, err := c.ChangeReplica(ctx, &pb.ChangeReplicaRequest{ClusterId: "test", Change: change, Member: member})
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	g.start(spare, false)
	select {
	case err := <-g.ended[spare]:
		if !errorx.IsOfType(err, Removed) {
			t.Errorf("the replica ends with %v, want Removed", err)
		}
	case <-time.After(groupTimeout):
		t.Errorf("the replica still asks to be added after %v", groupTimeout)
	}
}
