package proof

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// MixedLoad is the load of most trials: long streams with plain calls beside them.
func MixedLoad(seed uint64) Load {
	return Load{Seed: seed, Duration: 3 * time.Second, StreamRate: 12, BulkRate: 3, OnceRate: 8, LookupRate: 6}
}

// MeasureFaults plays the mixed load with each fault, for seeds 1 to n, each
// time on a fresh bed under dir. Errors: Failed, testbed.Failed.
func MeasureFaults(ctx context.Context, root, bin, dir string, n int) ([]FaultReport, error) {
	var reports []FaultReport
	for i := range Faults {
		sums := newFaultSums(Faults[i].Name)
		for seed := range n {
			bedDir := filepath.Join(dir, strconv.Itoa(i)+"-"+strconv.Itoa(seed))
			out, err := faultTrial(ctx, &Faults[i], root, bin, bedDir, uint64(seed+1))
			if err != nil {
				return reports, err
			}
			sums.add(out)
		}
		reports = append(reports, sums.sum())
	}
	return reports, nil
}

func faultTrial(ctx context.Context, f *Fault, root, bin, dir string, seed uint64) (*Outcome, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Failed.Wrap(err, "folder")
	}
	bed, err := NewBed(root, bin, dir, f.NeedsForwarders)
	if err != nil {
		return nil, err
	}
	defer bed.Close()
	if err := start(ctx, bed); err != nil {
		return nil, err
	}
	var failed error
	out, err := NewTrial(bed, seed).Run(ctx, MixedLoad(seed), func(ctx context.Context) {
		pause(ctx, FaultDelay)
		failed = f.Inject(ctx, NewTrial(bed, seed))
	})
	if failed != nil {
		return nil, failed
	}
	return out, err
}

func start(ctx context.Context, bed *testbed.Bed) error {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	return bed.Start(ctx)
}
