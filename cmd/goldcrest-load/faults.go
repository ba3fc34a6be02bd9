package main

import (
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/proof"
)

func newFaults() *cobra.Command {
	var bin, root string
	var seeds int
	cmd := &cobra.Command{
		Use: "faults", Short: "Measure what callers see when processes fail under load", Args: cobra.NoArgs,
		Long: "faults runs the same load with each fault in its middle, on a new deployment each\n" +
			"time, and prints as JSON the share of accepted requests with a complete answer and\n" +
			"the pauses that callers saw.",
		Example: "  goldcrest-load faults --bin bin --root . --seeds 5",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			dir, err := os.MkdirTemp("", "goldcrest-faults-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			reports, err := proof.MeasureFaults(ctx, root, bin, dir, seeds)
			if err != nil {
				return err
			}
			enc := json.NewEncoder(cmd.OutOrStdout())
			enc.SetIndent("", "  ")
			return enc.Encode(reports)
		},
	}
	f := cmd.Flags()
	f.StringVar(&bin, "bin", "bin", "directory with the programs")
	f.StringVar(&root, "root", ".", "the source tree, for deploy/")
	f.IntVar(&seeds, "seeds", 3, "trials of each fault")
	return cmd
}
