package listen

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("listen")

// AddressTaken is the type of errors about an address that another process listens on.
var AddressTaken = Namespace.NewType("address_taken")

const (
	// takenRetryTime is how long Open waits for an address that is taken: a killed process of
	// many connections may need seconds to go.
	takenRetryTime = 5 * time.Second
	// takenRetryDelay is the delay between two attempts.
	takenRetryDelay = 50 * time.Millisecond
)

// Open listens on a TCP address, host:port. The listener outlives errors of Accept, as LimitedListener
// does. If the address is taken, Open tries again for takenRetryTime or until ctx ends: a process that is
// started again at once would otherwise end because the killed one has not gone yet. Errors: AddressTaken,
// those of net.Listen.
func Open(ctx context.Context, address string, log *slog.Logger) (net.Listener, error) {
	return open(ctx, address, log, takenRetryTime)
}

func open(ctx context.Context, address string, log *slog.Logger, retryTime time.Duration) (net.Listener, error) {
	start := time.Now()
	for attempt := 1; ; attempt++ {
		var lc net.ListenConfig
		ln, err := lc.Listen(ctx, "tcp", address)
		waited := time.Since(start)
		switch {
		case err == nil:
			if attempt > 1 {
				log.Info("the address is free now", "address", address, "attempts", attempt, "waited_ms", waited.Milliseconds())
			}
			return LimitListener(ln, Limit{}, log), nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return nil, err
		case waited >= retryTime:
			return nil, AddressTaken.Wrap(err, "%s is still taken after %v", address, waited.Round(time.Millisecond))
		case attempt == 1:
			log.Warn("the address is taken; trying again", "address", address, "for_ms", retryTime.Milliseconds())
		}
		select {
		case <-ctx.Done():
			return nil, AddressTaken.Wrap(err, "%s is taken", address)
		case <-time.After(takenRetryDelay):
		}
	}
}
