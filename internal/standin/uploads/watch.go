package uploads

import (
	"fmt"
	"os"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// Limits are what a process under test may use.
type Limits struct{ MemoryMB, Files int }

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
