package store

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	// archiveName is the name of the nth subfolder with damaged files.
	archiveName    = "damaged-%d"
	archivePattern = "damaged-*"
	// formerName is a file that marks a folder whose replica has been given up. It is synced before the
	// first of its files is moved or removed.
	formerName = "former-replica"
)

// ArchiveDamaged moves a Corrupt folder's files into a new subfolder, where an
// operator may inspect them, and returns its path. Of earlier ones none is kept. The next Open must set Join: the
// replica starts with a new incarnation, which peers refuse until the operator has
// replaced the old one by it, under the same id or a new one. Errors: Failed.
func ArchiveDamaged(dir string) (string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return "", Failed.Wrap(err, "read data folder")
	}
	if err := markFormer(dir); err != nil {
		return "", err
	}
	if err := removeArchives(dir); err != nil {
		return "", err
	}
	archive, err := createArchiveFolder(dir)
	if err != nil {
		return "", err
	}
	if err := syncDir(dir); err != nil {
		return "", err
	}
	for _, e := range entries {
		if e.IsDir() || e.Name() == formerName {
			continue
		}
		if err := os.Rename(filepath.Join(dir, e.Name()), filepath.Join(archive, e.Name())); err != nil {
			return "", Failed.Wrap(err, "archive damaged folder")
		}
	}
	if err := syncDir(archive); err != nil {
		return "", err
	}
	return archive, syncDir(dir)
}

// markFormer makes GivenUp true for the folder, also after a loss of power.
func markFormer(dir string) error {
	f, err := os.OpenFile(filepath.Join(dir, formerName), os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return Failed.Wrap(err, "mark folder")
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return Failed.Wrap(err, "mark folder")
	}
	return syncDir(dir)
}

// removeArchives removes earlier archives: the disk has room for one beside the folder.
func removeArchives(dir string) error {
	paths, err := filepath.Glob(filepath.Join(dir, archivePattern))
	if err != nil {
		return Failed.Wrap(err, "archives")
	}
	for _, path := range paths {
		if err := os.RemoveAll(path); err != nil {
			return Failed.Wrap(err, "remove earlier archive")
		}
	}
	return nil
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

// GivenUp reports whether a replica that had this folder was given up, since its files were damaged or the group
// had removed it. Another one must not start under its id.
func GivenUp(dir string) bool {
	for _, name := range []string{formerName, fmt.Sprintf(archiveName, 1)} {
		if _, err := os.Stat(filepath.Join(dir, name)); err == nil {
			return true
		}
	}
	return false
}

// Discard deletes the folder's content after the group has removed the replica, so
// that it can join again as a new one. Errors: Failed.
func Discard(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return Failed.Wrap(err, "read data folder")
	}
	if err := markFormer(dir); err != nil {
		return err
	}
	for _, e := range entries {
		if e.Name() == formerName {
			continue
		}
		if err := os.RemoveAll(filepath.Join(dir, e.Name())); err != nil {
			return Failed.Wrap(err, "discard")
		}
	}
	return syncDir(dir)
}
