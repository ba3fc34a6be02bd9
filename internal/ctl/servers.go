package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// addRequestID adds the flag --request-id, with which a command can be run again without making its
// change twice.
func addRequestID(cmd *cobra.Command, id *string) {
	cmd.Flags().StringVar(id, "request-id", "",
		"idempotency key: pass the same id to run a command again after a lost answer (default: a new id)")
}

func newDrainCommand(o *options, use, short string, drained bool) *cobra.Command {
	var requestID string
	cmd := &cobra.Command{Use: use + " SERVER", Short: short, Args: cobra.ExactArgs(1)}
	addRequestID(cmd, &requestID)
	cmd.RunE = o.withClient(func(ctx context.Context, c *Client, out io.Writer, args []string) error {
		req := &pb.DrainRequest{
			ClusterId: c.cluster, Server: args[0], Drained: drained, RequestId: requestIDOrNew(requestID),
		}
		var resp *pb.DrainResponse
		err := c.Call(ctx, func(ctx context.Context, op pb.Operator) (err error) {
			resp, err = op.Drain(ctx, req)
			return err
		})
		if err != nil {
			return err
		}
		return o.printResult(out, resp, func(w io.Writer) error {
			_, err := fmt.Fprintf(w, "%s: drained %v\n", resp.GetServer().GetId(), resp.GetServer().GetDrained())
			return err
		})
	})
	return cmd
}

func requestIDOrNew(id string) string {
	if id == "" {
		return uuid.NewString()
	}
	return id
}

func newRolesCommand(o *options) *cobra.Command {
	var requestID string
	cmd := &cobra.Command{
		Use: "roles [SERVER prefill|decode|mixed]", Short: "Show engines' roles, or change one",
		Args: cobra.MatchAll(cobra.MaximumNArgs(2), func(_ *cobra.Command, args []string) error {
			if len(args) == 1 {
				return usageError("name the role too: prefill, decode or mixed")
			}
			return nil
		}),
	}
	addRequestID(cmd, &requestID)
	cmd.RunE = o.withClient(func(ctx context.Context, c *Client, out io.Writer, args []string) error {
		if len(args) == 0 {
			return o.showRoles(ctx, c, out)
		}
		return o.changeRole(ctx, c, out, args[0], args[1], requestIDOrNew(requestID))
	})
	return cmd
}

func (o *options) showRoles(ctx context.Context, c *Client, out io.Writer) error {
	st, err := c.Status(ctx)
	if err != nil {
		return err
	}
	var engines []*pb.ServerStatus
	for _, s := range st.GetServers() {
		if s.GetServer().GetKind() == pb.ServerKind_SERVER_KIND_MODEL {
			engines = append(engines, s)
		}
	}
	shown := &pb.StatusResponse{Servers: engines, RoleChanges: st.GetRoleChanges()}
	return o.printResult(out, shown, func(w io.Writer) error { return printServers(w, engines) })
}

func (o *options) changeRole(ctx context.Context, c *Client, out io.Writer, server, role, requestID string) error {
	engineRole, err := parseRole(role)
	if err != nil {
		return err
	}
	var resp *pb.ChangeRoleResponse
	err = c.Call(ctx, func(ctx context.Context, op pb.Operator) (err error) {
		resp, err = op.ChangeRole(ctx, &pb.ChangeRoleRequest{
			ClusterId: c.cluster, Server: server, Role: engineRole, RequestId: requestID,
		})
		return err
	})
	if err != nil {
		return err
	}
	order := resp.GetOrder()
	if order.GetState() == pb.OrderState_ORDER_STATE_REFUSED {
		return Refused.New("%s", order.GetReason())
	}
	return o.printResult(out, resp, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "order %s to %s: %s\n", order.GetId(), order.GetServer(),
			enumText(order.GetState().String(), "ORDER_STATE_"))
		return err
	})
}

func parseRole(role string) (pb.EngineRole, error) {
	switch role {
	case "prefill":
		return pb.EngineRole_ENGINE_ROLE_PREFILL, nil
	case "decode":
		return pb.EngineRole_ENGINE_ROLE_DECODE, nil
	case "mixed":
		return pb.EngineRole_ENGINE_ROLE_MIXED, nil
	}
	return 0, usageError(fmt.Sprintf("%q is none of prefill, decode, mixed", role))
}
