// Package cli holds the code that the command lines of all programs share: the root command with
// its version, exit codes, signal handling and the watching of settings files.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/finding"
	"goldcrestseam.dev/goldcrestseam/internal/version"
)

// The exit codes of all programs.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitInvalid means that a file is invalid.
	ExitInvalid = 3
	// ExitRefused means that the system refused the request; the message gives the reason.
	ExitRefused = 4
	// ExitUnknown means that no answer came; the request may have taken effect.
	ExitUnknown = 5
)

// exitCodesHelp is the description of the exit codes in every help text.
const exitCodesHelp = `
Exit codes: 0 done; 1 failed; 2 wrong usage; 3 a file has findings;
4 refused by the system; 5 no answer, the request may have taken effect.`

// CodedError is an error with an exit code.
type CodedError struct {
	Code int
	Err  error
}

// Error returns the message of the wrapped error.
func (e *CodedError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *CodedError) Unwrap() error { return e.Err }

// WithCode returns err with an exit code, or nil if err is nil.
func WithCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &CodedError{Code: code, Err: err}
}

// Invalid returns nil if there are no findings, otherwise an error with ExitInvalid.
func Invalid(l finding.List) error { return WithCode(ExitInvalid, l.Err()) }

// NewRoot returns the root command of a program. Cobra adds the help and completion commands.
func NewRoot(name, short, long string) *cobra.Command {
	root := &cobra.Command{
		Use: name, Short: short, Long: long + "\n" + exitCodesHelp,
		Version: version.Version, SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return WithCode(ExitUsage, err)
	})
	root.AddCommand(&cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), version.Version)
			return err
		},
	})
	return root
}

// Main runs the command and exits with its exit code.
func Main(root *cobra.Command) {
	os.Exit(Run(root, os.Stderr))
}

// Run runs the command, prints its error to stderr and returns the exit code.
func Run(root *cobra.Command, stderr io.Writer) int {
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "%s: %v\n", root.Name(), err)
	var coded *CodedError
	if errors.As(err, &coded) {
		return coded.Code
	}
	return ExitFailed
}
