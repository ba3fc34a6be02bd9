package testbed

import (
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// standardDescriptors are those of standard input, output and errors.
const standardDescriptors = 3

// lackOfDescriptors is how long ConnectWithoutDescriptors leaves the process without a free descriptor.
const lackOfDescriptors = 200 * time.Millisecond

// ConnectWithoutDescriptors lets a connection arrive at an IPv4 address, host:port, while this process may open no
// descriptor. Errors: Failed.
func ConnectWithoutDescriptors(address string) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return Failed.Wrap(err, "address")
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		return Failed.Wrap(err, "socket")
	}
	defer unix.Close(fd)
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		return Failed.Wrap(err, "limit of descriptors")
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: standardDescriptors, Max: before.Max}); err != nil {
		return Failed.Wrap(err, "limit of descriptors")
	}
	connectErr := unix.Connect(fd, &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().As4()})
	time.Sleep(lackOfDescriptors)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		return Failed.Wrap(err, "limit of descriptors")
	}
	if connectErr != nil {
		return Failed.Wrap(connectErr, "connect")
	}
	return nil
}
