package host

import (
	"net"

	"github.com/uber-go/tally/v4"

	"goldcrestseam.dev/goldcrestseam/internal/callerconn"
)

// CallerListener gives the connections of a listener for callers: writes to them are
// bounded, and each one accepted is counted, so that metrics tell an entry which takes no
// connections from one which takes them and does not answer.
func (h *Host) CallerListener(ln net.Listener) net.Listener {
	return countedListener{Listener: callerconn.Listener{Listener: ln}, accepted: h.Metrics.Scope.Counter("caller_connections")}
}

type countedListener struct {
	net.Listener
	accepted tally.Counter
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Inc(1)
	}
	return conn, err
}
