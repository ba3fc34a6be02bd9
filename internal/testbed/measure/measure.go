package measure

import (
	"context"
	"path/filepath"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/standin/server"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// Report holds the measurements of one run.
type Report struct {
	Latency *Latency    `json:"latency"`
	Relay   *RelayCost  `json:"relay"`
	Memory  *MemoryCost `json:"memory"`
}

// Options says where the binaries are and how much to measure.
type Options struct {
	BinDir, DeployDir, Deployment, Dir string
	// Pairs and Concurrency are for the latency measurement, Streams is for the
	// relay measurement.
	Pairs, Concurrency, Streams int
	// StreamCounts are the numbers of open streams of the memory measurement.
	StreamCounts []int
}

const (
	// relayTimeScale makes engines fast, so that the entry is the bottleneck.
	relayTimeScale = 8
	// slotsPerEngine is large enough for all open streams to run at once.
	slotsPerEngine = 400
	startTimeout   = time.Minute
)

// Run measures on two test beds, one after the other: latency and memory with
// engines of realistic speed, relaying with fast engines. Errors: testbed.Failed.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &Report{}
	err := withBed(ctx, o, "real", func(c *server.Config) { c.Slots = slotsPerEngine }, func(t *target) (err error) {
		r.Latency = t.measureLatency(ctx, o.Pairs, o.Concurrency)
		r.Memory, err = t.measureMemory(ctx, o.StreamCounts)
		return err
	})
	if err != nil {
		return nil, err
	}
	err = withBed(ctx, o, "quick", func(c *server.Config) { c.TimeScale = relayTimeScale }, func(t *target) (err error) {
		r.Relay, err = t.measureRelay(ctx, o.Streams)
		return err
	})
	return r, err
}

func withBed(ctx context.Context, o Options, name string, tuneServer func(*server.Config), measure func(*target) error) error {
	bed, err := testbed.New(testbed.Options{
		BinDir: o.BinDir, Dir: filepath.Join(o.Dir, name), Deployment: o.Deployment, DeployDir: o.DeployDir, TuneServer: tuneServer,
	})
	if err != nil {
		return err
	}
	defer bed.Close()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := bed.Start(startCtx); err != nil {
		return err
	}
	return measure(newTarget(bed, o.Deployment, urgentService(bed.Declaration)))
}

// urgentService returns the first model service with an urgent profile, or the last
// model service if there is none.
func urgentService(d *declaration.Declaration) string {
	name := ""
	for _, s := range d.Services {
		if s.Kind != declaration.KindModel {
			continue
		}
		if d.Profile(s.Profile).Class == declaration.ClassUrgent {
			return s.Name
		}
		name = s.Name
	}
	return name
}
