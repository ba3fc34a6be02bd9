package main

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/policy"
)

// policyFlags are the flags of `goldcrest-load policy`.
type policyFlags struct {
	deployment string
	deploy     string
	output     string
	traces     string
	seeds      int
	workers    int
}

// newPolicyCommand returns the command that measures scheduling decisions under load
// on the engine model.
func newPolicyCommand() *cobra.Command {
	var f policyFlags
	cmd := &cobra.Command{
		Use:   "policy",
		Short: "Measure the decisions under load in virtual time",
		Long: "policy plays traces of shifting load on a model of the engines, in virtual time, once\n" +
			"for each role change policy, and prints the results for callers. With --output json\n" +
			"it prints one JSON object per line.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runPolicy(cmd.OutOrStdout(), &f) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.deployment, "deployment", "qalhat", "qalhat or qazaq")
	flags.StringVar(&f.deploy, "deploy", "deploy", "directory of the deployments' declarations")
	flags.StringVar(&f.output, "output", "text", "text or json")
	flags.StringVar(&f.traces, "traces", strings.Join(policy.TraceNames(), ","), "traces to play, separated by commas")
	flags.IntVar(&f.seeds, "seeds", 5, "seeds per trace, 1 to 1000")
	flags.IntVar(&f.workers, "workers", min(4, runtime.NumCPU()), "parallel runs")
	return cmd
}

func runPolicy(out io.Writer, f *policyFlags) error {
	if f.output != "text" && f.output != "json" {
		return cli.WithCode(cli.ExitUsage, fmt.Errorf("--output %q is neither text nor json", f.output))
	}
	if f.seeds < 1 || f.seeds > 1000 {
		return cli.WithCode(cli.ExitUsage, fmt.Errorf("--seeds %d is not between 1 and 1000", f.seeds))
	}
	scenario, err := policy.LoadScenario(f.deploy, f.deployment)
	if err != nil {
		return cli.WithCode(cli.ExitInvalid, err)
	}
	options := policy.Options{Traces: strings.Split(f.traces, ","), Seeds: f.seeds, Workers: f.workers}
	results, err := policy.Measure(scenario, options)
	if err != nil {
		return cli.WithCode(cli.ExitUsage, err)
	}
	if f.output == "json" {
		return printJSON(out, results)
	}
	return printText(out, results)
}

func printJSON(out io.Writer, results []policy.Result) error {
	encoder := json.NewEncoder(out)
	for i := range results {
		if err := encoder.Encode(&results[i]); err != nil {
			return err
		}
	}
	return nil
}

func printText(out io.Writer, results []policy.Result) error {
	_, err := fmt.Fprintf(out, "%-12s %4s %-17s %8s %7s %9s %9s %8s %8s %8s\n",
		"trace", "seed", "policy", "goodput", "upper", "urgent95", "bulk_late", "refused", "changes", "urgent")
	for _, r := range results {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%-12s %4d %-17s %8.3f %7.3f %8.2fs %9d %8d %8d %8.3f\n",
			r.Trace, r.Seed, r.Policy, r.GoodputRatio, r.UpperBoundRatio, r.UrgentP95Seconds,
			r.BulkLate, r.Refused, r.RoleChanges, r.UrgentInTime)
	}
	return err
}
