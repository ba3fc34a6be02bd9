package proof

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// MixedLoad is the load of most trials: long streams along with plain calls.
func MixedLoad(seed uint64) Load {
	return Load{Seed: seed, Duration: 3 * time.Second, StreamRate: 12, BulkRate: 3, AtMostOnceRate: 8, LookupRate: 6}
}

// MeasureFaults runs the mixed load under each fault, for seeds 1 to n, each time
// on a new test bed under dir. Errors: Failed, testbed.Failed.
func MeasureFaults(ctx context.Context, root, bin, dir string, n int) ([]FaultReport, error) {
	var reports []FaultReport
	for i := range Faults {
		totals := newFaultTotals(Faults[i].Name)
		for seed := range n {
			bedDir := filepath.Join(dir, strconv.Itoa(i)+"-"+strconv.Itoa(seed))
			out, err := runFaultTrial(ctx, &Faults[i], root, bin, bedDir, uint64(seed+1))
			if err != nil {
				return reports, err
			}
			totals.add(out)
		}
		reports = append(reports, totals.result())
	}
	return reports, nil
}

func runFaultTrial(ctx context.Context, f *Fault, root, bin, dir string, seed uint64) (*Outcome, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Failed.Wrap(err, "folder")
	}
	bed, err := NewBed(root, bin, dir, f.NeedsForwarders)
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	if err := startBed(ctx, bed); err != nil {
		return nil, err
	}
	var injectErr error
	out, err := NewTrial(bed, seed).Run(ctx, MixedLoad(seed), func(ctx context.Context) {
		sleep(ctx, FaultDelay)
		injectErr = f.Inject(ctx, NewTrial(bed, seed))
	})
	if injectErr != nil {
		return nil, injectErr
	}
	return out, err
}

func startBed(ctx context.Context, bed *testbed.Bed) error {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	return bed.Start(ctx)
}
