package traffic

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/httpconn"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

func dialError(errno syscall.Errno) error {
	return &httpconn.DialError{Cause: &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}}
}

// A stream breaks and the next connection to its engine fails. Each way in which a dead process's
// address fails must count as its death. Otherwise a request that crashes engines isn't charged
// for the crash and goes on to the next engine. A timeout must not count, nor a first connection
// that fails after it was accepted: the engine may be alive.
func TestFailedConnectionsThatShowDeath(t *testing.T) {
	for name, c := range map[string]struct {
		err                      error
		diedFirst, diedReconnect bool
		first                    outcome.Outcome
	}{
		"refused":               {dialError(syscall.ECONNREFUSED), true, true, outcome.NotRun},
		"reset while opened":    {dialError(syscall.ECONNRESET), false, true, outcome.NotRun},
		"closed without answer": {fasthttp.ErrConnectionClosed, false, true, outcome.Unknown},
		"reset after opening":   {syscall.ECONNRESET, false, true, outcome.Unknown},
		"open timed out":        {dialError(syscall.ETIMEDOUT), false, false, outcome.NotRun},
		"unreachable":           {dialError(syscall.EHOSTUNREACH), false, false, outcome.NotRun},
		"answer timed out":      {fasthttp.ErrTimeout, false, false, outcome.Unknown},
	} {
		for _, reconnect := range []bool{false, true} {
			a := &modelAttempt{dispatch: entry.Dispatch{Reconnect: reconnect}}
			a.result.Outcome = outcome.NotRun
			a.recordFailure(httpconn.Classify(c.err))
			died, ran := c.diedFirst, c.first
			if reconnect {
				died, ran = c.diedReconnect, outcome.Unknown
			}
			if !a.result.NoAnswer {
				t.Errorf("%s, reconnect %v: counts as an answer", name, reconnect)
			}
			if a.result.ServerDied != died || a.result.Outcome != ran {
				t.Errorf("%s, reconnect %v: died %v, outcome %v; want %v, %v", name, reconnect, a.result.ServerDied, a.result.Outcome, died, ran)
			}
		}
	}
}
