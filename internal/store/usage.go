package store

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// Usage is what the data folder takes on the disk, in bytes.
type Usage struct {
	// Database is the size of the database file; Free is the part of it that holds nothing.
	Database, Free int64
	// Snapshot is the size of the latest snapshot.
	Snapshot int64
	// Folder is the size of the folder's files.
	Folder int64
}

// Usage returns what the folder takes now. Errors: Failed.
func (s *Store) Usage() (Usage, error) {
	s.mu.Lock()
	u := Usage{Snapshot: int64(s.snapshot.GetSize())}
	s.mu.Unlock()
	stats := s.db.Stats()
	u.Free = int64(stats.FreePageN+stats.PendingPageN) * pageSize
	info, err := os.Stat(s.db.Path())
	if err != nil {
		return u, Failed.Wrap(err, "stat database")
	}
	u.Database = info.Size()
	u.Folder, err = folderBytes(s.dir)
	return u, err
}

// folderBytes returns the size of the folder's files, also of archived ones.
func folderBytes(dir string) (int64, error) {
	total := int64(0)
	err := filepath.WalkDir(dir, func(_ string, e fs.DirEntry, err error) error {
		if errors.Is(err, fs.ErrNotExist) {
			// A snapshot that was replaced meanwhile.
			return nil
		}
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		switch {
		case errors.Is(err, fs.ErrNotExist):
			return nil
		case err != nil:
			return err
		}
		total += info.Size()
		return nil
	})
	if err != nil {
		return 0, Failed.Wrap(err, "read data folder")
	}
	return total, nil
}
