package testbed

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

// Process is a process of the test bed, which can be restarted.
type Process struct {
	Name string
	// Address is the address for clients of the process.
	Address string
	// MetricsAddress is the address that serves /metrics; empty for backend
	// servers.
	MetricsAddress string
	// DataCentre is the data centre in the settings of the process.
	DataCentre string
	// LogFile holds the standard output and error of all runs of the process.
	LogFile string
	// DataDir is the data directory of a control replica; empty for others.
	DataDir string

	binary string
	args   []string
	wg     *conc.WaitGroup
	// MaxFiles bounds the descriptors of the process; 0 leaves the limit of this one.
	MaxFiles uint64

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// exitExpected is true once the test stops the current run or expects its
	// exit.
	exitExpected bool
	// unexpectedExits counts runs that exited while exitExpected was false; exitLines are the last
	// lines of the log of the first of them.
	unexpectedExits int
	exitLines       string
}

// NewProcess returns a process that runs the binary at path with the given
// arguments. wg waits for the exit of each run.
func NewProcess(name, path string, args []string, logFile string, wg *conc.WaitGroup) *Process {
	return &Process{Name: name, LogFile: logFile, binary: path, args: args, wg: wg}
}

// Start starts the process. Errors: Failed.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Failed.Wrap(err, "log of %s", p.Name)
	}
	defer log.Close()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the child when its parent dies, so that no process stays
	// behind if a test run is killed. Its own process group keeps a Ctrl-C in
	// the terminal from reaching it before the test bed stops it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return Failed.Wrap(err, "start %s", p.Name)
	}
	if p.MaxFiles > 0 {
		if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: p.MaxFiles, Max: p.MaxFiles}, nil); err != nil {
			return Failed.Wrap(err, "descriptors of %s", p.Name)
		}
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.exitExpected = cmd, exited, false
	p.wg.Go(func() {
		_ = cmd.Wait()
		p.mu.Lock()
		if !p.exitExpected {
			if p.unexpectedExits++; p.unexpectedExits == 1 {
				p.exitLines = lastLines(p.LogFile)
			}
		}
		p.mu.Unlock()
		close(exited)
	})
	return nil
}

// Signal sends a signal to this process only. After SIGKILL, SIGTERM or SIGINT, the
// exit of the current run counts as expected.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM, syscall.SIGINT:
		p.exitExpected = true
	}
	_ = p.cmd.Process.Signal(sig)
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Exited()
}

// Stop sends SIGTERM and waits until the process has exited. If that takes longer
// than the timeout, it kills the process and returns false.
func (p *Process) Stop(timeout time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Exited():
		return true
	case <-time.After(timeout):
		p.Kill()
		return false
	}
}

// ExpectExit makes the exit of the current run count as expected.
func (p *Process) ExpectExit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = true
}

// Exited returns a channel that is closed when the current run has exited, or a
// closed channel if the process has never been started.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return p.exited
}

// Running reports whether the process is running.
func (p *Process) Running() bool {
	select {
	case <-p.Exited():
		return false
	default:
		return true
	}
}

// PID returns the process ID of the current run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// UnexpectedExits returns the number of runs that exited unexpectedly.
func (p *Process) UnexpectedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}

// ExitLines returns what the first run that exited unexpectedly logged last: from its panic on, if it
// had one. Empty if there was no such run.
func (p *Process) ExitLines() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitLines
}

const (
	// logTailBytes is how much of a log is searched for a panic, exitLinesBytes how much of it is kept.
	logTailBytes   = 64 << 10
	exitLinesBytes = 1000
)

// lastLines returns the end of a log, or its last panic.
func lastLines(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	tail := string(data[max(0, len(data)-logTailBytes):])
	for _, mark := range []string{"\npanic: ", "\nfatal error: "} {
		if i := strings.LastIndex("\n"+tail, mark); i >= 0 {
			tail = tail[i:]
			return tail[:min(len(tail), exitLinesBytes)]
		}
	}
	return tail[max(0, len(tail)-exitLinesBytes):]
}

// WipeData empties the data directory of a stopped process.
func (p *Process) WipeData() error {
	if err := os.RemoveAll(p.DataDir); err != nil {
		return Failed.Wrap(err, "wipe")
	}
	return os.MkdirAll(p.DataDir, 0o700)
}

// TruncateData truncates every file in the data directory of a stopped process to
// the given share of its size, 0 to 1. It simulates data lost in a disk failure.
func (p *Process) TruncateData(share float64) error {
	return filepath.Walk(p.DataDir, func(path string, info os.FileInfo, err error) error {
		if err != nil || info.IsDir() {
			return err
		}
		return os.Truncate(path, int64(float64(info.Size())*share))
	})
}
