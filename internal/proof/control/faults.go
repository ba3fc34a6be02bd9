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

// Faults hit one replica at a time and end before the next, since two of three
// can't be in force at once and still be a quorum.
const (
	// faultTime is how long a fault lasts: several election timeouts.
	faultTime = 900 * time.Millisecond
	// calm is the time between two faults, for a leader to come up.
	calm = 700 * time.Millisecond
)

// chaos injects faults into the replicas until ctx ends and heals them.
type chaos struct {
	bed    *testbed.Bed
	random *rand.Rand
	// told counts the faults by name.
	told map[string]int
}

func newChaos(bed *testbed.Bed, seed uint64) *chaos {
	return &chaos{bed: bed, random: rand.New(rand.NewPCG(seed, 2)), told: make(map[string]int)}
}

// run injects the faults named by turns, one after the other, in random order.
func (c *chaos) run(ctx context.Context) {
	faults := []struct {
		name   string
		inject func(ctx context.Context, victim int)
	}{
		{"kill", c.kill}, {"freeze", c.freeze}, {"cut", c.cut},
		{"cut one way", c.cutOneWay}, {"silent connections", c.silence},
	}
	for ctx.Err() == nil {
		f := faults[c.random.IntN(len(faults))]
		c.told[f.name]++
		f.inject(ctx, c.victim(ctx))
		sleep(ctx, calm)
	}
}

// victim is the leader in two of three cases, else any replica.
func (c *chaos) victim(ctx context.Context) int {
	if c.random.IntN(3) > 0 {
		if leader, err := c.bed.Leader(ctx); err == nil {
			for i, p := range c.bed.Control {
				if p == leader {
					return i
				}
			}
		}
	}
	return c.random.IntN(len(c.bed.Control))
}

func (c *chaos) kill(ctx context.Context, victim int) {
	p := c.bed.Control[victim]
	p.Kill()
	sleep(ctx, faultTime)
	_ = p.Start()
}

func (c *chaos) freeze(ctx context.Context, victim int) {
	p := c.bed.Control[victim]
	p.Signal(syscall.SIGSTOP)
	sleep(ctx, faultTime)
	p.Signal(syscall.SIGCONT)
}

func (c *chaos) cut(ctx context.Context, victim int) {
	silent := forwarder.Mode{BlackholeToServer: true, BlackholeToClient: true}
	c.links(victim, silent, silent)
	sleep(ctx, faultTime)
	c.links(victim, forwarder.Mode{}, forwarder.Mode{})
}

// cutOneWay lets the victim speak but not hear, or hear but not speak.
func (c *chaos) cutOneWay(ctx context.Context, victim int) {
	silent := forwarder.Mode{BlackholeToServer: true}
	if c.random.IntN(2) == 0 {
		c.links(victim, silent, forwarder.Mode{})
	} else {
		c.links(victim, forwarder.Mode{}, silent)
	}
	sleep(ctx, faultTime)
	c.links(victim, forwarder.Mode{}, forwarder.Mode{})
}

// silence makes the open connections silent for good; new ones work.
func (c *chaos) silence(ctx context.Context, victim int) {
	own := uint64(victim + 1)
	for id := uint64(1); id <= uint64(len(c.bed.Control)); id++ {
		if id != own {
			c.bed.ControlForwarder(own, id).BlackholeOpenConnections()
			c.bed.ControlForwarder(id, own).BlackholeOpenConnections()
		}
	}
	sleep(ctx, faultTime)
}

// links sets the ways from and to the victim.
func (c *chaos) links(victim int, from, to forwarder.Mode) {
	own := uint64(victim + 1)
	for id := uint64(1); id <= uint64(len(c.bed.Control)); id++ {
		if id != own {
			c.bed.ControlForwarder(own, id).SetMode(from)
			c.bed.ControlForwarder(id, own).SetMode(to)
		}
	}
}

// loseDisk takes a replica's data away, whole or in part, and brings it back as
// operators do: the program is started again and the replica replaced.
func (c *chaos) loseDisk(ctx context.Context, victim int, whole bool) error {
	p := c.bed.Control[victim]
	p.Kill()
	damage := p.WipeData
	if !whole {
		damage = func() error { return p.TruncateData(0.5) }
	}
	if err := damage(); err != nil {
		return err
	}
	if err := p.Start(); err != nil {
		return err
	}
	id := strconv.Itoa(victim + 1)
	_, err := c.bed.RunCtl(ctx, "replica", "replace", id, id, "--address", p.Address, "--data-centre", p.DataCentre)
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
