package ctl_test

import (
	"strings"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
)

// Guards against a voter that is removed by a command that then lacks the address to add it again.
func TestReplaceWithoutAddressChangesNothing(t *testing.T) {
	control, calls := countingControl(t)
	file := writeSettings(t, control, "trusted_network: true")
	for _, command := range []string{"replica add 3", "replica replace 3 3", "replica replace 3 4"} {
		out := expectCode(t, cli.ExitUsage, append(strings.Fields(command), "--settings", file)...)
		if !strings.Contains(out, "--address is needed") {
			t.Errorf("%s: printed %q", command, out)
		}
	}
	if n := calls.Load(); n != 0 {
		t.Errorf("%d calls were made", n)
	}
}
