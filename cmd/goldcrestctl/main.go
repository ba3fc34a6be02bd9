// Command goldcrestctl is the operators' tool.
package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

func main() {
	root := cli.NewRoot("goldcrestctl", "Operate a goldcrestseam deployment",
		"goldcrestctl checks and applies declarations and shows and changes what runs.")
	root.AddCommand(newValidate())
	cli.Main(root)
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
