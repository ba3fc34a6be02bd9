package store

import (
	"fmt"
	"os"
	"path/filepath"
)

// ArchiveDamaged moves a Corrupt folder's files into a new folder below it, where an
// operator may look at them, and returns its path. The next Open must say Join:
// the replica comes back under a new incarnation, which peers refuse until the
// operator has replaced the old one by it, under the same id or a new one.
// Errors: Failed.
func ArchiveDamaged(dir string) (string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return "", Failed.Wrap(err, "data folder")
	}
	aside, err := newAside(dir)
	if err != nil {
		return "", err
	}
	for _, e := range entries {
		if e.IsDir() {
			continue
		}
		if err := os.Rename(filepath.Join(dir, e.Name()), filepath.Join(aside, e.Name())); err != nil {
			return "", Failed.Wrap(err, "set aside")
		}
	}
	return aside, syncDir(dir)
}

func newAside(dir string) (string, error) {
	for n := 1; ; n++ {
		aside := filepath.Join(dir, fmt.Sprintf("damaged-%d", n))
		err := os.Mkdir(aside, folderMode)
		if err == nil {
			return aside, nil
		}
		if !os.IsExist(err) {
			return "", Failed.Wrap(err, "set aside")
		}
	}
}

// Discard removes what a replica that its group has removed has left in its
// folder, so that it can begin anew. Errors: Failed.
func Discard(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return Failed.Wrap(err, "data folder")
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(dir, e.Name())); err != nil {
			return Failed.Wrap(err, "discard")
		}
	}
	return syncDir(dir)
}
