package runner

import (
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/settings"
	"goldcrestseam.dev/goldcrestseam/internal/store"
)

// Guards against a whole system that never starts since one of its seeds was lost at the first start: it
// stays down, comes back with an empty disk, or with its own while others took its place.
func TestGroupFormsWithoutASeed(t *testing.T) {
	const lost = 1
	none := func(*replicaGroup) {}
	for name, back := range map[string]struct{ before, after func(*replicaGroup) }{
		"stays down":              {none, none},
		"comes back empty":        {func(g *replicaGroup) { g.start(lost, false) }, none},
		"starts after the others": {none, func(g *replicaGroup) { g.start(lost, true) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newReplicaGroup(t, 7)
			t.Cleanup(g.stopAll)
			for n := range g.addresses {
				g.stops[n] = func() {}
				if n != lost {
					g.start(n, true)
				}
			}
			back.before(g)
			g.awaitVoters(nobody)
			back.after(g)
			g.awaitVoters(nobody)
		})
	}
}

// firstReplicaSettings returns those of first replica 7 while the settings still say that this is the first start.
func firstReplicaSettings(t *testing.T) *settings.Control {
	t.Helper()
	cfg := &settings.Control{BootstrapFromControl: true, FirstStart: true, ReplicaID: 7, DataDir: t.TempDir()}
	cfg.Cluster = "test"
	cfg.Bootstrap = []settings.ControlReplica{{ID: 7, Address: "127.0.0.1:1"}}
	return cfg
}

// openFolder opens and closes the data folder, and returns the replica's id and whether it waits to be added.
func openFolder(t *testing.T, cfg *settings.Control) (id uint64, waits bool) {
	t.Helper()
	st, recovered, err := open(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer st.Close()
	return st.Identity().GetId(), len(recovered.Initial.Membership.GetMembers()) == 0
}

// Guards against a second incarnation under the id of a first replica: its folder was damaged while
// the settings still said that this is the first start.
func TestDamagedFolderOfAFirstReplicaGetsANewID(t *testing.T) {
	cfg := firstReplicaSettings(t)
	if id, waits := openFolder(t, cfg); id != 7 || waits {
		t.Fatalf("the first start: id %d, waits to be added %v", id, waits)
	}
	database := filepath.Join(cfg.DataDir, "control.db")
	if err := os.WriteFile(database, []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if id, waits := openFolder(t, cfg); id == 7 || !waits {
		t.Errorf("after the damage: id %d, waits to be added %v", id, waits)
	}
	if err := os.Remove(database); err != nil {
		t.Fatal(err)
	}
	if id, waits := openFolder(t, cfg); id == 7 || !waits {
		t.Errorf("after an end between moving the damaged folder and creating the next: id %d, waits to be added %v", id, waits)
	}
}

// Guards against a second incarnation under the id of a first replica: the group removed it, and its
// process ended between discarding its folder and creating the next one, while the settings still said
// that this is the first start.
func TestDiscardedFolderOfAFirstReplicaGetsANewID(t *testing.T) {
	cfg := firstReplicaSettings(t)
	if id, waits := openFolder(t, cfg); id != 7 || waits {
		t.Fatalf("the first start: id %d, waits to be added %v", id, waits)
	}
	if err := store.Discard(cfg.DataDir); err != nil {
		t.Fatal(err)
	}
	if id, waits := openFolder(t, cfg); id == 7 || !waits {
		t.Errorf("after an end between discarding the folder and creating the next: id %d, waits to be added %v", id, waits)
	}
}

// Guards against a group that never forms since the disks of its first replicas took no writes for a
// moment at the first start: each counted its new folder as damaged, and waits to be added ever since.
func TestFirstReplicaKeepsItsIDAfterItsDiskRefusedWrites(t *testing.T) {
	cfg := firstReplicaSettings(t)
	signal.Ignore(syscall.SIGXFSZ)
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 1 << 10, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	_, _, err := open(cfg, slog.New(slog.DiscardHandler))
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before); err != nil {
		t.Fatal(err)
	}
	if err == nil {
		t.Fatal("the folder was created")
	}
	if id, waits := openFolder(t, cfg); id != 7 || waits {
		t.Errorf("once the disk takes writes again: id %d, waits to be added %v", id, waits)
	}
}
