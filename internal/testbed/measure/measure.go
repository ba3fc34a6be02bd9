package measure

import (
	"context"
	"path/filepath"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/standin/server"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// Report holds all measurements of one run.
type Report struct {
	Latency *Latency    `json:"latency"`
	Relay   *RelayCost  `json:"relay"`
	Memory  *MemoryCost `json:"memory"`
}

// Options says where the programs are and how much to measure.
type Options struct {
	BinDir, DeployDir, Deployment, Dir string
	// Pairs and Width are for the latency, Streams for the relay.
	Pairs, Concurrency, Streams int
	// StreamCounts are numbers of open streams.
	StreamCounts []int
}

const (
	// relayScale makes engines quick, so that the entry is what is loaded.
	relayScale = 8
	// openSlots lets every open stream run at an engine at once.
	openSlots = 400
	startTime = time.Minute
)

// Run measures on two beds, one after the other: one with engines of real
// speed, one with quick engines. Errors: Failed, testbed.Failed.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &Report{}
	err := onBed(ctx, o, "real", func(c *server.Config) { c.Slots = openSlots }, func(t *target) (err error) {
		r.Latency = t.latency(ctx, o.Pairs, o.Concurrency)
		r.Memory, err = t.memory(ctx, o.StreamCounts)
		return err
	})
	if err != nil {
		return nil, err
	}
	err = onBed(ctx, o, "quick", func(c *server.Config) { c.TimeScale = relayScale }, func(t *target) (err error) {
		r.Relay, err = t.relay(ctx, o.Streams)
		return err
	})
	return r, err
}

func onBed(ctx context.Context, o Options, name string, tune func(*server.Config), measure func(*target) error) error {
	bed, err := testbed.New(testbed.Options{
		BinDir: o.BinDir, Dir: filepath.Join(o.Dir, name), Deployment: o.Deployment, DeployDir: o.DeployDir, TuneServer: tune,
	})
	if err != nil {
		return err
	}
	defer bed.Close()
	starting, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := bed.Start(starting); err != nil {
		return err
	}
	return measure(newTarget(bed, o.Deployment, urgentService(bed.Declaration)))
}

// urgentService gives the first model service of an urgent profile, or of any.
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
