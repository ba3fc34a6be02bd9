package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/standin/audit"
	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
	"goldcrestseam.dev/goldcrestseam/internal/standin/server"
	"goldcrestseam.dev/goldcrestseam/internal/standin/workload"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

const (
	// demoTimeout bounds the demo.
	demoTimeout = 2 * time.Minute
	// startTimeout bounds starting the processes, applying the declaration and waiting
	// until every entry serves.
	startTimeout = 40 * time.Second
	// demoTimeScale makes the engines fast enough that bulk requests end within the
	// demo.
	demoTimeScale = 8
)

// demoOptions are the flags of `goldcrest-load demo`.
type demoOptions struct {
	deployment string
	bin        string
	deploy     string
	workload   string
	report     string
	keep       bool
}

func newDemo() *cobra.Command {
	var o demoOptions
	cmd := &cobra.Command{
		Use: "demo", Short: "Run one deployment on loopback, play a workload and check every answer", Args: cobra.NoArgs,
		Long: "demo starts 3 control replicas, 9 entries, 9 stand-in engines and 3 stand-in plain\n" +
			"servers on loopback, applies the declaration, plays a workload and compares what\n" +
			"callers got with what the stand-ins recorded in their journals. The last line is a summary.",
		Example: "  goldcrest-load demo --deployment qazaq --bin bin --deploy deploy",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			return demo(ctx, cmd.OutOrStdout(), o)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.deployment, "deployment", "qalhat", "qalhat or qazaq")
	f.StringVar(&o.bin, "bin", "bin", "directory with the programs")
	f.StringVar(&o.deploy, "deploy", "deploy", "directory with the deployments")
	f.StringVar(&o.workload, "workload", "", "workload file (default: demo.yaml of the deployment)")
	f.StringVar(&o.report, "report", "", "file for the JSON report")
	f.BoolVar(&o.keep, "keep", false, "keep settings, logs and journals, and print their directory")
	return cmd
}

func demo(ctx context.Context, out io.Writer, o demoOptions) error {
	if o.workload == "" {
		o.workload = filepath.Join(o.deploy, o.deployment, "demo.yaml")
	}
	w, findings := workload.Load(o.workload)
	if len(findings) > 0 {
		return cli.Invalid(findings)
	}
	dir, err := os.MkdirTemp("", "goldcrest-demo-")
	if err != nil {
		return err
	}
	if o.keep {
		fmt.Fprintf(out, "settings, logs and journals: %s\n", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	bed, err := testbed.New(testbed.Options{
		BinDir: o.bin, Dir: dir, Deployment: o.deployment, DeployDir: o.deploy, TLS: true,
		TuneServer: func(c *server.Config) { c.TimeScale = demoTimeScale },
	})
	if err != nil {
		return err
	}
	defer bed.Close()
	return runDemo(ctx, out, o, bed, w)
}

func runDemo(ctx context.Context, out io.Writer, o demoOptions, bed *testbed.Bed, w *workload.Workload) error {
	start := time.Now()
	logProgress := func(format string, args ...any) {
		fmt.Fprintf(out, "%5.1fs  "+format+"\n", append([]any{time.Since(start).Seconds()}, args...)...)
	}
	logProgress("start %s: %d control, %d entries, %d engines, %d plain servers",
		o.deployment, len(bed.Control), len(bed.Entries), len(bed.Engines), len(bed.PlainServers))
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := bed.Start(starting); err != nil {
		return err
	}
	arrivals := w.Schedule(newRunName())
	logProgress("declaration applied, every entry serves; play %d requests", len(arrivals))
	results := (&workload.Runner{Callers: newCallers(o, bed, w)}).Run(ctx, arrivals)
	logProgress("all callers have their answers; compare with the journals")
	return checkResults(out, o, bed, w, results)
}

// newCallers returns a caller for each member, spread over the data centres.
func newCallers(o demoOptions, bed *testbed.Bed, w *workload.Workload) map[string]*caller.Client {
	callers := make(map[string]*caller.Client)
	for i, m := range w.Members {
		homeEntry := bed.Entries[i*len(bed.Entries)/len(w.Members)]
		callers[m.Name] = caller.New(caller.Config{
			SeedEntries: bed.EntryAddresses(), DataCentre: homeEntry.DataCentre, Member: m.Name,
			Token: testbed.MemberToken(o.deployment, m.Name), RequestTimeout: w.RequestTimeout, Seed: w.Seed + uint64(i),
		})
	}
	return callers
}

func checkResults(out io.Writer, o demoOptions, bed *testbed.Bed, w *workload.Workload, results []audit.FinishedRequest) error {
	records, err := bed.JournalRecords()
	if err != nil {
		return err
	}
	counts := audit.Check(results, records)
	for _, f := range counts.Findings {
		fmt.Fprintln(out, "finding:", f)
	}
	for _, c := range w.NewReport(counts, results).Classes {
		fmt.Fprintf(out, "%-18s requests %3d  whole %3d  first token p50 %6.1f ms p95 %6.1f ms  whole answer p95 %7.1f ms\n",
			c.Class, c.Requests, c.Complete, c.TimeToFirstToken.P50, c.TimeToFirstToken.P95, c.Elapsed.P95)
	}
	if o.report != "" {
		if err := writeReport(o.report, w, counts, results); err != nil {
			return err
		}
	}
	unexpectedExits := bed.UnexpectedlyExited()
	if len(unexpectedExits) > 0 {
		fmt.Fprintln(out, "finding: processes ended by themselves:", unexpectedExits)
	}
	fmt.Fprintln(out, counts.SummaryLine())
	if counts.HasViolations() || counts.Unknown > 0 || len(unexpectedExits) > 0 {
		return guaranteeViolated.New("%d findings", len(counts.Findings)+len(unexpectedExits))
	}
	return nil
}
