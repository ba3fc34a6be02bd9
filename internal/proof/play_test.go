package proof

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/standin/workload"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

const smallWorkload = `seed: 3
duration: 1s
max_requests: 40
classes:
  - {name: question, service: statement-line, rate: 20, prompt_tokens: {min: 50, max: 90}, output_tokens: {min: 5, max: 20}}
  - {name: balance, service: members, rate: 10, method: GET, path: /balances, once: true}
members:
  - {name: steppe-records, weight: 1}
  - {name: songwriters-union, weight: 1}
`

// Users measure with the load tool: its report must cover every request that it
// sent.
func TestLoadToolPlaysAWorkload(t *testing.T) {
	forEachSeed(t, func(t *testing.T, ctx context.Context, tr *Trial, _ uint64) {
		file := filepath.Join(t.TempDir(), "small.yaml")
		if err := os.WriteFile(file, []byte(smallWorkload), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.CommandContext(ctx, filepath.Join(bin, "goldcrest-load"), "play", "--workload", file,
			"--entries", strings.Join(tr.Bed.EntryAddresses(), ","), "--journals", filepath.Join(tr.Bed.Dir(), "journals"),
			"--token", "steppe-records="+testbed.MemberToken(Deployment, "steppe-records"),
			"--token", "songwriters-union="+testbed.MemberToken(Deployment, "songwriters-union"))
		out, err := cmd.Output()
		if err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		var report workload.Report
		if err := json.Unmarshal(out, &report); err != nil {
			t.Fatal(err)
		}
		c := report.Counts
		if len(report.Classes) != 2 || c.Requests == 0 || c.Complete != c.Requests {
			t.Errorf("report: %s", out)
		}
	})
}
