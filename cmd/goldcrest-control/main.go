// Command goldcrest-control runs one replica of the control group. It runs on the few
// VMs that have a disk.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/control/runner"
	"goldcrestseam.dev/goldcrestseam/internal/intake"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
	"goldcrestseam.dev/goldcrestseam/internal/store"
	"goldcrestseam.dev/goldcrestseam/platform"
)

// gcPercent trades memory, of which a replica has 64 MB, for processor time, of
// which it has little: a heap of a few MB is collected a quarter as often as by
// default. The environment variable GOGC takes precedence.
const gcPercent = 400

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	root := cli.NewRoot("goldcrest-control", "Run one replica of the control group",
		"goldcrest-control keeps declarations, membership, orders to engines and at-most-once\nclaims, replicated and synced to disk.")
	root.AddCommand(newRun(), newCheck())
	cli.Main(root)
}

func newRun() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: "run", Short: "Run the replica until SIGTERM or SIGINT", Args: cobra.NoArgs,
		Example: "  goldcrest-control run --settings /etc/goldcrest/control.yaml",
		RunE:    func(cmd *cobra.Command, _ []string) error { return run(cmd, file) },
	}
	addSettings(cmd, &file)
	return cmd
}

func run(cmd *cobra.Command, file string) error {
	file = os.ExpandEnv(file)
	s, findings := settings.LoadControl(file)
	if len(findings) > 0 {
		return cli.Invalid(findings)
	}
	cli.LimitMemory(s.RuntimeMB())
	out := obs.NewNonBlockingWriter(os.Stdout)
	defer out.Close()
	log := obs.NewLogger(out, s.Name, s.Log)
	ctx := cli.ShutdownContext(cmd.Context())
	var current atomic.Pointer[runner.Runner]
	go cli.WatchFile(ctx, file, log, func() { reload(file, log, current.Load()) })
	for {
		r, err := runner.New(s, log, drivers(s, log))
		if err != nil {
			log.Error("does not start", "cause", err.Error())
			return err
		}
		current.Store(r)
		err = r.Run(ctx)
		if !errorx.IsOfType(err, runner.Removed) || !s.BootstrapFromControl {
			return err
		}
		// The group replaced this replica while it was down. It rejoins as a new replica
		// with an empty data directory.
		if err := store.Discard(s.DataDir); err != nil {
			return err
		}
		log.Warn("removed from the group; rejoining as a new replica", "cause", err.Error())
		s.Join, s.ReplicaID, s.Bootstrap = true, 0, nil
		if latest, findings := settings.LoadControl(file); len(findings) == 0 {
			s.Control = latest.Control
		}
	}
}

// reload applies a changed settings file to the running replica, nil if there is none yet.
func reload(file string, log *slog.Logger, r *runner.Runner) {
	s, findings := settings.LoadControl(file)
	if len(findings) > 0 {
		log.Error("settings not reloaded", "findings", findings.Err().Error())
		return
	}
	log.Info("settings file changed; other changes than of control take effect at the next start", "settings", file, "control", s.Control)
	if r != nil {
		r.Reload(s)
	}
}

func drivers(s *settings.Control, log *slog.Logger) runner.Drivers {
	if s.RegistryAddress == "" {
		return runner.Drivers{}
	}
	engines := platform.EngineSettings{Roles: s.Roles, IgnoreFencing: s.EnginesIgnoreFencing}
	bodies := intake.NewBudget(s.BodyMemory(), tally.NoopScope, log)
	return runner.Drivers{
		Calls:  []runner.Driver{platform.NewRegistry(s.RegistryAddress, engines, s.MaxRegistryConnections(), bodies, log)},
		Orders: platform.OrderProtocol{}, Identity: platform.IdentityProtocol{},
		Duties: platform.DutyProtocol{},
	}
}

func newCheck() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: "check-settings", Short: "Check a settings file and print all findings", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, findings := settings.LoadControl(file); len(findings) > 0 {
				return cli.Invalid(findings)
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: no findings\n", file)
			return err
		},
	}
	addSettings(cmd, &file)
	return cmd
}

func addSettings(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVar(file, "settings", "", "settings file (YAML); $NAME stands for a variable of the environment")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
}
