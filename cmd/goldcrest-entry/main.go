// Command goldcrest-entry accepts callers' requests and forwards them to backend
// servers.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
	"goldcrestseam.dev/goldcrestseam/internal/traffic"
	"goldcrestseam.dev/goldcrestseam/platform"
)

func main() {
	root := cli.NewRoot("goldcrest-entry", "Serve callers at one entry VM",
		"goldcrest-entry accepts callers' requests, decides which are admitted and where they\nrun, and relays the answers. It keeps no durable state.")
	root.AddCommand(newRun(), newCheckSettings())
	cli.Main(root)
}

func newRun() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "run --settings FILE",
		Short: "Serve until SIGTERM or SIGINT, then stop gracefully",
		Long: "Serve until SIGTERM or SIGINT, then stop gracefully: leave the list of entries, serve\n" +
			"callers that hold an older list, finish running requests. A second signal has no effect.",
		Example: "  goldcrest-entry run --settings /etc/goldcrest/entry.yaml",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return run(file) },
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (YAML); $NAME stands for a variable of the environment")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// server is an entry that serves callers over HTTP or over the platform's relay.
type server interface {
	Run(ctx context.Context) error
	Reload(*settings.Entry)
}

func run(file string) error {
	file = os.ExpandEnv(file)
	s, findings := settings.LoadEntry(file)
	if len(findings) > 0 {
		return cli.Invalid(findings)
	}
	cli.LimitMemory(s.MemoryMB)
	out := obs.NewNonBlockingWriter(os.Stdout)
	defer out.Close()
	log := obs.NewLogger(out, s.Name, s.Log)
	ctx := cli.ShutdownContext(context.Background())
	server, err := newServer(s, log)
	if err != nil {
		return cli.WithCode(cli.ExitFailed, err)
	}
	go cli.WatchFile(ctx, file, log, func() {
		if s, findings := settings.LoadEntry(file); len(findings) == 0 {
			server.Reload(s)
		} else {
			log.Error("settings not reloaded", "findings", findings.Err().Error())
		}
	})
	return cli.WithCode(cli.ExitFailed, server.Run(ctx))
}

func newServer(s *settings.Entry, log *slog.Logger) (server, error) {
	if s.Relay.Enabled() {
		return platform.NewEntry(s, log)
	}
	return traffic.New(s, log)
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
