package testbed

import (
	"net"
	"os"
	"strconv"
)

// Ports are taken from below the range that the kernel hands out to outgoing
// connections, so that no connection of a test takes a port in between.
const (
	lowestPort  = 11000
	portRange   = 20000
	portsPerPID = 97
)

// portSource hands out free loopback ports; each call of a bed goes on where
// the last one stopped.
type portSource struct{ next int }

func newPortSource() *portSource {
	return &portSource{next: os.Getpid() * portsPerPID % portRange}
}

// address gives a loopback address with a port that is free now.
func (p *portSource) address() string {
	for range portRange {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(lowestPort+p.next%portRange))
		p.next++
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return address
	}
	panic("testbed: no free port")
}
