package testbed

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// Process is one program of the bed; it may live several times.
type Process struct {
	Name string
	// Address is where callers of it connect.
	Address string
	// MetricsAddress is where it serves /metrics; empty for backend servers.
	MetricsAddress string
	// DataCentre says where its VM is said to stand.
	DataCentre string
	// LogFile holds its standard output and error of all its lives.
	LogFile string
	// DataDir is a control replica's data folder.
	DataDir string

	binary string
	args   []string
	wg     *conc.WaitGroup

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// meant tells that the bed ended this life itself.
	meant bool
	// unmeant counts lives that ended without the bed's doing.
	unmeant int
}

// NewProcess gives a process of the program at path with its arguments; wg waits for
// its lives' ends.
func NewProcess(name, path string, args []string, logFile string, wg *conc.WaitGroup) *Process {
	return &Process{Name: name, LogFile: logFile, binary: path, args: args, wg: wg}
}

// Start begins a life of the process. Errors: Failed.
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
	// The kernel kills the child when the bed's process dies, so that nothing
	// stays behind even when a test run is killed. Its own process group keeps
	// a Ctrl-C in the terminal from reaching it before the bed stops it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return Failed.Wrap(err, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.meant = cmd, done, false
	p.wg.Go(func() {
		_ = cmd.Wait()
		p.mu.Lock()
		if !p.meant {
			p.unmeant++
		}
		p.mu.Unlock()
		close(done)
	})
	return nil
}

// Signal sends a signal to the process and nobody else. SIGKILL, SIGTERM and
// SIGINT count as the bed's own ending of this life.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM, syscall.SIGINT:
		p.meant = true
	}
	_ = p.cmd.Process.Signal(sig)
}

// Kill ends the process with SIGKILL and waits until it is gone.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.Exited()
}

// Stop asks for a planned stop and waits for it. It gives false, and kills the
// process, when that takes longer than the timeout.
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

// ExpectExit says that the process's end is part of the test.
func (p *Process) ExpectExit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meant = true
}

// Exited is closed when the current life is over.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return p.done
}

// Running tells whether the process lives.
func (p *Process) Running() bool {
	select {
	case <-p.Exited():
		return false
	default:
		return true
	}
}

// PID is the process id of the current life.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// UnexpectedExits gives how many lives ended without the bed's doing.
func (p *Process) UnexpectedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unmeant
}

// WipeData empties the data folder of a process that doesn't run.
func (p *Process) WipeData() error {
	if err := os.RemoveAll(p.DataDir); err != nil {
		return Failed.Wrap(err, "wipe")
	}
	return os.MkdirAll(p.DataDir, 0o700)
}

// TruncateData cuts every file of the data folder to the share given, 0 to 1,
// as a torn disk would, while the process doesn't run.
func (p *Process) TruncateData(share float64) error {
	return filepath.Walk(p.DataDir, func(path string, info os.FileInfo, err error) error {
		if err != nil || info.IsDir() {
			return err
		}
		return os.Truncate(path, int64(float64(info.Size())*share))
	})
}
