package host

import (
	"context"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// metaLeader is the twirp error metadata key in which a replica names the leader.
	metaLeader = "leader"
	// ControlRetryDelay is the minimum delay after the first failed attempt of a call. It grows
	// by controlRetryGrowth with each further failure, up to maxControlRetryDelay.
	ControlRetryDelay    = 30 * time.Millisecond
	controlRetryGrowth   = 1.3
	maxControlRetryDelay = 300 * time.Millisecond
	// avoidSilentFor is how long a replica that did not answer is avoided even if another
	// replica names it as the leader. It is about the duration of an election.
	avoidSilentFor = time.Second
	// ControlAttemptTimeout bounds one attempt of a short call. It is the time lost to a
	// replica that does not answer before another one is asked.
	ControlAttemptTimeout = 500 * time.Millisecond
)

// Replica is the control replica that an attempt of a call is sent to.
type Replica struct {
	pb.Control
	// Address is host:port.
	Address string
}

// ControlClient calls the leader of the control replicas.
type ControlClient struct {
	auth *rpc.Auth
	http *http.Client

	mu        sync.Mutex
	addresses []string
	current   string
	clients   map[string]pb.Control
	// silentAt holds by address when a replica last failed to answer at all.
	silentAt map[string]time.Time
	// refusals holds by address why a replica did not serve the last call.
	refusals map[string]string
}

// NewControlClient returns a client that starts with a random one of the addresses.
func NewControlClient(auth *rpc.Auth, addresses []string) *ControlClient {
	return &ControlClient{
		auth: auth, http: auth.Client(), addresses: slices.Clone(addresses),
		current: addresses[rand.IntN(len(addresses))], clients: make(map[string]pb.Control),
		silentAt: make(map[string]time.Time), refusals: make(map[string]string),
	}
}

// Refusals returns by address why replicas did not serve their last call.
func (c *ControlClient) Refusals() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.refusals)
}

// recordOutcome keeps the reason of a refusal until the replica serves a call.
func (c *ControlClient) recordOutcome(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.refusals, address)
		return
	}
	c.refusals[address] = err.Error()
}

// AddAddresses adds replica addresses to those already known.
func (c *ControlClient) AddAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		if !slices.Contains(c.addresses, a) {
			c.addresses = append(c.addresses, a)
		}
	}
}

// Addresses returns the addresses of the replicas that are known.
func (c *ControlClient) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.addresses)
}

// currentReplica returns the replica that is presumed to be the leader.
func (c *ControlClient) currentReplica() Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[c.current]
	if client == nil {
		client = pb.NewControlProtobufClient(c.auth.URL(c.current), c.http)
		c.clients[c.current] = client
	}
	return Replica{Control: client, Address: c.current}
}

// selectNext chooses the replica to ask after address failed: the leader that it
// named, else the next replica. The other replicas still name a leader that no
// longer answers until they have elected another. Returning to it would cost one
// timeout each time, and in sum the entry's lease.
func (c *ControlClient) selectNext(address string, err error) {
	namedLeader := ""
	var twerr twirp.Error
	if errors.As(err, &twerr) {
		namedLeader = twerr.Meta(metaLeader)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != address {
		return
	}
	if namedLeader == "" {
		c.silentAt[address] = time.Now()
	}
	if namedLeader != "" && namedLeader != address && time.Since(c.silentAt[namedLeader]) > avoidSilentFor {
		c.current = namedLeader
		return
	}
	c.current = c.nextAfter(address)
}

// nextAfter returns the next replica that has not recently failed to answer, else
// simply the next one. It must be called with mu held.
func (c *ControlClient) nextAfter(address string) string {
	index := slices.Index(c.addresses, address)
	for i := 1; i < len(c.addresses); i++ {
		next := c.addresses[(index+i+len(c.addresses))%len(c.addresses)]
		if time.Since(c.silentAt[next]) > avoidSilentFor {
			return next
		}
	}
	return c.addresses[(index+1)%len(c.addresses)]
}

// Call calls fn at the leader, with attemptTimeout for each attempt, until it succeeds, fails
// with an error that a retry can't resolve, or ctx ends. fn must be idempotent.
//
// The delay between attempts grows and is randomized: hundreds of entries that retry at a
// constant rate would keep overloaded replicas from ever electing a leader.
func (c *ControlClient) Call(ctx context.Context, attemptTimeout time.Duration, fn func(context.Context, Replica) error) error {
	for failures := 0; ; failures++ {
		err := c.attempt(ctx, attemptTimeout, fn)
		if err == nil || ctx.Err() != nil || isFinal(err) {
			return err
		}
		delay := retryDelay(failures)
		delay += rand.N(delay)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delay):
		}
	}
}

// retryDelay returns the minimum delay after a failed attempt. failures is the number of
// attempts that failed before it.
func retryDelay(failures int) time.Duration {
	delay := float64(ControlRetryDelay) * math.Pow(controlRetryGrowth, float64(failures))
	return time.Duration(min(float64(maxControlRetryDelay), delay))
}

func (c *ControlClient) attempt(ctx context.Context, timeout time.Duration, fn func(context.Context, Replica) error) error {
	replica := c.currentReplica()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := fn(ctx, replica)
	c.recordOutcome(replica.Address, err)
	if err != nil {
		c.selectNext(replica.Address, err)
	}
	return err
}

// isFinal reports whether the call would fail again with the same error.
func isFinal(err error) bool {
	var twerr twirp.Error
	if !errors.As(err, &twerr) {
		return false
	}
	switch twerr.Code() {
	case twirp.InvalidArgument, twirp.PermissionDenied, twirp.Malformed:
		return true
	default:
		return false
	}
}
