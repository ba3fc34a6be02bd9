package settings

const (
	// logMemoryShare and logDiskShare are the parts of the VM's memory and of DiskMB that the entries
	// between two snapshots may take. Both hold further copies of them: entries that are kept for other
	// replicas or not committed, the state and its snapshots, messages, and freed pages of the database.
	logMemoryShare = 32
	logDiskShare   = 16
	// minLogBytes and maxLogBytes bound that size: less makes snapshots of small changes too frequent,
	// more makes a start slow.
	minLogBytes = 1 << 20
	maxLogBytes = 16 << 20
	// databaseFactor is how many times larger than the entries between two snapshots the database file
	// becomes. Its pages are mapped and count as the process's memory.
	databaseFactor = 6
	// defaultLogBytes is for a VM whose memory and disk are unknown.
	defaultLogBytes = 8 << 20
)

// LogLimits are the bounds of the replicated log in bytes.
type LogLimits struct {
	// Snapshot is the size of entries after which a snapshot is taken and the log is cut.
	Snapshot int
	// Trailing is the size of older entries that are kept for replicas that are behind.
	Trailing int
	// Uncommitted bounds the entries that wait to be committed.
	Uncommitted int
	// Declaration is the largest declaration that is accepted, with the document that it was read from.
	Declaration int
}

// LogLimits derives the bounds from MemoryMB and DiskMB.
func (s *Control) LogLimits() LogLimits {
	bytes := defaultLogBytes
	if s.MemoryMB > 0 || s.DiskMB > 0 {
		bytes = maxLogBytes
	}
	if s.MemoryMB > 0 {
		bytes = min(bytes, s.MemoryMB<<20/logMemoryShare)
	}
	if s.DiskMB > 0 {
		bytes = min(bytes, s.DiskMB<<20/logDiskShare)
	}
	bytes = max(bytes, minLogBytes)
	return LogLimits{Snapshot: bytes, Trailing: bytes / 2, Uncommitted: bytes, Declaration: bytes / 2}
}

// RuntimeMB is MemoryMB without the pages of the database file, which the Go runtime does not see; 0 if
// MemoryMB is unknown.
func (s *Control) RuntimeMB() int {
	if s.MemoryMB == 0 {
		return 0
	}
	return max(1, s.MemoryMB-databaseFactor*s.LogLimits().Snapshot>>20)
}
