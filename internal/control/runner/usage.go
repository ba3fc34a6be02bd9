package runner

import (
	"log/slog"
	"runtime/metrics"
	"sync"

	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
	"goldcrestseam.dev/goldcrestseam/internal/store"
)

// usageReporter logs what the log, the snapshot and the data folder take beside the limits of the VM.
type usageReporter struct {
	store  *store.Store
	log    *slog.Logger
	limits slog.Attr
	// reporting is held while a line is made beside the control goroutine.
	reporting sync.Mutex
	wg        conc.WaitGroup
}

func newUsageReporter(cfg *settings.Control, st *store.Store, log *slog.Logger) *usageReporter {
	limits := slog.Group("limits", "memory_mb", cfg.MemoryMB, "disk_mb", cfg.DiskMB)
	return &usageReporter{store: st, log: log, limits: limits}
}

// reportBeside reports beside the caller, which a slow disk must not hold up; not if the last line is still being
// made.
func (u *usageReporter) reportBeside(message string, st consensus.Status) {
	if !u.reporting.TryLock() {
		u.log.Info("the last size of the data folder is still being read")
		return
	}
	u.wg.Go(func() {
		defer u.reporting.Unlock()
		u.report(message, st)
	})
}

// report logs one line. The message names the occasion.
func (u *usageReporter) report(message string, st consensus.Status) {
	onDisk, err := u.store.Usage()
	if err != nil {
		u.log.Warn("size of the data folder is unknown", "error", err.Error())
	}
	u.log.Info(message,
		slog.Group("log", "entries", st.LogEntries, "bytes", st.LogBytes, "uncommitted", st.LastIndex-st.Commit),
		slog.Group("snapshot", "index", st.SnapshotIndex, "bytes", st.SnapshotBytes),
		slog.Group("data_folder", "bytes", onDisk.Folder, "database_bytes", onDisk.Database, "database_free_bytes", onDisk.Free),
		slog.Group("memory", "heap_bytes", readMetric(metricHeap), "total_bytes", readMetric(metricTotal)),
		u.limits)
}

// Names of the runtime's metrics: bytes of live and unswept objects, and all that the runtime holds.
const (
	metricHeap  = "/memory/classes/heap/objects:bytes"
	metricTotal = "/memory/classes/total:bytes"
)

// readMetric returns a counter of the Go runtime.
func readMetric(name string) uint64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
