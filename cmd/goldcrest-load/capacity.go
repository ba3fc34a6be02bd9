package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/capacity"
	"goldcrestseam.dev/goldcrestseam/internal/cli"
)

func newCapacity() *cobra.Command {
	var docs string
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure slopes and renew docs/CAPACITY.md",
		Long: `capacity measures how costs grow with sizes, fits lines, and renews the tables
and plots of the capacity page. It takes a minute or two; run nothing beside it.`,
		Example: "  goldcrest-load capacity --docs docs",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fits, err := capacity.Measure(func(f capacity.Fit) {
				fmt.Fprintf(cmd.OutOrStdout(), "%-32s %10.2f + %10.4f per %s (R² %.3f)\n",
					f.Name, f.Intercept, f.PerUnit, f.Size, f.RSquared)
			})
			if err != nil {
				return cli.WithCode(cli.ExitFailed, err)
			}
			return fits.Write(docs)
		},
	}
	cmd.Flags().StringVar(&docs, "docs", "docs", "folder with CAPACITY.md")
	return cmd
}
