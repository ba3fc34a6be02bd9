package store

import (
	"testing"

	"github.com/google/go-cmp/cmp"
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

func entries(first, last, term uint64) []*pb.LogEntry {
	var es []*pb.LogEntry
	for i := first; i <= last; i++ {
		es = append(es, &pb.LogEntry{Index: i, Term: term, Data: []byte("entry")})
	}
	return es
}

func mustSave(t *testing.T, s *Store, p consensus.Persist) {
	t.Helper()
	if err := s.Save(p); err != nil {
		t.Fatal(err)
	}
}

func TestReopenGivesWhatWasSaved(t *testing.T) {
	o := options(t.TempDir())
	s, first := mustOpen(t, o)
	hard := &pb.HardState{Term: 3, Vote: 2, Commit: 7}
	mustSave(t, s, consensus.Persist{Entries: entries(1, 9, 2)})
	mustSave(t, s, consensus.Persist{TruncateFrom: 6, Entries: entries(6, 8, 3), HardState: hard})
	meta := &pb.SnapshotMeta{Index: 5, Term: 2}
	consensus.SealSnapshot(meta, []byte("state"))
	if err := s.SaveSnapshot(meta, []byte("state")); err != nil {
		t.Fatal(err)
	}
	mustSave(t, s, consensus.Persist{CompactTo: 4})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}

	_, r := mustOpen(t, o)
	want := append(entries(4, 5, 2), entries(6, 8, 3)...)
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
