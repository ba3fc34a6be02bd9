// Command goldcrest-engine is a stand-in for a backend server: a model engine or a
// plain service with a journal and scripted faults. It runs on test machines only.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/standin/server"
)

func main() {
	root := cli.NewRoot("goldcrest-engine", "Stand-in backend server for tests",
		"goldcrest-engine stands in for a model engine or a plain service on test machines.\nIt announces itself to entries and keeps a journal of what it received and ran. On\nSIGTERM it takes no new work, finishes running requests and exits.")
	root.AddCommand(newRun(), newCheck())
	cli.Main(root)
}

func newRun() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: "run", Short: "Serve until SIGTERM", Args: cobra.NoArgs,
		Example: "  goldcrest-engine run --settings engine-a1.yaml",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return run(ctx, file)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (YAML)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func run(ctx context.Context, file string) error {
	c, findings := server.Load(file)
	if len(findings) > 0 {
		return cli.Invalid(findings)
	}
	s, err := server.New(*c)
	if err != nil {
		return err
	}
	return s.Run(ctx)
}

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check-settings FILE", Short: "Check a settings file and print all findings",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			_, findings := server.Load(files[0])
			return cli.Invalid(findings)
		},
	}
}
