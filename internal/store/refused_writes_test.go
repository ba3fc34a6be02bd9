package store

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// refuseWrites makes writes beyond the first bytes of a file fail until the returned function is called,
// as a full disk does.
func refuseWrites(t *testing.T) (end func()) {
	t.Helper()
	signal.Ignore(syscall.SIGXFSZ)
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 1 << 10, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a first replica that gives up its id, and so the group's first majority, since its disk
// took no writes for a moment at the first start: that counted as a damaged folder.
func TestNewFolderOnADiskThatRefusesWritesIsNotDamaged(t *testing.T) {
	o := options(t.TempDir())
	end := refuseWrites(t)
	s, _, err := Open(o)
	end()
	if err == nil {
		_ = s.Close()
		t.Fatal("the folder was created")
	}
	if !errorx.IsOfType(err, Failed) {
		t.Errorf("the error is not Failed: %v", err)
	}
}

// Guards against a whole folder that is moved aside, and with it what was acknowledged, since a file could
// not be read for a moment: that counted as damage.
func TestSnapshotThatCanNotBeReadNowIsNotDamaged(t *testing.T) {
	o := options(t.TempDir())
	s, _ := mustOpen(t, o)
	meta, data := &pb.SnapshotMeta{Index: 1, Term: 1, Membership: o.Bootstrap}, []byte("state")
	consensus.SetSnapshotChecksum(meta, data)
	if err := s.SaveSnapshot(meta, data); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	_, _, err := openWithOneFile(t, o)
	if err == nil || errorx.IsOfType(err, Corrupt) {
		t.Errorf("too many open files count as damage: %v", err)
	}
}

// openWithOneFile opens the folder while the process may open one more file only.
func openWithOneFile(t *testing.T, o Options) (*Store, *Recovered, error) {
	t.Helper()
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	next := uint64(f.Fd())
	_ = f.Close()
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: next + 1, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
			t.Fatal(err)
		}
	}()
	return Open(o)
}
