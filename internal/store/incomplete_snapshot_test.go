package store

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a full disk that stays full: a snapshot that could not be written whole is still there
// when the log is cut, which needs that room.
func TestIncompleteSnapshotIsGoneBeforeTheLogIsCut(t *testing.T) {
	o := largeFolder(t, 0)
	left := filepath.Join(o.Dir, "snapshot-00000000000000000100-0123456789abcdef"+snapshotTemp)
	if err := os.WriteFile(left, make([]byte, 1<<20), fileMode); err != nil {
		t.Fatal(err)
	}
	found := false
	o.MaxLogBytes = 1 << 20
	o.Replay = func(data []byte) (Replayer, error) {
		_, err := os.Stat(left)
		found = err == nil
		return replayEntries(data)
	}
	s, _ := mustOpen(t, o)
	defer s.Close()
	if found {
		t.Error("the incomplete snapshot is still there when the log is replayed")
	}
}
