package cli

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"
)

// reloadPoll is how often a settings file is looked at: it may change without a
// signal.
const reloadPoll = 2 * time.Second

// memoryShare is the part of a process's memory that the runtime may fill before
// it collects without regard to cost; the rest is for stacks, buffers of the
// kernel and what is freed late.
const memoryShare = 0.75

// LimitMemory makes the runtime keep within the memory; 0: no bound.
func LimitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(mb<<20)))
	}
}

// ShutdownContext gives a context that ends with the first SIGTERM or SIGINT. The signals
// stay taken after it: a second one must not fall back to the default, which
// would end the process and cut streams.
func ShutdownContext(parent context.Context) context.Context {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
	}()
	return ctx
}

// WatchFile calls changed when the file has other content than before, on SIGHUP
// and without it, until ctx ends. SIGHUP alone ends no process that watches.
func WatchFile(ctx context.Context, path string, log *slog.Logger, changed func()) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	known, _ := os.ReadFile(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
			log.Info("reload asked for", "settings", path)
		case <-time.After(reloadPoll):
		}
		now, err := os.ReadFile(path)
		if err != nil {
			log.Warn("settings can't be read; the old ones count", "settings", path, "error", err.Error())
			continue
		}
		if !bytes.Equal(now, known) {
			known = now
			changed()
		}
	}
}
