package store

import (
	"bytes"
	"encoding/binary"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	largeEntryBytes = 30 << 10
	// largeLogEntries are 6 MB of entries.
	largeLogEntries   = 200
	committedEntries  = 190
	membershipAtEntry = 150
)

// appliedEntries is a state that is the list of the entries applied to it.
type appliedEntries struct{ indexes []byte }

func (a *appliedEntries) Apply(e *pb.LogEntry) {
	a.indexes = binary.BigEndian.AppendUint64(a.indexes, e.Index)
}

func (a *appliedEntries) Snapshot() []byte { return bytes.Clone(a.indexes) }

func replayEntries(snapshot []byte) (Replayer, error) {
	return &appliedEntries{indexes: bytes.Clone(snapshot)}, nil
}

func indexes(first, last uint64) []byte {
	a := &appliedEntries{}
	for i := first; i <= last; i++ {
		a.Apply(&pb.LogEntry{Index: i})
	}
	return a.indexes
}

var newMembers = &pb.Membership{Members: []*pb.ReplicaMember{
	{Identity: &pb.ReplicaIdentity{Id: 1}, Role: pb.ReplicaRole_REPLICA_ROLE_VOTER},
	{Identity: &pb.ReplicaIdentity{Id: 2}, Role: pb.ReplicaRole_REPLICA_ROLE_LEARNER},
}}

// largeFolder returns the options of a closed folder of large entries, a few of them not committed,
// with a snapshot at the given index, 0 for none.
func largeFolder(t *testing.T, snapshotAt uint64) Options {
	t.Helper()
	o := options(t.TempDir())
	s, _ := mustOpen(t, o)
	entries := makeEntries(1, largeLogEntries, 2)
	for _, e := range entries {
		e.Data = make([]byte, largeEntryBytes)
		if e.Index == membershipAtEntry {
			e.Kind = pb.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP
			e.Data, _ = proto.Marshal(newMembers)
		}
	}
	for batch := range slices.Chunk(entries, 10) {
		mustSave(t, s, consensus.Persist{Entries: batch})
	}
	mustSave(t, s, consensus.Persist{HardState: &pb.HardState{Term: 2, Vote: 1, Commit: committedEntries}})
	if snapshotAt > 0 {
		meta, data := &pb.SnapshotMeta{Index: snapshotAt, Term: 2, Membership: o.Bootstrap}, indexes(1, snapshotAt)
		consensus.SetSnapshotChecksum(meta, data)
		if err := s.SaveSnapshot(meta, data); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	o.MaxLogBytes, o.Replay = 20*largeEntryBytes, replayEntries
	return o
}

func databaseBytes(t *testing.T, dir string) int64 {
	t.Helper()
	info, err := os.Stat(filepath.Join(dir, databaseName))
	if err != nil {
		t.Fatal(err)
	}
	return info.Size()
}

// Guards against control that ends at each start: the log of an earlier build is larger than its
// machine's memory, is read whole, and so never gets to where it is cut.
func TestLogThatIsTooLargeIsCutBeforeItIsRead(t *testing.T) {
	for _, snapshotAt := range []uint64{0, 100} {
		o := largeFolder(t, snapshotAt)
		before := databaseBytes(t, o.Dir)
		_, r := mustOpen(t, o)
		got := r.Initial
		if got.Snapshot.GetIndex() != committedEntries || got.Snapshot.GetTerm() != 2 || !bytes.Equal(got.SnapshotData, indexes(1, committedEntries)) {
			t.Errorf("snapshot at %d of term %d with %d entries", got.Snapshot.GetIndex(), got.Snapshot.GetTerm(), len(got.SnapshotData)/8)
		}
		if d := cmp.Diff(newMembers, got.Snapshot.GetMembership(), protocmp.Transform()); d != "" {
			t.Error(d)
		}
		if n := len(got.Entries); n != largeLogEntries-committedEntries+1 || got.Entries[0].Index != committedEntries {
			t.Errorf("%d entries are read, want those that are not committed and the one before", n)
		}
		if got.HardState.GetCommit() != committedEntries || got.HardState.GetVote() != 1 {
			t.Errorf("hard state %v", got.HardState)
		}
		if after := databaseBytes(t, o.Dir); r.CopyError != nil || after > before/5 {
			t.Errorf("the database has %d bytes, %d before; %v", after, before, r.CopyError)
		}
	}
}

// Guards against a log that is cut beyond what a snapshot covers, or read twice: the same folder opens
// to the same content again.
func TestCutLogIsStable(t *testing.T) {
	o := largeFolder(t, 0)
	first := reopen(t, o)
	again := reopen(t, o)
	if first.Snapshot.GetIndex() != committedEntries {
		t.Fatalf("snapshot at %d", first.Snapshot.GetIndex())
	}
	if !proto.Equal(first.Snapshot, again.Snapshot) {
		t.Errorf("snapshot %v, and then %v", first.Snapshot, again.Snapshot)
	}
	same := func(a, b *pb.LogEntry) bool { return proto.Equal(a, b) }
	if !slices.EqualFunc(first.Entries, again.Entries, same) {
		t.Errorf("%d entries, and then %d others", len(first.Entries), len(again.Entries))
	}
}

// Guards against entries that stay for good since a snapshot covers them already, as those that an
// earlier build kept for slow replicas.
func TestLogBeforeTheSnapshotIsCut(t *testing.T) {
	o := largeFolder(t, committedEntries)
	r := reopen(t, o)
	if r.Snapshot.GetIndex() != committedEntries || r.Entries[0].Index != committedEntries {
		t.Errorf("snapshot at %d, log from %d", r.Snapshot.GetIndex(), r.Entries[0].Index)
	}
}

// Guards against a change of another replica's folder, before it is found to be another's.
func TestLargeForeignFolderStaysAsItIs(t *testing.T) {
	o := largeFolder(t, 0)
	foreign := o
	foreign.ReplicaID = 2
	mustFailToOpen(t, foreign, WrongOwner)
	if r := reopen(t, Options{Dir: o.Dir, Cluster: o.Cluster, ReplicaID: 1}); len(r.Entries) != largeLogEntries || r.Snapshot != nil {
		t.Errorf("%d entries are left, snapshot %v", len(r.Entries), r.Snapshot)
	}
}

// Guards against a start that fails, or a disk that stays full, after a crash while the database was
// copied.
func TestLeftoverCopyIsRemoved(t *testing.T) {
	o := savedFolder(t)
	copied := filepath.Join(o.Dir, copiedDatabaseName)
	if err := os.WriteFile(copied, []byte("incomplete"), fileMode); err != nil {
		t.Fatal(err)
	}
	reopen(t, o)
	if _, err := os.Stat(copied); !os.IsNotExist(err) {
		t.Errorf("the copy is left: %v", err)
	}
}

// Guards against a start that fails on a disk without room for a copy of the database.
func TestFileThatCannotBeCopiedStays(t *testing.T) {
	o := largeFolder(t, 0)
	s, err := openFile(o.Dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.shortenLog(o); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	// A folder with the name of the copy, which can't be opened as a file.
	blocked := filepath.Join(o.Dir, copiedDatabaseName)
	if err := os.MkdirAll(filepath.Join(blocked, "x"), folderMode); err != nil {
		t.Fatal(err)
	}
	copyErr, err := shrinkFile(o.Dir)
	if copyErr == nil || err != nil {
		t.Fatalf("copy gives %v, %v", copyErr, err)
	}
	if r := reopen(t, o); r.Snapshot.GetIndex() != committedEntries {
		t.Errorf("snapshot at %d", r.Snapshot.GetIndex())
	}
}

// Guards against a folder that outgrows the disk while large entries come and go.
func TestDatabaseReusesItsPages(t *testing.T) {
	s, _ := mustOpen(t, options(t.TempDir()))
	const kept = 20
	for i := uint64(1); i <= 200; i++ {
		e := &pb.LogEntry{Index: i, Term: 1, Data: make([]byte, largeEntryBytes+int(i%7)*3000)}
		p := consensus.Persist{Entries: []*pb.LogEntry{e}, HardState: &pb.HardState{Term: 1, Commit: i}}
		if i%kept == 0 && i > kept {
			p.CompactTo = i - kept/2
		}
		mustSave(t, s, p)
	}
	u, err := s.Usage()
	if err != nil {
		t.Fatal(err)
	}
	if live := int64(3 * kept / 2 * largeEntryBytes); u.Database > 4*live {
		t.Errorf("the database has %d bytes, of which %d are free, for %d bytes of entries at most", u.Database, u.Free, live)
	}
}

// Guards against a disk that is full, for good, since the database file holds room that it never used and
// the snapshot that would empty it finds none.
func TestUnusedEndOfTheDatabaseIsGivenBack(t *testing.T) {
	o := largeFolder(t, 0)
	path := filepath.Join(o.Dir, databaseName)
	before := databaseBytes(t, o.Dir)
	if err := os.Truncate(path, before+16<<20); err != nil {
		t.Fatal(err)
	}
	s, err := openFile(o.Dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.readHead(); err != nil {
		t.Fatal(err)
	}
	if err := s.trimFile(); err != nil {
		t.Fatal(err)
	}
	if after := databaseBytes(t, o.Dir); after > before {
		t.Errorf("%d bytes, %d before", after, before)
	}
	for _, e := range makeEntries(largeLogEntries+1, largeLogEntries+20, 2) {
		e.Data = make([]byte, largeEntryBytes)
		mustSave(t, s, consensus.Persist{Entries: []*pb.LogEntry{e}})
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if r := reopen(t, o); r.Snapshot.GetIndex() != committedEntries || r.Entries[len(r.Entries)-1].Index != largeLogEntries+20 {
		t.Errorf("snapshot at %d, %d entries", r.Snapshot.GetIndex(), len(r.Entries))
	}
}
