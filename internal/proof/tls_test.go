package proof

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// A deployment runs with TLS between its own processes. Its control leader and an
// entry are killed; the other processes must reconnect over new TLS connections,
// or callers would be refused permanently.
func TestFaultsOverTLS(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	dir := filepath.Join(filepath.Dir(bin), "tls")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	b, err := testbed.New(testbed.Options{
		BinDir: bin, Dir: dir, Deployment: Deployment, DeployDir: root + "/deploy", EnginesPerDataCentre: 1, EntriesPerDataCentre: 1, TLS: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if err := b.Start(ctx); err != nil {
		t.Fatal(err)
	}
	load := Load{Seed: 1, Duration: MixedLoad(1).Duration, StreamRate: 4, AtMostOnceRate: 4, LookupRate: 4}
	runTrial(t, ctx, NewTrial(b, 1), load, func(ctx context.Context) {
		sleep(ctx, FaultDelay)
		leader, err := b.Leader(ctx)
		if err != nil {
			t.Error(err)
			return
		}
		leader.Kill()
		b.Entries[0].Kill()
	})
}
