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

// NewRoot gives goldcrestctl's command line.
func NewRoot() *cobra.Command {
	root := cli.NewRoot("goldcrestctl", "Operate a goldcrestseam deployment",
		"goldcrestctl checks and applies declarations and shows and changes what runs.")
	o := &options{}
	o.add(root)
	root.AddCommand(
		newValidate(), newPlan(o), newApply(o),
		newStatus(o), newEntries(o),
		newDrain(o, "drain", "Take a backend server out: it gets no new work", true),
		newDrain(o, "undrain", "Give a drained backend server work again", false),
		newRoles(o), newReplica(o), newExplain(),
	)
	return root
}

func newValidate() *cobra.Command {
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

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show declaration, entries, backend servers, orders and quarantine",
		Args: cobra.NoArgs,
		RunE: o.run(func(ctx context.Context, c *Client, out io.Writer, _ []string) error {
			st, err := c.Status(ctx)
			if err != nil {
				return err
			}
			return o.print(out, st, func(w io.Writer) error { return printStatus(w, st) })
		}),
	}
}

func newEntries(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "entries", Short: "Show the entries that are alive", Args: cobra.NoArgs,
		RunE: o.run(func(ctx context.Context, c *Client, out io.Writer, _ []string) error {
			st, err := c.Status(ctx)
			if err != nil {
				return err
			}
			only := &pb.StatusResponse{Revision: st.GetRevision(), ViewVersion: st.GetViewVersion(), Entries: st.GetEntries()}
			return o.print(out, only, func(w io.Writer) error { return printEntries(w, st.GetEntries()) })
		}),
	}
}

// Status asks for the deployment's status. Errors: Refused, NoAnswer.
func (c *Client) Status(ctx context.Context) (*pb.StatusResponse, error) {
	var st *pb.StatusResponse
	err := c.Call(ctx, func(ctx context.Context, op pb.Operator) (err error) {
		st, err = op.Status(ctx, &pb.StatusRequest{ClusterId: c.cluster})
		return err
	})
	return st, err
}

// Declaration asks for the declaration in force. Errors: Refused, NoAnswer.
func (c *Client) Declaration(ctx context.Context) (*pb.Declaration, error) {
	var resp *pb.GetDeclarationResponse
	err := c.Call(ctx, func(ctx context.Context, op pb.Operator) (err error) {
		resp, err = op.GetDeclaration(ctx, &pb.GetDeclarationRequest{ClusterId: c.cluster})
		return err
	})
	return resp.GetDeclaration(), err
}
