package control

import (
	"context"
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/standin/forwarder"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// A fault affects one replica at a time and ends before the next one starts: with
// two of three replicas faulty there is no quorum.
const (
	// faultDuration is the length of a fault: several election timeouts.
	faultDuration = 900 * time.Millisecond
	// recoveryTime is the pause between two faults, in which a leader is elected.
	recoveryTime = 700 * time.Millisecond
)

// faultInjector injects faults into control replicas and ends them again.
type faultInjector struct {
	bed *testbed.Bed
	rng *rand.Rand
	// counts has the number of injected faults by name.
	counts map[string]int
}

func newFaultInjector(bed *testbed.Bed, seed uint64) *faultInjector {
	return &faultInjector{bed: bed, rng: rand.New(rand.NewPCG(seed, 2)), counts: make(map[string]int)}
}

// run injects faults in random order, one after the other, until ctx ends.
func (f *faultInjector) run(ctx context.Context) {
	faults := []struct {
		name   string
		inject func(ctx context.Context, target int)
	}{
		{"kill", f.kill}, {"freeze", f.freeze}, {"cut", f.partition},
		{"cut one way", f.partitionOneWay}, {"silent connections", f.blackholeOpenConnections},
	}
	for ctx.Err() == nil {
		fault := faults[f.rng.IntN(len(faults))]
		f.counts[fault.name]++
		fault.inject(ctx, f.pickReplica(ctx))
		sleep(ctx, recoveryTime)
	}
}

// pickReplica returns the index of the leader in two of three cases, otherwise that
// of a random replica.
func (f *faultInjector) pickReplica(ctx context.Context) int {
	if f.rng.IntN(3) > 0 {
		if leader, err := f.bed.Leader(ctx); err == nil {
			for i, p := range f.bed.Control {
				if p == leader {
					return i
				}
			}
		}
	}
	return f.rng.IntN(len(f.bed.Control))
}

func (f *faultInjector) kill(ctx context.Context, target int) {
	p := f.bed.Control[target]
	p.Kill()
	sleep(ctx, faultDuration)
	_ = p.Start()
}

func (f *faultInjector) freeze(ctx context.Context, target int) {
	p := f.bed.Control[target]
	p.Signal(syscall.SIGSTOP)
	sleep(ctx, faultDuration)
	p.Signal(syscall.SIGCONT)
}

func (f *faultInjector) partition(ctx context.Context, target int) {
	blackhole := forwarder.Mode{BlackholeToServer: true, BlackholeToClient: true}
	f.setLinks(target, blackhole, blackhole)
	sleep(ctx, faultDuration)
	f.setLinks(target, forwarder.Mode{}, forwarder.Mode{})
}

// partitionOneWay drops either all messages that the replica sends to other replicas
// or all that they send to it.
func (f *faultInjector) partitionOneWay(ctx context.Context, target int) {
	blackhole := forwarder.Mode{BlackholeToServer: true}
	if f.rng.IntN(2) == 0 {
		f.setLinks(target, blackhole, forwarder.Mode{})
	} else {
		f.setLinks(target, forwarder.Mode{}, blackhole)
	}
	sleep(ctx, faultDuration)
	f.setLinks(target, forwarder.Mode{}, forwarder.Mode{})
}

// blackholeOpenConnections permanently drops all data on the replica's open
// connections to and from other replicas; new connections work.
func (f *faultInjector) blackholeOpenConnections(ctx context.Context, target int) {
	ownID := uint64(target + 1)
	for peerID := uint64(1); peerID <= uint64(len(f.bed.Control)); peerID++ {
		if peerID != ownID {
			f.bed.ControlForwarder(ownID, peerID).BlackholeOpenConnections()
			f.bed.ControlForwarder(peerID, ownID).BlackholeOpenConnections()
		}
	}
	sleep(ctx, faultDuration)
}

// setLinks sets the modes of the forwarders from and to the replica.
func (f *faultInjector) setLinks(target int, from, to forwarder.Mode) {
	ownID := uint64(target + 1)
	for peerID := uint64(1); peerID <= uint64(len(f.bed.Control)); peerID++ {
		if peerID != ownID {
			f.bed.ControlForwarder(ownID, peerID).SetMode(from)
			f.bed.ControlForwarder(peerID, ownID).SetMode(to)
		}
	}
}

// loseDisk wipes or truncates a replica's data and then recovers the replica as
// operators do: it restarts the program and replaces the replica.
func (f *faultInjector) loseDisk(ctx context.Context, target int, wipe bool) error {
	p := f.bed.Control[target]
	p.Kill()
	damage := p.WipeData
	if !wipe {
		damage = func() error { return p.TruncateData(0.5) }
	}
	if err := damage(); err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		return err
	}
	id := strconv.Itoa(target + 1)
	_, err := f.bed.RunCtl(ctx, "replica", "replace", id, id, "--address", p.Address, "--data-centre", p.DataCentre)
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
