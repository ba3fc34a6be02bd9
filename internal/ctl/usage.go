package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// windowTimeFormat shows fractions of a second only for windows that have them.
const windowTimeFormat = "2006-01-02T15:04:05.999Z07:00"

func newUsageCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "usage", Short: "Show the windows of members' usage that are decided, and those that are not reported",
		Args: cobra.NoArgs,
		RunE: o.withClient(func(ctx context.Context, c *Client, out io.Writer, _ []string) error {
			resp, err := c.Usage(ctx)
			if err != nil {
				return err
			}
			return o.printResult(out, resp, func(w io.Writer) error { return printUsage(w, resp) })
		}),
	}
}

// Usage returns the state of the reports of members' usage. Errors: Refused, NoAnswer.
//
// Failure: replicas are upgraded one after the other. A follower of an older build doesn't know the
// call, and its refusal would hide the answer of the leader. So the leader is found first, with a
// call that all builds know.
func (c *Client) Usage(ctx context.Context) (*pb.UsageResponse, error) {
	if _, err := c.Replicas(ctx); err != nil {
		return nil, err
	}
	var resp *pb.UsageResponse
	var unknownCall bool
	err := c.Call(ctx, func(ctx context.Context, op pb.Operator) (err error) {
		resp, err = op.Usage(ctx, &pb.UsageRequest{ClusterId: c.cluster})
		t, ok := err.(twirp.Error)
		unknownCall = ok && t.Code() == twirp.BadRoute
		return err
	})
	if unknownCall {
		return nil, Refused.Wrap(err, "the control replica at %s is of an older build that can't show usage", c.Leader())
	}
	return resp, err
}

func printUsage(w io.Writer, resp *pb.UsageResponse) error {
	printUsageHolder(w, resp)
	if last := resp.GetLastDecided(); last != nil {
		fmt.Fprintf(w, "last decided window: %d, %s to %s\n", last.GetWindow(),
			windowTime(last.GetStartUnixMs()), windowTime(last.GetEndUnixMs()))
	} else if resp.GetConfigured() {
		fmt.Fprintln(w, "last decided window: none")
	}
	if len(resp.GetUnreported()) > 0 {
		return printUnreported(w, resp.GetUnreported())
	}
	if resp.GetLastDecided() != nil {
		fmt.Fprintln(w, "all decided windows are reported")
	}
	return nil
}

func printUsageHolder(w io.Writer, resp *pb.UsageResponse) {
	if !resp.GetConfigured() {
		fmt.Fprintf(w, "usage accounting: not configured at the leader, replica %d\n", resp.GetLeader())
		return
	}
	fmt.Fprintf(w, "usage accounting: windows of %v, reports due %v after\n",
		milliseconds(resp.GetWindowMs()), milliseconds(resp.GetReportDelayMs()))
	fenced := ""
	if resp.GetFenced() {
		fenced = ", fenced: another holder has a higher token"
	}
	fmt.Fprintf(w, "duty holder: replica %d (%s), token %d%s\n", resp.GetLeader(), resp.GetHolder(), resp.GetTerm(), fenced)
}

func printUnreported(w io.Writer, reports []*pb.UsageReport) error {
	fmt.Fprintln(w)
	t := newTable(w)
	fmt.Fprintln(t, "WINDOW\tSTART\tEND\tMEMBERS\tREQUESTS\tTRIES\tCALLING\tLAST RESULT\tREASON")
	for _, r := range reports {
		span := r.GetSpan()
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%d\t%d\t%v\t%s\t%s\n", span.GetWindow(),
			windowTime(span.GetStartUnixMs()), windowTime(span.GetEndUnixMs()), r.GetMembers(), r.GetRequests(),
			r.GetTries(), r.GetCalling(), cmp.Or(r.GetResult(), "-"), cmp.Or(r.GetReason(), "-"))
	}
	return t.Flush()
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// windowTime returns a window's start or end as text; it is not known without the window's length.
func windowTime(unixMS int64) string {
	if unixMS == 0 {
		return "-"
	}
	return time.UnixMilli(unixMS).UTC().Format(windowTimeFormat)
}
