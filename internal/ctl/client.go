// Package ctl is the code of goldcrestctl: a client that finds the leader of the
// control group, and the commands.
package ctl

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("ctl")

var (
	// Refused: the system looked at the call and refused it.
	Refused = Namespace.NewType("refused")
	// NoAnswer: no replica answered in time; the call may come about.
	NoAnswer = Namespace.NewType("no_answer")
	// NoLines: the input holds no lines of the request, or can't be read.
	NoLines = Namespace.NewType("no_lines")
)

const (
	// firstTimeout bounds the first call to one replica: a leader answers within
	// two syncs and a round trip, and a frozen one must not use up the time of
	// its successor. Each call that runs into its timeout doubles the next one's,
	// up to lastTimeout, so that a slow disk is waited for in the end.
	firstTimeout = 400 * time.Millisecond
	lastTimeout  = 5 * time.Second
	// retryPause is between rounds over replicas of which none leads: an
	// election takes a few of them.
	retryPause = 100 * time.Millisecond
)

// Client calls the leader of the control group. It is not safe for concurrent use.
type Client struct {
	cluster   string
	addresses []string
	auth      *rpc.Auth
	http      *http.Client
	// next is the address to try first.
	next string
	// frozen is the address that ran into a timeout last, until frozenUntil.
	frozen      string
	frozenUntil time.Time
}

// NewClient gives a client of the group at addresses.
func NewClient(cluster string, addresses []string, auth *rpc.Auth) *Client {
	return &Client{
		cluster: cluster, addresses: addresses, auth: auth, http: auth.Client(), next: addresses[0],
	}
}

// Leader is the address that answered last as the leader.
func (c *Client) Leader() string { return c.next }

// Cluster is the cluster id that calls must carry.
func (c *Client) Cluster() string { return c.cluster }

// Call makes one call, trying replica after replica until one answers as the
// leader or ctx ends. A call may arrive more than once, so it must be
// idempotent: declarations by revision and digest, all others by a request id.
// Errors: Refused, NoAnswer.
func (c *Client) Call(ctx context.Context, do func(context.Context, pb.Operator) error) error {
	return c.call(ctx, func(ctx context.Context, base string) error {
		return do(ctx, pb.NewOperatorProtobufClient(base, c.http))
	})
}

// CallControl is Call for the service that entries use.
func (c *Client) CallControl(ctx context.Context, do func(context.Context, pb.Control) error) error {
	return c.call(ctx, func(ctx context.Context, base string) error {
		return do(ctx, pb.NewControlProtobufClient(base, c.http))
	})
}

func (c *Client) call(ctx context.Context, do func(ctx context.Context, base string) error) error {
	var last error
	timeout := firstTimeout
	for n := 0; ; n++ {
		err := c.attempt(ctx, timeout, do)
		if err == nil {
			return nil
		}
		if timedOut(err) {
			c.frozen, c.frozenUntil = c.next, time.Now().Add(2*timeout)
			timeout = min(2*timeout, lastTimeout)
		}
		if final(err) {
			return Refused.Wrap(err, "control")
		}
		last = err
		c.choose(err, n)
		if !pause(ctx, n, len(c.addresses)) {
			return NoAnswer.Wrap(last, "no leader answered in time; the call may come about")
		}
	}
}

func (c *Client) attempt(
	ctx context.Context, timeout time.Duration, do func(ctx context.Context, base string) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return do(ctx, c.auth.URL(c.next))
}

func timedOut(err error) bool {
	t, ok := err.(twirp.Error)
	return ok && t.Code() == twirp.DeadlineExceeded || errors.Is(err, context.DeadlineExceeded)
}

// final tells whether asking another replica would not help.
func final(err error) bool {
	t, ok := err.(twirp.Error)
	if !ok {
		return false
	}
	switch t.Code() {
	case twirp.InvalidArgument, twirp.FailedPrecondition, twirp.Unauthenticated,
		twirp.PermissionDenied, twirp.ResourceExhausted, twirp.BadRoute, twirp.Malformed:
		return true
	}
	return false
}

// choose picks whom to ask next: the leader that the answer names, or the next
// replica in turn.
//
// Failure: a leader freezes, and the others go on naming it until they have
// elected the next one. A client that goes back each time waits out one timeout
// after the other. So one that has just run into its timeout is left out for
// twice as long, unless there is no other.
func (c *Client) choose(err error, n int) {
	if t, ok := err.(twirp.Error); ok {
		if leader := t.Meta("leader"); leader != "" && leader != c.next && !c.isFrozen(leader) {
			c.next = leader
			return
		}
	}
	for i := range c.addresses {
		c.next = c.addresses[(n+i)%len(c.addresses)]
		if !c.isFrozen(c.next) {
			return
		}
	}
}

func (c *Client) isFrozen(address string) bool {
	return address == c.frozen && time.Now().Before(c.frozenUntil)
}

// pause waits a little after each round; false when ctx has ended.
func pause(ctx context.Context, n, round int) bool {
	if ctx.Err() != nil {
		return false
	}
	if n%round != round-1 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryPause):
		return true
	}
}
