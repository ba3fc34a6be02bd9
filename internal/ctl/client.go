// Package ctl implements goldcrestctl: a client that finds the leader of the control group, and the
// commands.
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
	// Refused is the type of errors about calls that the leader refused, or that this client refuses
	// because they contradict the current state.
	Refused = Namespace.NewType("refused")
	// NoAnswer is the type of errors about calls that got no answer in time. Such a call may still
	// take effect.
	NoAnswer = Namespace.NewType("no_answer")
	// NoLines is the type of errors about log input that has no lines of the request or cannot be
	// read.
	NoLines = Namespace.NewType("no_lines")
)

const (
	// initialTimeout is the timeout of the first call to a replica. A leader answers within two disk
	// syncs and a round trip, and an unresponsive one must not use up the time needed to reach its
	// successor. Each call that times out doubles the timeout of the next one, up to maxTimeout, so
	// that a leader with a slow disk is eventually given enough time.
	initialTimeout = 400 * time.Millisecond
	maxTimeout     = 5 * time.Second
	// roundPause is the pause after a round over all replicas without an answer from a leader. An
	// election takes a few such pauses.
	roundPause = 100 * time.Millisecond
)

// Client calls the leader of the control group. It is not safe for concurrent use.
type Client struct {
	cluster   string
	addresses []string
	auth      *rpc.Auth
	http      *http.Client
	// nextAddress is the address to try first.
	nextAddress string
	// timedOutAddress is the address of the last call that timed out. It is avoided until
	// avoidUntil.
	timedOutAddress string
	avoidUntil      time.Time
}

// NewClient returns a client of the control group with these addresses.
func NewClient(cluster string, addresses []string, auth *rpc.Auth) *Client {
	return &Client{
		cluster: cluster, addresses: addresses, auth: auth, http: auth.Client(), nextAddress: addresses[0],
	}
}

// Leader returns the address that the next call tries first: that of the leader, after a call that
// succeeded.
func (c *Client) Leader() string { return c.nextAddress }

// Cluster returns the cluster id that calls must carry.
func (c *Client) Cluster() string { return c.cluster }

// Call makes one call to the leader. It tries one replica after the other until one answers as the
// leader or ctx ends. A call may arrive more than once, so it must be idempotent: declarations are
// by their revision and digest, all others by a request id. Errors: Refused, NoAnswer.
func (c *Client) Call(ctx context.Context, send func(context.Context, pb.Operator) error) error {
	return c.callLeader(ctx, func(ctx context.Context, base string) error {
		return send(ctx, pb.NewOperatorProtobufClient(base, c.http))
	})
}

// CallControl is like Call, for the service that entries use.
func (c *Client) CallControl(ctx context.Context, send func(context.Context, pb.Control) error) error {
	return c.callLeader(ctx, func(ctx context.Context, base string) error {
		return send(ctx, pb.NewControlProtobufClient(base, c.http))
	})
}

func (c *Client) callLeader(ctx context.Context, send func(ctx context.Context, base string) error) error {
	var lastErr error
	timeout := initialTimeout
	for attempt := 0; ; attempt++ {
		err := c.callNext(ctx, timeout, send)
		if err == nil {
			return nil
		}
		if isTimeout(err) {
			c.timedOutAddress, c.avoidUntil = c.nextAddress, time.Now().Add(2*timeout)
			timeout = min(2*timeout, maxTimeout)
		}
		if isFinal(err) {
			return Refused.Wrap(err, "control")
		}
		lastErr = err
		c.chooseNext(err, attempt)
		if !pauseAfterRound(ctx, attempt, len(c.addresses)) {
			return NoAnswer.Wrap(lastErr, "no leader answered in time; the call may still take effect")
		}
	}
}

func (c *Client) callNext(
	ctx context.Context, timeout time.Duration, send func(ctx context.Context, base string) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return send(ctx, c.auth.URL(c.nextAddress))
}

func isTimeout(err error) bool {
	t, ok := err.(twirp.Error)
	return ok && t.Code() == twirp.DeadlineExceeded || errors.Is(err, context.DeadlineExceeded)
}

// isFinal reports whether the error is a refusal that a retry at another replica would not change.
func isFinal(err error) bool {
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

// chooseNext selects the replica for the next attempt: the leader that the error names, or the next
// replica in turn.
//
// Failure: a leader becomes unresponsive, and the other replicas name it as the leader until they
// have elected a new one. A client that follows them waits for one timeout after the other. So an
// address that has just timed out is avoided for twice its timeout, unless there is no other.
func (c *Client) chooseNext(err error, attempt int) {
	if t, ok := err.(twirp.Error); ok {
		if leader := t.Meta("leader"); leader != "" && leader != c.nextAddress && !c.recentlyTimedOut(leader) {
			c.nextAddress = leader
			return
		}
	}
	for i := range c.addresses {
		c.nextAddress = c.addresses[(attempt+i)%len(c.addresses)]
		if !c.recentlyTimedOut(c.nextAddress) {
			return
		}
	}
}

func (c *Client) recentlyTimedOut(address string) bool {
	return address == c.timedOutAddress && time.Now().Before(c.avoidUntil)
}

// pauseAfterRound waits for roundPause if the attempt was the last one of a round over all replicas.
// It returns false if ctx has ended.
func pauseAfterRound(ctx context.Context, attempt, replicas int) bool {
	if ctx.Err() != nil {
		return false
	}
	if attempt%replicas != replicas-1 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(roundPause):
		return true
	}
}
