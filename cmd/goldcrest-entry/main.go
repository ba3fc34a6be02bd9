// Command goldcrest-entry stands between callers and backend servers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
	"goldcrestseam.dev/goldcrestseam/internal/traffic"
)

func main() {
	root := cli.NewRoot("goldcrest-entry", "Serve callers at one entry VM",
		"goldcrest-entry takes callers' requests, decides what is let in and where it runs, and\nbrings the answers back. It keeps no durable state.")
	root.AddCommand(newRun(), newCheckSettings())
	cli.Main(root)
}

func newRun() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "run --settings FILE",
		Short: "Serve until SIGTERM or SIGINT, then stop gracefully",
		Long: "Serve until SIGTERM or SIGINT, then stop gracefully: leave the address answers, serve\n" +
			"callers that hold older ones, finish what runs. A second signal changes nothing.",
		Example: "  goldcrest-entry run --settings /etc/goldcrest/entry.yaml",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return run(file) },
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (YAML)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func run(file string) error {
	s, findings := settings.LoadEntry(file)
	if len(findings) > 0 {
		return cli.Invalid(findings)
	}
	// The channel stays registered until the end: a second signal must not
	// fall back to the default, which would kill the process and cut streams.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := traffic.New(s, obs.NewLogger(os.Stderr, s.Name, s.Log))
	if err != nil {
		return cli.WithCode(cli.ExitFailed, err)
	}
	go func() {
		<-signals
		cancel()
	}()
	return cli.WithCode(cli.ExitFailed, server.Run(ctx))
}

func newCheckSettings() *cobra.Command {
	return &cobra.Command{
		Use:     "check-settings FILE",
		Short:   "Check a settings file and print all findings",
		Example: "  goldcrest-entry check-settings /etc/goldcrest/entry.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			if _, findings := settings.LoadEntry(files[0]); len(findings) > 0 {
				return cli.Invalid(findings)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: no findings\n", files[0])
			return nil
		},
	}
}
