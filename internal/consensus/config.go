package consensus

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Config sets up a Node. Durations are exact; the host's ticks only bound how
// late they are noticed. Zero fields take their defaults.
type Config struct {
	// ID is this replica; it must equal the identity in the data folder.
	ID uint64
	// ElectionTimeout is how long a follower waits for a leader: the real wait
	// is drawn between one and two times it. Default 400 ms.
	ElectionTimeout time.Duration
	// HeartbeatInterval is how often a leader sends heartbeats. Default a
	// quarter of ElectionTimeout, so that two lost in a row end nothing.
	HeartbeatInterval time.Duration
	// LeaseDuration is how long a quorum's heartbeat answers let a leader
	// believe that no other leads, from when the heartbeat was sent. It must be
	// shorter than ElectionTimeout by the clock drift allowed. Default three
	// quarters of ElectionTimeout, so clocks may drift by a third.
	LeaseDuration time.Duration
	// MaxAppendBytes bounds the entries of one append message; a single larger
	// entry still goes. Default 256 KiB: some milliseconds of a link.
	MaxAppendBytes int
	// MaxInflight bounds unanswered append messages to one replica. Default 8:
	// with MaxAppendBytes it bounds what waits for a slow replica to 2 MiB, and
	// proposals beyond it share the next append.
	MaxInflight int
	// MaxUncommittedBytes bounds the entries that wait for a quorum; proposals
	// beyond it are refused as Overloaded. Default 16 MiB.
	MaxUncommittedBytes int
	// SnapshotChunkBytes bounds one chunk of a snapshot. Default 256 KiB.
	SnapshotChunkBytes int
	// SnapshotEntries is how many entries are applied between snapshots.
	// Default 2000.
	SnapshotEntries uint64
	// TrailingEntries is how many entries before a snapshot stay in the log, so that
	// a replica that is a little behind needs no snapshot. Default 500.
	TrailingEntries uint64
	// Seed draws the election waits.
	Seed uint64
}

const (
	defaultElectionTimeout     = 400 * time.Millisecond
	defaultMaxAppendBytes      = 256 << 10
	defaultMaxInflight         = 8
	defaultMaxUncommittedBytes = 16 << 20
	defaultSnapshotChunkBytes  = 256 << 10
	defaultSnapshotEntries     = 2000
	defaultTailEntries         = 500
)

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, defaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, c.ElectionTimeout/4)
	setDefault(&c.LeaseDuration, c.ElectionTimeout*3/4)
	setDefault(&c.MaxAppendBytes, defaultMaxAppendBytes)
	setDefault(&c.MaxInflight, defaultMaxInflight)
	setDefault(&c.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	setDefault(&c.SnapshotChunkBytes, defaultSnapshotChunkBytes)
	setDefault(&c.SnapshotEntries, defaultSnapshotEntries)
	setDefault(&c.TrailingEntries, defaultTailEntries)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// InitialState is what a Node starts from: what the store recovered, or the members
// of a new cluster.
type InitialState struct {
	// Identity is this replica's, as the data folder has it.
	Identity *pb.ReplicaIdentity
	// HardState is nil in a new data folder.
	HardState *pb.HardState
	// Snapshot and SnapshotData are the latest snapshot, nil if none. The host
	// has put its state back from it.
	Snapshot     *pb.SnapshotMeta
	SnapshotData []byte
	// Entries are the log's, without gaps; the first may lie before the
	// snapshot's index, at most one after it.
	Entries []*pb.LogEntry
	// Membership is the bootstrap list, the same at every replica; nil for a
	// replica that joins. A snapshot's membership takes its place.
	Membership *pb.Membership
}
