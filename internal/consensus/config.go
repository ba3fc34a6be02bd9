package consensus

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Config configures a Node. Deadlines are computed exactly; the interval of the
// host's ticks only adds to how late they are acted on. Zero fields take their
// defaults.
type Config struct {
	// ID is the id of this replica. It must equal the id in the data folder.
	ID uint64
	// ElectionTimeout is the shortest time without contact from a leader after
	// which a follower starts an election. The actual timeout is drawn between
	// one and two times this value. Default 400 ms.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval between a leader's heartbeats. Default
	// a quarter of ElectionTimeout, so that losing two in a row causes no
	// election.
	HeartbeatInterval time.Duration
	// LeaseDuration is the length of the leader lease, counted from when a
	// heartbeat that a quorum answered was sent. It must be shorter than
	// ElectionTimeout by the allowed clock drift. Default three quarters of
	// ElectionTimeout, so clocks may drift by a third.
	LeaseDuration time.Duration
	// MaxAppendBytes bounds the entries in one append message; a single larger
	// entry is still sent. Default 256 KiB, which takes a link a few
	// milliseconds.
	MaxAppendBytes int
	// MaxInflight bounds the unanswered append messages to one replica. Default
	// 8: with MaxAppendBytes it limits what is in flight to a slow replica to
	// 2 MiB, and further proposals are batched into the next append.
	MaxInflight int
	// MaxInflightBytes bounds the entries of these messages; one message is always sent.
	// Default MaxInflight times MaxAppendBytes.
	MaxInflightBytes int
	// MaxUncommittedBytes bounds the entries that are appended but not
	// committed; further proposals are refused as Overloaded. Default 16 MiB.
	MaxUncommittedBytes int
	// SnapshotChunkBytes bounds one chunk of a snapshot. Default 256 KiB.
	SnapshotChunkBytes int
	// SnapshotEntries is the number of entries applied between snapshots.
	// Default 2000.
	SnapshotEntries uint64
	// SnapshotBytes is the size of entries applied between snapshots: a snapshot is taken as
	// soon as SnapshotEntries or SnapshotBytes is reached. Default 8 MiB.
	SnapshotBytes int
	// TrailingEntries is the number of entries before a snapshot that stay in
	// the log, so that a replica that is slightly behind needs no snapshot.
	// Default 500.
	TrailingEntries uint64
	// TrailingBytes bounds the size of these entries. Default half of SnapshotBytes.
	TrailingBytes int
	// MaxVoters is how many voters the group has at most: a learner that has caught up is
	// promoted only while there are fewer. Default 0, no limit.
	MaxVoters int
	// BootstrapOnce promises that no replica starts from an empty folder under an id of the bootstrap
	// list a second time: one that has lost its disk waits to be added under a new id. A majority
	// of the bootstrap replicas then forms the group. Without it, all must have met. Default false.
	BootstrapOnce bool
	// Seed seeds the random part of election timeouts.
	Seed uint64
}

const (
	defaultElectionTimeout     = 400 * time.Millisecond
	defaultMaxAppendBytes      = 256 << 10
	defaultMaxInflight         = 8
	defaultMaxUncommittedBytes = 16 << 20
	defaultSnapshotChunkBytes  = 256 << 10
	defaultSnapshotEntries     = 2000
	defaultSnapshotBytes       = 8 << 20
	defaultTrailingEntries     = 500
)

func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, defaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, c.ElectionTimeout/4)
	setDefault(&c.LeaseDuration, c.ElectionTimeout*3/4)
	setDefault(&c.MaxAppendBytes, defaultMaxAppendBytes)
	setDefault(&c.MaxInflight, defaultMaxInflight)
	setDefault(&c.MaxInflightBytes, c.MaxInflight*c.MaxAppendBytes)
	setDefault(&c.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	setDefault(&c.SnapshotChunkBytes, defaultSnapshotChunkBytes)
	setDefault(&c.SnapshotEntries, defaultSnapshotEntries)
	setDefault(&c.SnapshotBytes, defaultSnapshotBytes)
	setDefault(&c.TrailingEntries, defaultTrailingEntries)
	setDefault(&c.TrailingBytes, c.SnapshotBytes/2)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// InitialState is what a Node starts from: the state that the store recovered, or
// the members of a new cluster.
type InitialState struct {
	// Identity is this replica's identity as stored in the data folder.
	Identity *pb.ReplicaIdentity
	// HardState is nil in a new data folder.
	HardState *pb.HardState
	// Snapshot and SnapshotData are the latest snapshot, nil if there is none.
	// The host has restored its state from it.
	Snapshot     *pb.SnapshotMeta
	SnapshotData []byte
	// Entries are the log's entries without gaps. The first index is at most
	// one after the snapshot's.
	Entries []*pb.LogEntry
	// Membership is the bootstrap member list, the same at every replica, and
	// nil for a replica that joins. A snapshot's membership replaces it.
	Membership *pb.Membership
}
