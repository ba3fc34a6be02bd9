package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/capacity"
	"goldcrestseam.dev/goldcrestseam/internal/cli"
)

func newCapacity() *cobra.Command {
	var docs string
	var processes capacity.ProcessOptions
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure how costs grow with size and update docs/CAPACITY.md",
		Long: `capacity measures how costs grow with size, fits lines, and rewrites the tables and
plots of the capacity page. It takes some minutes; run nothing else meanwhile.`,
		Example: "  goldcrest-load capacity --docs docs",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fits, err := capacity.Measure(processes, func(f capacity.Fit) {
				fmt.Fprintf(cmd.OutOrStdout(), "%-32s %10.2f + %10.4f per %s (R² %.3f)\n",
					f.Name, f.Intercept, f.PerUnit, f.SizeName, f.RSquared)
			})
			if err != nil {
				return cli.WithCode(cli.ExitFailed, err)
			}
			return fits.Write(docs)
		},
	}
	f := cmd.Flags()
	f.StringVar(&docs, "docs", "docs", "directory with CAPACITY.md")
	f.StringVar(&processes.Bin, "bin", "bin", "directory with the programs")
	f.StringVar(&processes.Deploy, "deploy", "deploy", "directory with the deployments")
	f.DurationVar(&processes.ObservationTime, "observe", 10*time.Second, "how long to measure each deployment without callers")
	return cmd
}
