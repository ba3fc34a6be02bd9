package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// NewRoot returns the root command of goldcrestctl.
func NewRoot() *cobra.Command {
	root := cli.NewRoot("goldcrestctl", "Operate a goldcrestseam deployment",
		"goldcrestctl checks and applies declarations, and shows and changes the state of a deployment.")
	o := &options{}
	o.addFlags(root)
	root.AddCommand(
		newValidateCommand(), newPlanCommand(o), newApplyCommand(o),
		newStatusCommand(o), newEntriesCommand(o),
		newDrainCommand(o, "drain", "Drain a backend server: it gets no new requests", true),
		newDrainCommand(o, "undrain", "Send requests to a drained backend server again", false),
		newRolesCommand(o), newReplicaCommand(o), newExplainCommand(),
	)
	return root
}

func newValidateCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "validate FILE...",
		Short:   "Check declaration files and print all findings",
		Example: "  goldcrestctl validate deploy/qalhat/declaration.yaml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			for _, file := range files {
				if _, findings := declaration.Load(file); len(findings) > 0 {
					return cli.Invalid(findings)
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: no findings\n", file)
			}
			return nil
		},
	}
}

func newStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the revision in force, entries, backend servers, orders and quarantined requests",
		Args: cobra.NoArgs,
		RunE: o.withClient(func(ctx context.Context, c *Client, out io.Writer, _ []string) error {
			st, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return o.printResult(out, st, func(w io.Writer) error { return printStatus(w, st) })
		}),
	}
}

func newEntriesCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "entries", Short: "Show the live entries", Args: cobra.NoArgs,
		RunE: o.withClient(func(ctx context.Context, c *Client, out io.Writer, _ []string) error {
			st, err := c.Status(ctx)
			if err != nil {
				return err
			}
			shown := &pb.StatusResponse{Revision: st.GetRevision(), ViewVersion: st.GetViewVersion(), Entries: st.GetEntries()}
			return o.printResult(out, shown, func(w io.Writer) error { return printEntries(w, st.GetEntries()) })
		}),
	}
}

// Status returns the status of the deployment. Errors: Refused, NoAnswer.
func (c *Client) Status(ctx context.Context) (*pb.StatusResponse, error) {
	var st *pb.StatusResponse
	err := c.Call(ctx, func(ctx context.Context, op pb.Operator) (err error) {
		st, err = op.Status(ctx, &pb.StatusRequest{ClusterId: c.cluster})
		return err
	})
	return st, err
}

// Declaration returns the declaration in force. Errors: Refused, NoAnswer.
func (c *Client) Declaration(ctx context.Context) (*pb.Declaration, error) {
	var resp *pb.GetDeclarationResponse
	err := c.Call(ctx, func(ctx context.Context, op pb.Operator) (err error) {
		resp, err = op.GetDeclaration(ctx, &pb.GetDeclarationRequest{ClusterId: c.cluster})
		return err
	})
	return resp.GetDeclaration(), err
}
