package store

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against a disk that fills with the files of folders that were damaged one after the other.
func TestOneArchiveIsKept(t *testing.T) {
	dir := t.TempDir()
	const size = 1 << 20
	for range 3 {
		if err := os.WriteFile(filepath.Join(dir, databaseName), make([]byte, size), fileMode); err != nil {
			t.Fatal(err)
		}
		if _, err := ArchiveDamaged(dir); err != nil {
			t.Fatal(err)
		}
	}
	if bytes, err := folderBytes(dir); err != nil || bytes != size {
		t.Errorf("the folder has %d bytes, %v; want those of one archive, %d", bytes, err, size)
	}
}
