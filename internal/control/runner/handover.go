package runner

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/ctl"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// handOverTimeout bounds how long a planned stop waits until another replica has taken this one's place as a
	// voter: an addition, catching up, and two changes of the member list.
	handOverTimeout = 2500 * time.Millisecond
	// handOverInterval is the time between two calls, leaderTimeout bounds each: an election may be under way.
	handOverInterval = 100 * time.Millisecond
	leaderTimeout    = time.Second
)

// handOver waits until another replica has taken this voter's place, if one can.
func (r *Runner) handOver() {
	others := r.knownReplicas()
	if r.cfg.TargetVoters() == 0 || len(others) == 0 || !r.isMember() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	client := ctl.NewClient(r.cfg.Cluster, others, r.auth)
	for r.hasSuccessor(ctx, client) {
		select {
		case err := <-r.loop.failed:
			r.log.Info("place handed over", "removed", errorx.IsOfType(err, Removed), "cause", err.Error())
			return
		case <-ctx.Done():
			r.log.Warn("stops before another replica has taken its place", "after_ms", handOverTimeout.Milliseconds())
			return
		case <-time.After(handOverInterval):
		}
	}
}

// hasSuccessor tells the leader that this replica is about to stop, and returns whether another one can take its place.
func (r *Runner) hasSuccessor(ctx context.Context, client *ctl.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	var resp *pb.HandOverResponse
	err := client.Call(ctx, func(ctx context.Context, c pb.Operator) (err error) {
		resp, err = c.HandOver(ctx, &pb.HandOverRequest{ClusterId: r.cfg.Cluster, Replica: r.store.Identity().GetId()})
		return err
	})
	if err != nil {
		r.log.Info("leader not told of the stop", "error", err.Error())
	}
	return resp.GetSuccessor()
}
