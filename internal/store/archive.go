package store

import (
	"fmt"
	"os"
	"path/filepath"
)

// archiveName is the name of the nth subfolder with damaged files.
const archiveName = "damaged-%d"

// ArchiveDamaged moves a Corrupt folder's files into a new subfolder, where an
// operator may inspect them, and returns its path. The next Open must set Join: the
// replica starts with a new incarnation, which peers refuse until the operator has
// replaced the old one by it, under the same id or a new one. Errors: Failed.
func ArchiveDamaged(dir string) (string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return "", Failed.Wrap(err, "read data folder")
	}
	archive, err := createArchiveFolder(dir)
	if err != nil {
		return "", err
	}
	for _, e := range entries {
		if e.IsDir() {
			continue
		}
		if err := os.Rename(filepath.Join(dir, e.Name()), filepath.Join(archive, e.Name())); err != nil {
			return "", Failed.Wrap(err, "archive damaged folder")
		}
	}
	return archive, syncDir(dir)
}

func createArchiveFolder(dir string) (string, error) {
	for n := 1; ; n++ {
		archive := filepath.Join(dir, fmt.Sprintf(archiveName, n))
		err := os.Mkdir(archive, folderMode)
		if err == nil {
			return archive, nil
		}
		if !os.IsExist(err) {
			return "", Failed.Wrap(err, "archive damaged folder")
		}
	}
}

// HasArchive reports whether the folder holds files of an earlier, damaged one.
func HasArchive(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, fmt.Sprintf(archiveName, 1)))
	return err == nil
}

// Discard deletes the folder's content after the group has removed the replica, so
// that it can join again as a new one. Errors: Failed.
func Discard(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return Failed.Wrap(err, "read data folder")
	}
	for _, e := range entries {
		if err := os.RemoveAll(filepath.Join(dir, e.Name())); err != nil {
			return Failed.Wrap(err, "discard")
		}
	}
	return syncDir(dir)
}
