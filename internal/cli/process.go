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

// settingsPollInterval is how often a settings file is read to detect changes that no signal
// announces.
const settingsPollInterval = 2 * time.Second

// memoryLimitShare is the share of a process's memory that is set as the Go runtime's soft memory
// limit. The rest is headroom for stacks, kernel buffers and memory that is freed late.
const memoryLimitShare = 0.75

// LimitMemory sets the Go runtime's soft memory limit for a process that may use mb megabytes; 0: no
// limit.
func LimitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(mb<<20)))
	}
}

// ShutdownContext returns a context that is canceled by the first SIGTERM or SIGINT. Further signals
// stay handled and are ignored: the default action of a second one would end the process and break
// its streams.
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

// WatchFile calls onChange when the content of the file has changed, until ctx ends. It checks
// periodically and on SIGHUP, which then no longer terminates the process.
func WatchFile(ctx context.Context, path string, log *slog.Logger, onChange func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	lastContent, _ := os.ReadFile(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			log.Info("received SIGHUP; checking the settings file", "settings", path)
		case <-time.After(settingsPollInterval):
		}
		content, err := os.ReadFile(path)
		if err != nil {
			log.Warn("cannot read the settings; keeping the previous ones", "settings", path, "error", err.Error())
			continue
		}
		if !bytes.Equal(content, lastContent) {
			lastContent = content
			onChange()
		}
	}
}
