package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/standin/audit"
	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
	"goldcrestseam.dev/goldcrestseam/internal/standin/workload"
)

// errNamespace holds this program's error types.
var errNamespace = errorx.NewNamespace("load")

// guaranteeViolated is the type of errors of a run that violated a guarantee.
var guaranteeViolated = errNamespace.NewType("broken_promise")

// playOptions are the flags of `goldcrest-load play`.
type playOptions struct {
	workload   string
	entries    []string
	tokens     []string
	dataCentre string
	journals   string
}

func newPlay() *cobra.Command {
	var o playOptions
	cmd := &cobra.Command{
		Use: "play", Short: "Play a workload file against entries and report as JSON", Args: cobra.NoArgs,
		Example: "  goldcrest-load play --workload deploy/qalhat/demo.yaml \\\n" +
			"    --entries 10.1.0.1:8080,10.1.1.1:8080 --token consultancy=SECRET",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return play(ctx, cmd.OutOrStdout(), o)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.workload, "workload", "", "workload file (YAML)")
	f.StringSliceVar(&o.entries, "entries", nil, "entries to ask first, host:port")
	f.StringSliceVar(&o.tokens, "token", nil, "MEMBER=TOKEN, one for each member of the workload")
	f.StringVar(&o.dataCentre, "data-centre", "", "data centre of the callers")
	f.StringVar(&o.journals, "journals", "", "directory with the stand-ins' journals to compare with")
	_ = cmd.MarkFlagRequired("workload")
	_ = cmd.MarkFlagRequired("entries")
	return cmd
}

func play(ctx context.Context, out io.Writer, o playOptions) error {
	w, findings := workload.Load(o.workload)
	if len(findings) > 0 {
		return cli.Invalid(findings)
	}
	callers := make(map[string]*caller.Client)
	for i, pair := range o.tokens {
		member, token, ok := strings.Cut(pair, "=")
		if !ok {
			return cli.WithCode(cli.ExitUsage, errNamespace.NewType("usage").New("--token %q is not MEMBER=TOKEN", pair))
		}
		callers[member] = caller.New(caller.Config{
			SeedEntries: o.entries, DataCentre: o.dataCentre, Member: member, Token: token,
			RequestTimeout: w.RequestTimeout, Seed: w.Seed + uint64(i),
		})
	}
	for _, m := range w.Members {
		if callers[m.Name] == nil {
			return cli.WithCode(cli.ExitUsage, errNamespace.NewType("usage").New("no --token for member %s", m.Name))
		}
	}
	results := (&workload.Runner{Callers: callers}).Run(ctx, w.Schedule(newRunName()))
	return printReport(out, w, results, o.journals)
}

// newRunName returns a name that makes this run's request marks differ from those of
// other runs.
func newRunName() string { return strconv.FormatInt(time.Now().UnixNano(), 36) }

func printReport(out io.Writer, w *workload.Workload, results []audit.FinishedRequest, journals string) error {
	counts := &audit.Counts{}
	if journals != "" {
		records, err := journal.ReadAll(journals)
		if err != nil {
			return err
		}
		counts = audit.Check(results, records)
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(w.NewReport(counts, results)); err != nil {
		return err
	}
	if journals != "" && counts.HasViolations() {
		return guaranteeViolated.New("%s", strings.Join(counts.Findings, "; "))
	}
	return nil
}

// writeReport writes the report as JSON to the file at path.
func writeReport(path string, w *workload.Workload, counts *audit.Counts, results []audit.FinishedRequest) error {
	data, err := json.MarshalIndent(w.NewReport(counts, results), "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}
