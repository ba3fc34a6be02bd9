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

// replicaPollInterval is how often replace queries the state of a replica.
const replicaPollInterval = 200 * time.Millisecond

// deadVoterSilence is how long a voter must have been silent before it is considered lost: five
// election timeouts by default.
const deadVoterSilence = 2 * time.Second

// addedReplicaFlags holds the flags that describe a replica to be added.
type addedReplicaFlags struct{ address, dataCentre, region string }

func (f *addedReplicaFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "address", "", "address of the replica, IP:port")
	cmd.Flags().StringVar(&f.dataCentre, "data-centre", "", "data centre of the replica")
	cmd.Flags().StringVar(&f.region, "region", "", "region of the replica")
}

func newReplicaCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "replica", Short: "Show and change the replicas of the control group"}
	cmd.AddCommand(newReplicaListCommand(o), newReplicaAddCommand(o), newReplicaRemoveCommand(o), newReplicaReplaceCommand(o))
	return cmd
}

func newReplicaListCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "Show the replicas", Args: cobra.NoArgs,
		RunE: o.withClient(func(ctx context.Context, c *Client, out io.Writer, _ []string) error {
			resp, err := c.Replicas(ctx)
			if err != nil {
				return err
			}
			return o.printResult(out, resp, func(w io.Writer) error { return printReplicas(w, resp) })
		}),
	}
}

func printReplicas(w io.Writer, resp *pb.ListReplicasResponse) error {
	fmt.Fprintf(w, "term %d, committed %d\n", resp.GetTerm(), resp.GetCommitIndex())
	t := newTable(w)
	fmt.Fprintln(t, "REPLICA\tADDRESS\tDATA CENTRE\tROLE\tLEADER\tSYNCED\tANSWERS")
	for _, r := range resp.GetReplicas() {
		m := r.GetMember()
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%v\t%d\t%v\n", m.GetIdentity().GetId(), m.GetAddress(), m.GetDataCentre(),
			enumText(m.GetRole().String(), "REPLICA_ROLE_"), r.GetLeader(), r.GetMatchIndex(), r.GetRecentlyActive())
	}
	return t.Flush()
}

func newReplicaAddCommand(o *options) *cobra.Command {
	var f addedReplicaFlags
	cmd := &cobra.Command{
		Use: "add ID --address IP:PORT", Args: cobra.ExactArgs(1),
		Short: "Add a replica: as a learner first, as a voter once it has caught up",
	}
	f.register(cmd)
	cmd.RunE = o.withClient(func(ctx context.Context, c *Client, out io.Writer, args []string) error {
		id, err := parseReplicaID(args[0])
		if err != nil {
			return err
		}
		return c.addReplica(ctx, out, id, f)
	})
	return cmd
}

func newReplicaRemoveCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "remove ID", Short: "Remove a replica permanently", Args: cobra.ExactArgs(1),
		RunE: o.withClient(func(ctx context.Context, c *Client, out io.Writer, args []string) error {
			id, err := parseReplicaID(args[0])
			if err != nil {
				return err
			}
			return c.removeReplica(ctx, out, id)
		}),
	}
}

func newReplicaReplaceCommand(o *options) *cobra.Command {
	var f addedReplicaFlags
	cmd := &cobra.Command{
		Use: "replace OLD NEW --address IP:PORT", Args: cobra.ExactArgs(2),
		Short: "Add a replica, wait until it votes, then remove the old one",
		Long: "replace adds the new replica, waits until it has synced everything committed and\n" +
			"votes, and only then removes the old one, so that the loss of a replica in between\n" +
			"does no harm. With the same id twice (a VM that came back with an empty disk) the old\n" +
			"replica, which can't vote any more, is removed first. It is safe to run again.",
	}
	f.register(cmd)
	cmd.RunE = o.withClient(func(ctx context.Context, c *Client, out io.Writer, args []string) error {
		oldID, err := parseReplicaID(args[0])
		if err != nil {
			return err
		}
		id, err := parseReplicaID(args[1])
		if err != nil {
			return err
		}
		return c.replaceReplica(ctx, out, oldID, id, f)
	})
	return cmd
}

func parseReplicaID(arg string) (uint64, error) {
	id, err := strconv.ParseUint(arg, 10, 64)
	if err != nil || id == 0 {
		return 0, usageError(fmt.Sprintf("%q is not a replica id", arg))
	}
	return id, nil
}

// Replicas returns the replicas of the control group. Errors: Refused, NoAnswer.
func (c *Client) Replicas(ctx context.Context) (*pb.ListReplicasResponse, error) {
	var resp *pb.ListReplicasResponse
	err := c.Call(ctx, func(ctx context.Context, op pb.Operator) (err error) {
		resp, err = op.ListReplicas(ctx, &pb.ListReplicasRequest{ClusterId: c.cluster})
		return err
	})
	return resp, err
}

func (c *Client) replicaMember(ctx context.Context, id uint64) (*pb.ReplicaMember, error) {
	r, err := c.replicaStatus(ctx, id)
	return r.GetMember(), err
}

// addReplica adds the replica unless it is a member already: the answer to an earlier call may have
// been lost.
func (c *Client) addReplica(ctx context.Context, out io.Writer, id uint64, f addedReplicaFlags) error {
	if f.address == "" {
		return usageError("--address is needed")
	}
	known, err := c.replicaMember(ctx, id)
	if err != nil {
		return err
	}
	if known != nil && known.GetAddress() != f.address {
		return Refused.New("replica %d is already a member, at %s", id, known.GetAddress())
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
	known, err := c.replicaMember(ctx, id)
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

// changeReplica makes one membership change. The second copy of a call that was sent twice may be
// refused because the change has been made. So after an error the member list decides whether the
// change took effect.
func (c *Client) changeReplica(ctx context.Context, change pb.ReplicaChange, m *pb.ReplicaMember, wantPresent bool) error {
	err := c.Call(ctx, func(ctx context.Context, op pb.Operator) error {
		_, err := op.ChangeReplica(ctx, &pb.ChangeReplicaRequest{ClusterId: c.cluster, Change: change, Member: m})
		return err
	})
	if err == nil {
		return nil
	}
	known, listErr := c.replicaMember(ctx, m.GetIdentity().GetId())
	if listErr == nil && (known != nil) == wantPresent {
		return nil
	}
	return err
}

func (c *Client) replaceReplica(ctx context.Context, out io.Writer, oldID, id uint64, f addedReplicaFlags) error {
	if oldID == id {
		if err := c.removeDeadVoter(ctx, out, id); err != nil {
			return err
		}
	}
	if err := c.addReplica(ctx, out, id, f); err != nil {
		return err
	}
	if err := c.waitUntilVoter(ctx, id); err != nil {
		return err
	}
	fmt.Fprintf(out, "replica %d votes\n", id)
	if oldID == id {
		return nil
	}
	return c.removeReplica(ctx, out, oldID)
}

// removeDeadVoter removes a voter that no longer answers under its old identity. A replica that
// answers, or is a learner, is the new one that an earlier run of the command added.
//
// Failure: the command runs right after the VM came back with an empty disk, while the leader still
// considers the old incarnation active. The command would report success and leave the group with a
// voter that cannot vote. So only an answer that came after the command started proves that the
// voter is alive.
func (c *Client) removeDeadVoter(ctx context.Context, out io.Writer, id uint64) error {
	startedAt := time.Now()
	for {
		r, err := c.replicaStatus(ctx, id)
		if err != nil {
			return err
		}
		silence := time.Duration(r.GetSilentMs()) * time.Millisecond
		switch {
		case r == nil || r.GetMember().GetRole() == pb.ReplicaRole_REPLICA_ROLE_LEARNER:
			return nil
		case r.GetLeader() || r.GetRecentlyActive() && silence < time.Since(startedAt):
			return nil
		case silence > deadVoterSilence:
			return c.removeReplica(ctx, out, id)
		}
		select {
		case <-ctx.Done():
			return NoAnswer.New("it is not known whether replica %d is alive; run the command again", id)
		case <-time.After(replicaPollInterval):
		}
	}
}

func (c *Client) replicaStatus(ctx context.Context, id uint64) (*pb.ReplicaStatus, error) {
	resp, err := c.Replicas(ctx)
	for _, r := range resp.GetReplicas() {
		if r.GetMember().GetIdentity().GetId() == id {
			return r, err
		}
	}
	return nil, err
}

func (c *Client) waitUntilVoter(ctx context.Context, id uint64) error {
	for {
		m, err := c.replicaMember(ctx, id)
		if err != nil {
			return err
		}
		if m.GetRole() == pb.ReplicaRole_REPLICA_ROLE_VOTER {
			return nil
		}
		select {
		case <-ctx.Done():
			return NoAnswer.New("replica %d is added but has not caught up; run the command again", id)
		case <-time.After(replicaPollInterval):
		}
	}
}
