// Package cli holds what the command lines of all programs share: the root
// command with its version, exit codes and the printing of findings.
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

// Exit codes of all programs.
const (
	// ExitOK: done as asked.
	ExitOK = 0
	// ExitFailed: it could not be done.
	ExitFailed = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = 2
	// ExitInvalid: a file has findings.
	ExitInvalid = 3
	// ExitRefused: the system refused it; the message says why.
	ExitRefused = 4
	// ExitUnknown: no answer came; it may have been done.
	ExitUnknown = 5
)

// exitCodes is the part of every help page that tells them.
const exitCodes = `
Exit codes: 0 done; 1 failed; 2 wrong usage; 3 a file has findings;
4 refused by the system; 5 no answer, it may have been done.`

// CodedError carries an exit code.
type CodedError struct {
	Code int
	Err  error
}

// Error gives the message of the wrapped error.
func (e *CodedError) Error() string { return e.Err.Error() }

// Unwrap gives the wrapped error.
func (e *CodedError) Unwrap() error { return e.Err }

// WithCode gives err an exit code; nil stays nil.
func WithCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &CodedError{Code: code, Err: err}
}

// Invalid gives nil when there are no findings, else an ExitInvalid error.
func Invalid(l finding.List) error { return WithCode(ExitInvalid, l.Err()) }

// NewRoot gives the root command of a program. cobra adds help and completion.
func NewRoot(name, short, long string) *cobra.Command {
	root := &cobra.Command{
		Use: name, Short: short, Long: long + "\n" + exitCodes,
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

// Main runs the command and ends the process with its exit code.
func Main(root *cobra.Command) {
	os.Exit(Run(root, os.Stderr))
}

// Run runs the command, prints its error and gives the exit code.
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
