//go:build review

// Command stage plays the script cases of the second review. It starts the project's own programs as processes of
// their own on loopback addresses, with stand-ins of the platform, its servers, operator and callers, and checks what
// these have seen. The project's forwarder stands between control replicas, so that they can be cut from each other.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// stage is what a case runs on.
type stage struct {
	root, caseDir string
	// trouble is false if the case runs without its disruption.
	trouble bool
	record  *record
	*deployment
}

// cases are the scripts by the names that their run.sh give. Each returns what broke the rule, empty if it held.
var cases = map[string]struct {
	options options
	run     func(*stage) (string, error)
}{
	"turns": {options{control: 3, entries: 3, splits: true}, turns},
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stage CASE FOLDER")
		return cannotRun
	}
	c, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return cannotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer rec.close()
	s := &stage{root: root, caseDir: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", record: rec}
	rec.logf("case %s, trouble %t", os.Args[1], s.trouble)
	if s.deployment, err = newDeployment(s.root, c.options, rec); err != nil {
		rec.logf("can't run: %v", err)
		return cannotRun
	}
	defer s.deployment.close()
	problem, err := c.run(s)
	switch {
	case err != nil:
		rec.logf("can't run: %v", err)
		return cannotRun
	case problem != "":
		rec.logf("BROKEN: %s", problem)
		return broken
	}
	rec.logf("held")
	return held
}

// until waits for a condition, and reports whether it came in time.
func until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
