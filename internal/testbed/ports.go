package testbed

import (
	"net"
	"os"
	"strconv"
)

// Ports are below the kernel's ephemeral port range, so that no outgoing connection
// takes an allocated port before its process listens. Each process ID starts at a
// different port, to avoid collisions of concurrent test runs.
const (
	minPort     = 11000
	portCount   = 20000
	portsPerPID = 97
)

// portAllocator allocates free loopback ports in ascending order. A port is free until
// its process listens, so the search continues after the last allocated port.
type portAllocator struct{ next int }

func newPortAllocator() *portAllocator {
	return &portAllocator{next: os.Getpid() * portsPerPID % portCount}
}

// address returns a loopback address with a free port.
func (p *portAllocator) address() string {
	for range portCount {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(minPort+p.next%portCount))
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
