package host

import (
	"context"
	"errors"
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
	// metaLeader is the key under which a replica names the leader.
	metaLeader = "leader"
	// ControlRetryDelay is the wait after the first try where no replica leads; it grows by
	// pauseGrowth with each further one up to maxControlPause.
	ControlRetryDelay = 30 * time.Millisecond
	pauseGrowth       = 1.3
	maxControlPause   = 300 * time.Millisecond
	// avoidSilent is how long a replica that gave no answer is not gone back to
	// on another one's word: about an election.
	avoidSilent = time.Second
	// ControlAttemptTimeout bounds one try of a short call. A replica whose connection has
	// gone silent costs this much before another one is asked.
	ControlAttemptTimeout = 500 * time.Millisecond
)

// ControlClient calls the control replica that leads.
type ControlClient struct {
	auth *rpc.Auth
	http *http.Client

	mu        sync.Mutex
	addresses []string
	current   string
	clients   map[string]pb.Control
	// silent holds when a replica last gave no answer at all.
	silent map[string]time.Time
}

// NewControlClient starts with any of the addresses.
func NewControlClient(auth *rpc.Auth, addresses []string) *ControlClient {
	return &ControlClient{
		auth: auth, http: auth.Client(), addresses: slices.Clone(addresses),
		current: addresses[rand.IntN(len(addresses))], clients: make(map[string]pb.Control),
		silent: make(map[string]time.Time),
	}
}

// AddAddresses takes the addresses that the view names beside those of the settings.
func (c *ControlClient) AddAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		if !slices.Contains(c.addresses, a) {
			c.addresses = append(c.addresses, a)
		}
	}
}

func (c *ControlClient) leader() (string, pb.Control) {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[c.current]
	if client == nil {
		client = pb.NewControlProtobufClient(c.auth.URL(c.current), c.http)
		c.clients[c.current] = client
	}
	return c.current, client
}

// moveOn chooses whom to ask next after address failed: the leader that it
// named, else the next replica. A leader that has gone silent is still named by
// the others until they have elected another; going back to it would cost a
// timeout each time and the lease with them.
func (c *ControlClient) moveOn(address string, err error) {
	named := ""
	var twerr twirp.Error
	if errors.As(err, &twerr) {
		named = twerr.Meta(metaLeader)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != address {
		return
	}
	if named == "" {
		c.silent[address] = time.Now()
	}
	if named != "" && named != address && time.Since(c.silent[named]) > avoidSilent {
		c.current = named
		return
	}
	c.current = c.after(address)
}

// after gives the next replica that has not just been silent, else the next one.
// It must be called with mu held.
func (c *ControlClient) after(address string) string {
	at := slices.Index(c.addresses, address)
	for i := 1; i < len(c.addresses); i++ {
		next := c.addresses[(at+i+len(c.addresses))%len(c.addresses)]
		if time.Since(c.silent[next]) > avoidSilent {
			return next
		}
	}
	return c.addresses[(at+1)%len(c.addresses)]
}

// Call tries fn at the leader, each time with a deadline of its own, until it
// succeeds or ctx ends. fn must be idempotent.
//
// Failure: hundreds of entries ask at one pace while the replicas have too much to do to keep
// a leader. Their questions alone then keep it from coming about.
func (c *ControlClient) Call(ctx context.Context, try time.Duration, fn func(context.Context, pb.Control) error) error {
	for tries := 0; ; tries++ {
		err := c.once(ctx, try, fn)
		if err == nil || ctx.Err() != nil || final(err) {
			return err
		}
		pause := pauseAfter(tries)
		pause += rand.N(pause)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
}

// pauseAfter is the least wait after a try that failed, the first being 0.
func pauseAfter(try int) time.Duration {
	pause := float64(ControlRetryDelay) * math.Pow(pauseGrowth, float64(try))
	return time.Duration(min(float64(maxControlPause), pause))
}

func (c *ControlClient) once(ctx context.Context, try time.Duration, fn func(context.Context, pb.Control) error) error {
	address, client := c.leader()
	ctx, cancel := context.WithTimeout(ctx, try)
	defer cancel()
	err := fn(ctx, client)
	if err != nil {
		c.moveOn(address, err)
	}
	return err
}

// final tells whether asking again can't help.
func final(err error) bool {
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
