package ctl

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// promotionInterval is how often replace looks whether the new replica votes.
const promotionInterval = 200 * time.Millisecond

// deadAfter is for how long a voter must have been silent to count as lost: five
// election timeouts by default.
const deadAfter = 2 * time.Second

// newReplicaFlags are what a replica is added with.
type newReplicaFlags struct{ address, dataCentre, region string }

func (f *newReplicaFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "address", "", "its address, IP:port")
	cmd.Flags().StringVar(&f.dataCentre, "data-centre", "", "its data centre")
	cmd.Flags().StringVar(&f.region, "region", "", "its region")
}

func newReplica(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "replica", Short: "Show and change the replicas of the control group"}
	cmd.AddCommand(newReplicaList(o), newReplicaAdd(o), newReplicaRemove(o), newReplicaReplace(o))
	return cmd
}

func newReplicaList(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "Show the replicas", Args: cobra.NoArgs,
		RunE: o.run(func(ctx context.Context, c *Client, out io.Writer, _ []string) error {
			resp, err := c.Replicas(ctx)
			if err != nil {
				return err
			}
			return o.print(out, resp, func(w io.Writer) error { return printReplicas(w, resp) })
		}),
	}
}

func printReplicas(w io.Writer, resp *pb.ListReplicasResponse) error {
	fmt.Fprintf(w, "term %d, committed %d\n", resp.GetTerm(), resp.GetCommitIndex())
	t := table(w)
	fmt.Fprintln(t, "REPLICA\tADDRESS\tDATA CENTRE\tROLE\tLEADER\tSYNCED\tANSWERS")
	for _, r := range resp.GetReplicas() {
		m := r.GetMember()
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%v\t%d\t%v\n", m.GetIdentity().GetId(), m.GetAddress(), m.GetDataCentre(),
			lower(m.GetRole().String(), "REPLICA_ROLE_"), r.GetLeader(), r.GetMatchIndex(), r.GetRecentlyActive())
	}
	return t.Flush()
}

func newReplicaAdd(o *options) *cobra.Command {
	var f newReplicaFlags
	cmd := &cobra.Command{
		Use: "add ID --address IP:PORT", Args: cobra.ExactArgs(1),
		Short: "Add a replica: it learns first and votes once it has caught up",
	}
	f.add(cmd)
	cmd.RunE = o.run(func(ctx context.Context, c *Client, out io.Writer, args []string) error {
		id, err := parseReplica(args[0])
		if err != nil {
			return err
		}
		return c.addReplica(ctx, out, id, f)
	})
	return cmd
}

func newReplicaRemove(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "remove ID", Short: "Remove a replica for good", Args: cobra.ExactArgs(1),
		RunE: o.run(func(ctx context.Context, c *Client, out io.Writer, args []string) error {
			id, err := parseReplica(args[0])
			if err != nil {
				return err
			}
			return c.removeReplica(ctx, out, id)
		}),
	}
}

func newReplicaReplace(o *options) *cobra.Command {
	var f newReplicaFlags
	cmd := &cobra.Command{
		Use: "replace OLD NEW --address IP:PORT", Args: cobra.ExactArgs(2),
		Short: "Add a replica, wait until it votes, then remove the old one",
		Long: "replace adds the new replica, waits until it has synced everything committed and\n" +
			"votes, and only then removes the old one: a replica lost in between costs nothing.\n" +
			"With the same id twice (a VM that came back with an empty disk) the old one, which\n" +
			"can't vote any more, is removed first. It is safe to run again.",
	}
	f.add(cmd)
	cmd.RunE = o.run(func(ctx context.Context, c *Client, out io.Writer, args []string) error {
		old, err := parseReplica(args[0])
		if err != nil {
			return err
		}
		id, err := parseReplica(args[1])
		if err != nil {
			return err
		}
		return c.replaceReplica(ctx, out, old, id, f)
	})
	return cmd
}

func parseReplica(arg string) (uint64, error) {
	id, err := strconv.ParseUint(arg, 10, 64)
	if err != nil || id == 0 {
		return 0, usage(fmt.Sprintf("%q is not a replica id", arg))
	}
	return id, nil
}

// Replicas lists the control group. Errors: Refused, NoAnswer.
func (c *Client) Replicas(ctx context.Context) (*pb.ListReplicasResponse, error) {
	var resp *pb.ListReplicasResponse
	err := c.Call(ctx, func(ctx context.Context, op pb.Operator) (err error) {
		resp, err = op.ListReplicas(ctx, &pb.ListReplicasRequest{ClusterId: c.cluster})
		return err
	})
	return resp, err
}

func (c *Client) member(ctx context.Context, id uint64) (*pb.ReplicaMember, error) {
	r, err := c.replica(ctx, id)
	return r.GetMember(), err
}

// addReplica adds unless the replica is there: the answer to an earlier call may
// have been lost.
func (c *Client) addReplica(ctx context.Context, out io.Writer, id uint64, f newReplicaFlags) error {
	if f.address == "" {
		return usage("--address is needed")
	}
	known, err := c.member(ctx, id)
	if err != nil {
		return err
	}
	if known != nil && known.GetAddress() != f.address {
		return Refused.New("replica %d is there already, at %s", id, known.GetAddress())
	}
	if known == nil {
		member := &pb.ReplicaMember{
			Identity: &pb.ReplicaIdentity{Id: id}, Address: f.address, DataCentre: f.dataCentre, Region: f.region,
		}
		if err := c.changeReplica(ctx, pb.ReplicaChange_REPLICA_CHANGE_ADD, member, true); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "replica %d is added\n", id)
	return err
}

func (c *Client) removeReplica(ctx context.Context, out io.Writer, id uint64) error {
	known, err := c.member(ctx, id)
	if err != nil {
		return err
	}
	if known != nil {
		member := &pb.ReplicaMember{Identity: &pb.ReplicaIdentity{Id: id}}
		if err := c.changeReplica(ctx, pb.ReplicaChange_REPLICA_CHANGE_REMOVE, member, false); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "replica %d is removed\n", id)
	return err
}

// changeReplica makes one change. A call that was sent twice may find its change
// made and be refused for it, so the member list has the last word.
func (c *Client) changeReplica(ctx context.Context, change pb.ReplicaChange, m *pb.ReplicaMember, present bool) error {
	err := c.Call(ctx, func(ctx context.Context, op pb.Operator) error {
		_, err := op.ChangeReplica(ctx, &pb.ChangeReplicaRequest{ClusterId: c.cluster, Change: change, Member: m})
		return err
	})
	if err == nil {
		return nil
	}
	known, listErr := c.member(ctx, m.GetIdentity().GetId())
	if listErr == nil && (known != nil) == present {
		return nil
	}
	return err
}

func (c *Client) replaceReplica(ctx context.Context, out io.Writer, old, id uint64, f newReplicaFlags) error {
	if old == id {
		if err := c.removeDead(ctx, out, id); err != nil {
			return err
		}
	}
	if err := c.addReplica(ctx, out, id, f); err != nil {
		return err
	}
	if err := c.waitVoter(ctx, id); err != nil {
		return err
	}
	fmt.Fprintf(out, "replica %d votes\n", id)
	if old == id {
		return nil
	}
	return c.removeReplica(ctx, out, old)
}

// removeDead removes a voter that does not answer under its old identity. One
// that answers, or learns, is the new one of an earlier run of the command.
//
// Failure: the command runs right after the VM came back empty, while the leader
// still counts the old life as active; the command would report success and
// leave the group with a voter that can't vote. So only an answer that came
// after the command began shows that the voter lives.
func (c *Client) removeDead(ctx context.Context, out io.Writer, id uint64) error {
	began := time.Now()
	for {
		r, err := c.replica(ctx, id)
		if err != nil {
			return err
		}
		silent := time.Duration(r.GetSilentMs()) * time.Millisecond
		switch {
		case r == nil || r.GetMember().GetRole() == pb.ReplicaRole_REPLICA_ROLE_LEARNER:
			return nil
		case r.GetLeader() || r.GetRecentlyActive() && silent < time.Since(began):
			return nil
		case silent > deadAfter:
			return c.removeReplica(ctx, out, id)
		}
		select {
		case <-ctx.Done():
			return NoAnswer.New("whether replica %d lives is not known; run the command again", id)
		case <-time.After(promotionInterval):
		}
	}
}

func (c *Client) replica(ctx context.Context, id uint64) (*pb.ReplicaStatus, error) {
	resp, err := c.Replicas(ctx)
	for _, r := range resp.GetReplicas() {
		if r.GetMember().GetIdentity().GetId() == id {
			return r, err
		}
	}
	return nil, err
}

func (c *Client) waitVoter(ctx context.Context, id uint64) error {
	for {
		m, err := c.member(ctx, id)
		if err != nil {
			return err
		}
		if m.GetRole() == pb.ReplicaRole_REPLICA_ROLE_VOTER {
			return nil
		}
		select {
		case <-ctx.Done():
			return NoAnswer.New("replica %d is added but has not caught up; run the command again", id)
		case <-time.After(promotionInterval):
		}
	}
}
