package store

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/testing/protocmp"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func options(dir string) Options {
	return Options{Dir: dir, Cluster: "c", ReplicaID: 1, Bootstrap: &pb.Membership{
		Members: []*pb.ReplicaMember{{Identity: &pb.ReplicaIdentity{Id: 1}, Role: pb.ReplicaRole_REPLICA_ROLE_VOTER}},
	}}
}

func mustOpen(t *testing.T, o Options) (*Store, *Recovered) {
	t.Helper()
	s, r, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, r
}

func makeEntries(first, last, term uint64) []*pb.LogEntry {
	var entries []*pb.LogEntry
	for i := first; i <= last; i++ {
		entries = append(entries, &pb.LogEntry{Index: i, Term: term, Data: []byte("entry")})
	}
	return entries
}

func mustSave(t *testing.T, s *Store, p consensus.Persist) {
	t.Helper()
	if err := s.Save(p); err != nil {
		t.Fatal(err)
	}
}

func TestReopenRecoversSavedState(t *testing.T) {
	o := options(t.TempDir())
	s, first := mustOpen(t, o)
	hard := &pb.HardState{Term: 3, Vote: 2, Commit: 7}
	mustSave(t, s, consensus.Persist{Entries: makeEntries(1, 9, 2)})
	mustSave(t, s, consensus.Persist{TruncateFrom: 6, Entries: makeEntries(6, 8, 3), HardState: hard})
	meta := &pb.SnapshotMeta{Index: 5, Term: 2}
	consensus.SetSnapshotChecksum(meta, []byte("state"))
	if err := s.SaveSnapshot(meta, []byte("state")); err != nil {
		t.Fatal(err)
	}
	mustSave(t, s, consensus.Persist{CompactTo: 4})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}

	_, r := mustOpen(t, o)
	want := append(makeEntries(4, 5, 2), makeEntries(6, 8, 3)...)
	got := r.Initial
	for _, d := range []string{
		cmp.Diff(want, got.Entries, protocmp.Transform()),
		cmp.Diff(hard, got.HardState, protocmp.Transform()),
		cmp.Diff(meta, got.Snapshot, protocmp.Transform()),
		cmp.Diff("state", string(got.SnapshotData)),
		cmp.Diff(o.Bootstrap, got.Membership, protocmp.Transform()),
		cmp.Diff(first.Initial.Identity.Incarnation, got.Identity.Incarnation),
	} {
		if d != "" {
			t.Error(d)
		}
	}
	if first.Initial.Identity.Boot != 1 || got.Identity.Boot != 3 || first.Initial.Identity.BootNonce == got.Identity.BootNonce {
		t.Errorf("boots %v and %v", first.Initial.Identity, got.Identity)
	}
}

// savedFolder returns the options of a closed folder with some entries and a
// snapshot.
func savedFolder(t *testing.T) Options {
	t.Helper()
	o := options(t.TempDir())
	s, _ := mustOpen(t, o)
	mustSave(t, s, consensus.Persist{Entries: makeEntries(1, 40, 2), HardState: &pb.HardState{Term: 2, Vote: 1, Commit: 40}})
	meta := &pb.SnapshotMeta{Index: 20, Term: 2}
	consensus.SetSnapshotChecksum(meta, []byte("state"))
	if err := s.SaveSnapshot(meta, []byte("state")); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return o
}

func mustFailToOpen(t *testing.T, o Options, want *errorx.Type) {
	t.Helper()
	s, _, err := Open(o)
	if err == nil {
		_ = s.Close()
	}
	if !errorx.IsOfType(err, want) {
		t.Fatalf("Open gives %v, want %v", err, want)
	}
}

// Guards against a replica that votes twice or loses acknowledged entries because a
// byte of its file changed on disk while it was down. A change of any byte must be
// detected or have no effect.
func TestFlippedByteIsNoticed(t *testing.T) {
	o := savedFolder(t)
	path := filepath.Join(o.Dir, databaseName)
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	snapshots, err := filepath.Glob(filepath.Join(o.Dir, snapshotPattern))
	if err != nil || len(snapshots) != 1 {
		t.Fatal(snapshots, err)
	}
	want := reopen(t, o)
	detected := 0
	for at := 0; at < len(original); at += 211 {
		corrupted := bytes.Clone(original)
		corrupted[at] ^= 0x10
		// A separate folder for each case: a file on which bbolt has panicked
		// stays locked until the process ends.
		o.Dir = t.TempDir()
		if err := os.WriteFile(filepath.Join(o.Dir, databaseName), corrupted, fileMode); err != nil {
			t.Fatal(err)
		}
		if err := os.Link(snapshots[0], filepath.Join(o.Dir, filepath.Base(snapshots[0]))); err != nil {
			t.Fatal(err)
		}
		s, r, err := Open(o)
		switch {
		case err == nil:
			if d := cmp.Diff(want, r.Initial, protocmp.Transform(), protocmp.IgnoreFields(&pb.ReplicaIdentity{}, "boot", "boot_nonce", "past_nonces")); d != "" {
				t.Errorf("byte %d: %s", at, d)
			}
			_ = s.Close()
		case errorx.IsOfType(err, Corrupt):
			detected++
		default:
			t.Errorf("byte %d: %v", at, err)
		}
	}
	if detected == 0 {
		t.Error("no flipped byte was detected")
	}
}

func reopen(t *testing.T, o Options) consensus.InitialState {
	t.Helper()
	s, r := mustOpen(t, o)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return r.Initial
}

// Guards against a replica that crashes in a loop, or starts without its last
// entries, after a full or failing disk truncated its file.
func TestTruncatedFileIsNoticed(t *testing.T) {
	o := savedFolder(t)
	path := filepath.Join(o.Dir, databaseName)
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{0, 1, 100, pageSize, 2*pageSize + 5, len(original) / 2} {
		if err := os.WriteFile(path, original[:size], fileMode); err != nil {
			t.Fatal(err)
		}
		mustFailToOpen(t, o, Corrupt)
	}
}

// Guards against the same failures when the snapshot file is truncated, altered or
// missing.
func TestDamagedSnapshotIsNoticed(t *testing.T) {
	for name, damage := range map[string]func(string) error{
		"cut":     func(p string) error { return os.Truncate(p, 2) },
		"altered": func(p string) error { return os.WriteFile(p, []byte("stale"), fileMode) },
		"gone":    os.Remove,
	} {
		t.Run(name, func(t *testing.T) {
			o := savedFolder(t)
			paths, err := filepath.Glob(filepath.Join(o.Dir, snapshotPattern))
			if err != nil || len(paths) != 1 {
				t.Fatal(paths, err)
			}
			if err := damage(paths[0]); err != nil {
				t.Fatal(err)
			}
			mustFailToOpen(t, o, Corrupt)
		})
	}
}

// A folder that was moved to another VM, or settings that name another replica,
// must not let one replica send messages as another.
func TestForeignFolderIsRefused(t *testing.T) {
	o := savedFolder(t)
	other := o
	other.ReplicaID = 2
	mustFailToOpen(t, other, WrongOwner)
	other = o
	other.Cluster = "d"
	mustFailToOpen(t, other, WrongOwner)
	mustOpen(t, o)
	mustFailToOpen(t, o, Locked)
}

// A crash between creating the folder and writing the identity leaves a folder that
// counts as empty: the next start must succeed, and later starts must keep its
// identity.
func TestCrashBeforeIdentityIsWritten(t *testing.T) {
	o := options(filepath.Join(t.TempDir(), "data"))
	if err := os.Mkdir(o.Dir, folderMode); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(o.Dir, newDatabaseName), []byte("half a page"), fileMode); err != nil {
		t.Fatal(err)
	}
	first := reopen(t, o)
	if again := reopen(t, o); again.Identity.Incarnation != first.Identity.Incarnation {
		t.Errorf("incarnation %s became %s", first.Identity.Incarnation, again.Identity.Incarnation)
	}
}

// A missing database file next to existing snapshots is damage, not a new folder.
// After its files are archived, the replica starts with a new incarnation and waits
// to be added.
func TestArchivedFolderStartsNewIncarnation(t *testing.T) {
	o := savedFolder(t)
	before := reopen(t, o)
	if err := os.Remove(filepath.Join(o.Dir, databaseName)); err != nil {
		t.Fatal(err)
	}
	mustFailToOpen(t, o, Corrupt)
	if _, err := ArchiveDamaged(o.Dir); err != nil {
		t.Fatal(err)
	}
	o.Join, o.ReplicaID = true, 7
	reopen(t, o)
	o.ReplicaID = 1
	s, r := mustOpen(t, o)
	if !r.Joined || r.Initial.Membership != nil || s.Identity().Incarnation == before.Identity.Incarnation {
		t.Errorf("recovered %+v as %v", r, s.Identity())
	}
}

// Guards against losing an accepted change: a VM's disk is restored from an older
// copy, and the replica votes without the change that it acknowledged. Peers know a
// boot after the copy, also after their own restart, and refuse the old folder
// however often it is started.
func TestRolledBackFolderIsRefusedByPeers(t *testing.T) {
	o, peer := options(t.TempDir()), options(t.TempDir())
	peer.ReplicaID = 2
	reopen(t, o)
	oldCopy, err := os.ReadFile(filepath.Join(o.Dir, databaseName))
	if err != nil {
		t.Fatal(err)
	}
	admit := func() error {
		s, _ := mustOpen(t, o)
		defer func() { _ = s.Close() }()
		p, _ := mustOpen(t, peer)
		defer func() { _ = p.Close() }()
		return p.Admit(&pb.StepRequest{From: s.HelloIdentity(), Messages: []*pb.Message{{Kind: pb.MessageKind_MESSAGE_KIND_HELLO}}}, nil)
	}
	for range 2 {
		if err := admit(); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(filepath.Join(o.Dir, databaseName), oldCopy, fileMode); err != nil {
		t.Fatal(err)
	}
	for boot := range 3 {
		if err := admit(); !errorx.IsOfType(err, consensus.RolledBack) {
			t.Errorf("start %d after the old copy was restored: %v", boot+1, err)
		}
	}
}

// Guards against losing an accepted change: a VM loses its disk, and its replica
// restarts empty under its old settings and votes again. A peer that knows the
// first incarnation must refuse the second until the member list names it or the
// first is removed.
func TestEmptiedFolderIsRefusedByPeers(t *testing.T) {
	peer := options(t.TempDir())
	peer.ReplicaID = 2
	p, _ := mustOpen(t, peer)
	admit := func(members *pb.Membership) (*pb.ReplicaIdentity, error) {
		s, _ := mustOpen(t, options(t.TempDir()))
		id := s.HelloIdentity()
		return id, p.Admit(&pb.StepRequest{From: id, Messages: []*pb.Message{{Kind: pb.MessageKind_MESSAGE_KIND_HELLO}}}, members)
	}
	members := options("").Bootstrap
	first, err := admit(members)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := admit(members); !errorx.IsOfType(err, consensus.IdentityMismatch) {
		t.Errorf("the emptied folder is admitted: %v", err)
	}
	afterRemoval := &pb.Membership{Removed: []*pb.ReplicaIdentity{first}}
	if _, err := admit(afterRemoval); err != nil {
		t.Errorf("its next incarnation is refused after the removal: %v", err)
	}
	err = p.Admit(&pb.StepRequest{From: first, Messages: []*pb.Message{{Kind: pb.MessageKind_MESSAGE_KIND_HELLO}}}, afterRemoval)
	if !errorx.IsOfType(err, consensus.RemovedIdentity) {
		t.Errorf("the removed incarnation gives %v", err)
	}
}
