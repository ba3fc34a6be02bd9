package main

import (
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/testbed/measure"
)

func newOverhead() *cobra.Command {
	var o measure.Options
	cmd := &cobra.Command{
		Use: "overhead", Short: "Measure the latency that entries add to tokens and their cost per stream", Args: cobra.NoArgs,
		Long: "overhead starts a deployment on loopback and compares streams through entries with\n" +
			"streams at the stand-in engines, side by side in one run; it then measures tokens\n" +
			"relayed per core-second and memory per open stream. It prints JSON.",
		Example: "  goldcrest-load overhead --bin bin --deploy deploy",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			dir, err := os.MkdirTemp("", "goldcrest-overhead-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			o.Dir = dir
			report, err := measure.Run(ctx, o)
			if err != nil {
				return err
			}
			enc := json.NewEncoder(cmd.OutOrStdout())
			enc.SetIndent("", "  ")
			return enc.Encode(report)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Deployment, "deployment", "qalhat", "qalhat or qazaq")
	f.StringVar(&o.BinDir, "bin", "bin", "directory with the programs")
	f.StringVar(&o.DeployDir, "deploy", "deploy", "directory with the deployments")
	f.IntVar(&o.Pairs, "pairs", 200, "pairs of streams for the latency")
	f.IntVar(&o.Concurrency, "width", 10, "pairs in parallel")
	f.IntVar(&o.Streams, "streams", 200, "parallel streams for the relay")
	f.IntSliceVar(&o.StreamCounts, "sizes", []int{0, 200, 400, 600, 800}, "numbers of open streams for the memory")
	return cmd
}
