package store

import "os"

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

func folderBytes(dir string) (int64, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, Failed.Wrap(err, "read data folder")
	}
	total := int64(0)
	for _, e := range entries {
		info, err := e.Info()
		switch {
		case os.IsNotExist(err):
			// A snapshot that was replaced meanwhile.
			continue
		case err != nil:
			return 0, Failed.Wrap(err, "stat data folder")
		}
		total += info.Size()
	}
	return total, nil
}
