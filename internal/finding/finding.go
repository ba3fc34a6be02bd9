// Package finding collects the problems of a file with their positions, so that
// all of them are reported together.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// Namespace holds the error types of checked files.
var Namespace = errorx.NewNamespace("file")

// Invalid is the type of the error that List.Err returns.
var Invalid = Namespace.NewType("invalid")

// Finding is one problem of a file.
type Finding struct {
	File string `json:"file"`
	// Line counts from 1. It is zero if the problem concerns the whole file.
	Line int `json:"line"`
	// Field is the path of the field, such as "profiles[2].class".
	Field string `json:"field"`
	// Problem states what is wrong and what is expected instead.
	Problem string `json:"problem"`
}

// String returns "file:line: field: problem".
func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Field == "" {
		return place + ": " + f.Problem
	}
	return place + ": " + f.Field + ": " + f.Problem
}

// List is a list of findings.
type List []Finding

// Sort orders the findings by file, line and field.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Field, b.Field),
		)
	})
}

// Err returns nil for an empty list, else an Invalid error with one line for each finding.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return Invalid.New("%d findings\n%s", len(l), strings.Join(lines, "\n"))
}
