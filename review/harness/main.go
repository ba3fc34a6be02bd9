//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// A case returns what broke the rule; nothing if it held.
var cases = map[string]func(root, dir string, rec *record, trouble bool) []string{
	"deadly":    deadly,
	"late-born": lateBorn,
	"seed-lost": seedLost,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cantRun("usage: harness CASE FOLDER")
	}
	root, err := os.Getwd()
	if err != nil {
		cantRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cantRun("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		endAll()
		os.Exit(2)
	}()
	rec := newRecord(filepath.Join(os.Args[2], "record.txt"))
	broken := cases[os.Args[1]](root, dir, rec, os.Getenv("TROUBLE") != "0")
	endAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	for _, b := range broken {
		rec.line("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	rec.line("held")
	fmt.Println("held")
}
