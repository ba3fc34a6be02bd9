package ctl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// applyPollInterval is how often apply --wait queries whether all entries use the revision. Entries
// usually adopt it within a round trip.
const applyPollInterval = 50 * time.Millisecond

func newApplyCommand(o *options) *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use: "apply FILE", Short: "Put a declaration in force", Args: cobra.ExactArgs(1),
		Long: "apply puts a declaration in force. Its revision must be above the one in force and\n" +
			"its base must be the one in force; else the refusal names the author of that one.\n" +
			"It is safe to run again after a lost answer: the same file gets the same answer.",
		Example: "  goldcrestctl apply deploy/qazaq/declaration.yaml --wait --settings control.yaml",
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "return only when the declaration is in force at all live entries")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		d, findings := declaration.Load(args[0])
		if len(findings) > 0 {
			return cli.Invalid(findings)
		}
		return o.withClient(func(ctx context.Context, c *Client, out io.Writer, _ []string) error {
			return o.apply(ctx, c, out, d.ToProto(), wait)
		})(cmd, args)
	}
	return cmd
}

func (o *options) apply(ctx context.Context, c *Client, out io.Writer, d *pb.Declaration, wait bool) error {
	resp, err := c.Apply(ctx, d)
	if err != nil {
		return err
	}
	if !resp.GetAccepted() {
		return Refused.New("%s", resp.GetRefusal())
	}
	if wait {
		if err := c.WaitInForce(ctx, d.GetRevision()); err != nil {
			return err
		}
	}
	return o.printResult(out, resp, func(w io.Writer) error {
		note := ""
		if resp.GetRepeated() {
			note = " (by an earlier call)"
		}
		_, err := fmt.Fprintf(w, "revision %d accepted%s; revision %d is in force\n",
			d.GetRevision(), note, resp.GetCurrentRevision())
		return err
	})
}

// Apply applies a declaration. The response says whether it was accepted. Errors: Refused, NoAnswer.
func (c *Client) Apply(ctx context.Context, d *pb.Declaration) (*pb.ApplyResponse, error) {
	var resp *pb.ApplyResponse
	err := c.Call(ctx, func(ctx context.Context, op pb.Operator) (err error) {
		resp, err = op.Apply(ctx, &pb.ApplyRequest{ClusterId: c.cluster, Declaration: d})
		return err
	})
	return resp, err
}

// WaitInForce waits until the revision, or a later one, is in force at every live entry. Errors:
// Refused, NoAnswer.
func (c *Client) WaitInForce(ctx context.Context, revision uint64) error {
	for {
		st, err := c.Status(ctx)
		if err != nil {
			return err
		}
		waitingFor := entriesBelow(st, revision)
		if len(waitingFor) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return NoAnswer.New("accepted, but not yet in force at %v", waitingFor)
		case <-time.After(applyPollInterval):
		}
	}
}

func entriesBelow(st *pb.StatusResponse, revision uint64) []string {
	var list []string
	for _, e := range st.GetEntries() {
		if e.GetRevision() < revision {
			list = append(list, e.GetIdentity().GetName())
		}
	}
	return list
}

func newPlanCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "plan FILE", Short: "Show what applying a declaration would change", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, findings := declaration.Load(args[0])
			if len(findings) > 0 {
				return cli.Invalid(findings)
			}
			return o.withClient(func(ctx context.Context, c *Client, out io.Writer, _ []string) error {
				current, err := c.Declaration(ctx)
				if err != nil {
					return err
				}
				next := d.ToProto()
				diff := diffDeclarations(current, next)
				return o.printResult(out, &pb.Declaration{Revision: next.GetRevision(), Base: current.GetRevision(), Objects: diff.changed},
					func(w io.Writer) error { return diff.print(w, current, next) })
			})(cmd, args)
		},
	}
}

// declarationDiff holds the objects in which a declaration differs from the one in force.
type declarationDiff struct {
	added, changed, removed []*pb.Object
}

func diffDeclarations(current, next *pb.Declaration) declarationDiff {
	var diff declarationDiff
	unmatched := make(map[string]*pb.Object, len(current.GetObjects()))
	for _, o := range current.GetObjects() {
		unmatched[objectName(o)] = o
	}
	for _, o := range next.GetObjects() {
		previous := unmatched[objectName(o)]
		delete(unmatched, objectName(o))
		switch {
		case previous == nil:
			diff.added = append(diff.added, o)
		case !bytes.Equal(previous.GetContent(), o.GetContent()):
			diff.changed = append(diff.changed, o)
		}
	}
	for _, o := range current.GetObjects() {
		if unmatched[objectName(o)] != nil {
			diff.removed = append(diff.removed, o)
		}
	}
	return diff
}

func objectName(o *pb.Object) string { return o.GetKind() + " " + o.GetName() }

func (d declarationDiff) print(w io.Writer, current, next *pb.Declaration) error {
	fmt.Fprintf(w, "revision %d by %s is in force; this file is revision %d against base %d\n",
		current.GetRevision(), current.GetAuthor(), next.GetRevision(), next.GetBase())
	if next.GetBase() != current.GetRevision() || next.GetRevision() <= current.GetRevision() {
		fmt.Fprintln(w, "it would be refused: its base is not the revision in force, or its revision is not above it")
	}
	for _, part := range []struct {
		sign    string
		objects []*pb.Object
	}{{"+", d.added}, {"~", d.changed}, {"-", d.removed}} {
		for _, o := range part.objects {
			fmt.Fprintf(w, "%s %s %s\n", part.sign, objectName(o), o.GetContent())
		}
	}
	if len(d.added)+len(d.changed)+len(d.removed) == 0 {
		fmt.Fprintln(w, "no change")
	}
	return nil
}
