package cli

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// testRoot returns a program with one command that needs a flag and takes no arguments.
func testRoot(runErr error) *cobra.Command {
	root := NewRoot("program", "", "")
	cmd := &cobra.Command{Use: "run", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return runErr }}
	cmd.Flags().String("settings", "", "")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	group := &cobra.Command{Use: "group"}
	group.AddCommand(&cobra.Command{Use: "part", Args: cobra.ExactArgs(1), RunE: func(*cobra.Command, []string) error { return runErr }})
	root.AddCommand(cmd, group)
	return root
}

// Guards against a supervisor that starts a program with a wrong command line again and again because
// its exit code says that the program failed, and against a script that goes on after a misspelt command.
func TestWrongCommandLinesEndWithTheUsageCode(t *testing.T) {
	for _, line := range []string{
		"run", "run --settings", "run --unknown", "run --settings f extra", "unknown", "group unknown", "group part", "group part a b", "version extra",
	} {
		root := testRoot(nil)
		root.SetArgs(strings.Fields(line))
		var stderr strings.Builder
		if code := Run(root, &stderr); code != ExitUsage || !strings.HasPrefix(stderr.String(), "program: ") {
			t.Errorf("%q: exit code %d, want %d; it printed %q", line, code, ExitUsage, stderr.String())
		}
	}
}

// The error of a command that ran must not be reported as wrong usage.
func TestErrorsOfCommandsThatRanKeepTheirCode(t *testing.T) {
	for want, err := range map[int]error{
		ExitOK: nil, ExitFailed: errors.New("failed"), ExitRefused: WithCode(ExitRefused, errors.New("refused")),
	} {
		lines := []string{"run --settings f", "group part a"}
		if err == nil {
			lines = append(lines, "", "group", "run --help", "version", "completion bash")
		}
		for _, line := range lines {
			root := testRoot(err)
			root.SetArgs(strings.Fields(line))
			root.SetOut(io.Discard)
			if code := Run(root, io.Discard); code != want {
				t.Errorf("%q with error %v: exit code %d, want %d", line, err, code, want)
			}
		}
	}
}
