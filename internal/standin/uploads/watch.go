package uploads

import (
	"fmt"
	"os"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// Limits are what a process under test may use.
type Limits struct{ MemoryMB, Files int }

// Clients is the size of a crowd that holds several times the memory of LowLimits, and more connections than a process
// takes within them.
const Clients = 150

// LowLimits are low enough for a small crowd to show what is not bounded.
var LowLimits = Limits{MemoryMB: 96, Files: 200}

// sendingLimit bounds the wait for clients whose bodies nobody reads.
const sendingLimit = 8 * time.Second

// Trial is a crowd that sends to one address of a process.
type Trial struct {
	Process *testbed.Process
	Limits  Limits
	// Address is where the clients connect; Head and Upload are as for Open.
	Address string
	Clients int
	Head    func(client int) string
	Upload  func(client int) Upload
	// Ordinary sends a sound request while the crowd is connected, until it is answered; false if it never is.
	Ordinary func() bool
}

// Run lets the crowd send, and checks that an ordinary request is answered beside it and that the process lives and has
// kept to its limits.
func (tr *Trial) Run(t *testing.T) {
	t.Helper()
	check := Watch(t, tr.Process, tr.Limits)
	crowd := Open(tr.Address, tr.Clients, tr.Head, tr.Upload)
	defer crowd.Close()
	crowd.AwaitSent(sendingLimit)
	if !tr.Ordinary() {
		t.Errorf("no ordinary request is answered beside the crowd, which got %v", crowd.Statuses())
	}
	check()
	t.Logf("the crowd got %v", crowd.Statuses())
}

// kbPerMB converts the unit of the kernel's figures.
const kbPerMB = 1024

// Watch starts the highest memory of a process anew and returns a check that it lives and has kept to its limits since.
func Watch(t *testing.T, p *testbed.Process, limits Limits) (check func()) {
	t.Helper()
	pid, exits := p.PID(), p.UnexpectedExits()
	const resetPeak = "5"
	if err := os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte(resetPeak), 0); err != nil {
		t.Fatal(err)
	}
	return func() {
		t.Helper()
		if !p.Running() || p.PID() != pid || p.UnexpectedExits() > exits {
			t.Fatalf("%s has ended: %s", p.Name, p.ExitLines())
		}
		kb, err := testbed.PeakKB(pid)
		if err != nil {
			t.Fatal(err)
		}
		open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: at most %.0f MB of %d, %d descriptors of %d", p.Name, kb/kbPerMB, limits.MemoryMB, len(open), limits.Files)
		if kb/kbPerMB > float64(limits.MemoryMB) {
			t.Errorf("%s used %.0f MB of memory, its machine has %d", p.Name, kb/kbPerMB, limits.MemoryMB)
		}
		if len(open) > limits.Files {
			t.Errorf("%s has %d descriptors open, its limit is %d", p.Name, len(open), limits.Files)
		}
	}
}
