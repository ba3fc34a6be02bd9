package store

import (
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"
)

const (
	// copiedDatabaseName is a copy without free pages; a crash may leave it behind.
	copiedDatabaseName = "control.db.copy"
	// minShrunkBytes is the size up to which a file is left as it is, and maxFileShare that as a
	// multiple of Options.MaxLogBytes: a copy at each start would make starts slow.
	minShrunkBytes = 4 << 20
	maxFileShare   = 2
	// copyTransactionBytes bounds the memory of one transaction of the copy.
	copyTransactionBytes = 1 << 20
)

// isOversized reports whether the database file is large and most of it holds nothing.
func (s *Store) isOversized(maxLogBytes int) bool {
	info, err := os.Stat(s.db.Path())
	if err != nil {
		return false
	}
	stats := s.db.Stats()
	free := int64(stats.FreePageN+stats.PendingPageN) * pageSize
	return info.Size() > max(minShrunkBytes, maxFileShare*int64(maxLogBytes)) && free > info.Size()/2
}

// trimFile gives the end of the database file that was never used back to the disk. An earlier build grew
// the file by 16 MiB at a time; on a disk that is full the snapshot needs that room. Errors: Failed.
func (s *Store) trimFile() error {
	used := int64(0)
	err := s.db.View(func(tx *bolt.Tx) error {
		used = tx.Size()
		return nil
	})
	if err != nil {
		return Failed.Wrap(err, "size of database")
	}
	info, err := os.Stat(s.db.Path())
	if err != nil {
		return Failed.Wrap(err, "stat database")
	}
	if info.Size() <= used {
		return nil
	}
	if err := os.Truncate(s.db.Path(), used); err != nil {
		return Failed.Wrap(err, "trim database")
	}
	return nil
}

// shrinkFile replaces the database file by a copy without free pages: bbolt itself never returns pages
// to the disk. If it can't be copied, as on a full disk, the file stays as it is. Errors: Failed.
//
// The folder is synced before the copy is used: a loss of power must not bring the old file back once
// the new one has changed.
func shrinkFile(dir string) (copyErr, err error) {
	path, copied := filepath.Join(dir, databaseName), filepath.Join(dir, copiedDatabaseName)
	if copyErr = copyDatabase(copied, path); copyErr != nil {
		if err := os.RemoveAll(copied); err != nil {
			return nil, Failed.Wrap(err, "remove incomplete copy")
		}
		return copyErr, nil
	}
	if err := os.Rename(copied, path); err != nil {
		return nil, Failed.Wrap(err, "replace database")
	}
	return nil, syncDir(dir)
}

// copyDatabase writes the records of one database file to a new one, synced.
func copyDatabase(to, from string) error {
	src, err := openBolt(from)
	if err != nil {
		return err
	}
	defer src.Close()
	dst, err := openBolt(to)
	if err != nil {
		return err
	}
	err = bolt.Compact(dst, src, copyTransactionBytes)
	if closeErr := dst.Close(); err == nil {
		err = closeErr
	}
	return err
}
