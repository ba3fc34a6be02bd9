package testbed

import (
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTicks is USER_HZ, the number of clock ticks per second in which
	// /proc reports CPU time. It is 100 on all Linux platforms that Go supports.
	clockTicks = 100
	// fieldsBeforeTimes is the number of fields in /proc/PID/stat between the
	// closing parenthesis of the command and utime.
	fieldsBeforeTimes = 11
)

// CPUTime returns the CPU time that a process has used in user and system mode.
// Errors: Failed.
func CPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, Failed.Wrap(err, "CPU time")
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < fieldsBeforeTimes+2 {
		return 0, Failed.New("stat of process %d: %q", pid, data)
	}
	ticks := 0
	for _, f := range fields[fieldsBeforeTimes : fieldsBeforeTimes+2] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, Failed.Wrap(err, "stat of process %d", pid)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

// ResidentKB returns the resident set size of a process in kB. Errors: Failed.
func ResidentKB(pid int) (float64, error) { return statusKB(pid, "VmRSS:") }

// PeakKB returns the largest resident set size that a process has had, in kB. Errors: Failed.
func PeakKB(pid int) (float64, error) { return statusKB(pid, "VmHWM:") }

func statusKB(pid int, field string) (float64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, Failed.Wrap(err, "memory")
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, field); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				return 0, Failed.Wrap(err, "memory")
			}
			return float64(kb), nil
		}
	}
	return 0, Failed.New("process %d has no %s", pid, field)
}

// FolderBytes returns the size of all files in a folder whose process may be writing to it.
func FolderBytes(dir string) int64 {
	var size int64
	// Files that are removed meanwhile no longer count.
	_ = filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			size += info.Size()
		}
		return nil
	})
	return size
}

// LocalPorts returns the local ports of the IPv4 connections that a process has open.
func LocalPorts(pid int) map[int]bool {
	inodes := make(map[string]bool)
	fds := "/proc/" + strconv.Itoa(pid) + "/fd"
	// A process that has ended, and a descriptor that is closed meanwhile, have no port.
	entries, _ := os.ReadDir(fds)
	for _, fd := range entries {
		target, _ := os.Readlink(filepath.Join(fds, fd.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	ports := make(map[int]bool)
	data, _ := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/net/tcp")
	for line := range strings.Lines(string(data)) {
		// Most lines are of connections that wait for their end, and belong to no process.
		if !strings.Contains(line, stateEstablished) {
			continue
		}
		fields := strings.Fields(line)
		if len(fields) <= inodeField || !inodes[fields[inodeField]] {
			continue
		}
		_, port, _ := strings.Cut(fields[localAddressField], ":")
		if n, err := strconv.ParseInt(port, 16, 32); err == nil {
			ports[int(n)] = true
		}
	}
	return ports
}

// Fields of a line of /proc/PID/net/tcp, and the one of its state with the spaces around it.
const (
	stateEstablished  = " 01 "
	localAddressField = 1
	inodeField        = 9
)
