package runner

import (
	"context"
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/ctl"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// joinInterval is how often a replica that is not a member asks to be added.
	joinInterval = 500 * time.Millisecond
	// joinTimeout bounds one attempt, over all replicas.
	joinTimeout = 2 * time.Second
)

// join asks the group to add this replica while it is not on the member list.
func (r *Runner) join(ctx context.Context) {
	if !r.cfg.BootstrapFromControl {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinInterval):
		}
		if r.isMember() {
			continue
		}
		if err := r.requestJoin(ctx); err != nil {
			r.log.Info("replica not added to the group yet", "error", err.Error())
		}
	}
}

func (r *Runner) isMember() bool {
	id := r.store.Identity().GetId()
	return slices.ContainsFunc(r.loop.currentGroup().members.GetMembers(), func(m *pb.ReplicaMember) bool {
		return m.GetIdentity().GetId() == id
	})
}

func (r *Runner) requestJoin(ctx context.Context) error {
	others := r.knownReplicas()
	if len(others) == 0 {
		return Failed.New("no other replica's address is known")
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	identity := r.store.Identity()
	client := ctl.NewClient(r.cfg.Cluster, others, r.auth)
	var resp *pb.JoinResponse
	err := client.Call(ctx, func(ctx context.Context, c pb.Operator) error {
		var err error
		resp, err = c.Join(ctx, &pb.JoinRequest{ClusterId: r.cfg.Cluster, Member: &pb.ReplicaMember{
			Identity: &pb.ReplicaIdentity{Id: identity.GetId(), Incarnation: identity.GetIncarnation()},
			Address:  r.cfg.Address, DataCentre: r.cfg.DataCentre, Region: r.cfg.Region,
		}})
		return err
	})
	if resp.GetRemoved() {
		r.loop.post(control.Consensus{Event: consensus.RemovedByPeer{}})
	}
	if err == nil {
		r.loop.post(control.LeaderFound{Leader: client.Leader(), Term: resp.GetTerm(), Replicas: resp.GetReplicas()})
	}
	return err
}

// knownReplicas returns the addresses of other replicas to ask: the leader if it is known, the
// seeds, and the members as last heard of.
func (r *Runner) knownReplicas() []string {
	g := r.loop.currentGroup()
	var addresses []string
	for _, a := range slices.Concat([]string{g.leaderAddress}, *r.seeds.Load(), g.replicas) {
		if a != "" && a != r.cfg.Address && !slices.Contains(addresses, a) {
			addresses = append(addresses, a)
		}
	}
	return addresses
}
