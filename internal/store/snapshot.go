package store

import (
	"fmt"
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	snapshotPattern = "snapshot-*"
	snapshotTemp    = ".new"
)

// snapshotName names the file by what it holds, so that writing a snapshot never
// touches the one in use.
func snapshotName(meta *pb.SnapshotMeta) string {
	return fmt.Sprintf("snapshot-%020d-%016x", meta.Index, meta.Checksum)
}

// SaveSnapshot syncs a snapshot of the own state (effect TakeSnapshot). The log
// stays as it is. Errors: Failed.
func (s *Store) SaveSnapshot(meta *pb.SnapshotMeta, data []byte) error {
	return s.saveSnapshot(meta, data, false)
}

// RestoreSnapshot syncs a snapshot in place of log and state (effect
// RestoreSnapshot), in one transaction. Errors: Failed.
func (s *Store) RestoreSnapshot(meta *pb.SnapshotMeta, data []byte) error {
	return s.saveSnapshot(meta, data, true)
}

func (s *Store) saveSnapshot(meta *pb.SnapshotMeta, data []byte, dropLog bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !consensus.SnapshotChecksumMatches(meta, data) {
		return Failed.New("snapshot at %d does not match its checksum", meta.Index)
	}
	if meta.Index < s.snapshot.GetIndex() {
		return nil
	}
	if err := writeFile(s.dir, snapshotName(meta), data); err != nil {
		return err
	}
	bounds := cloneOf(s.bounds)
	var folder *pb.FolderIdentity
	err := s.update(func(tx *bolt.Tx) error {
		if dropLog {
			if err := truncate(tx, 1, bounds); err != nil {
				return err
			}
			if err := put(tx, bucketMeta, keyBounds, bounds); err != nil {
				return err
			}
		}
		if err := put(tx, bucketMeta, keySnapshot, meta); err != nil {
			return err
		}
		var err error
		folder, err = s.countBoot(tx)
		return err
	})
	if err != nil {
		return err
	}
	s.snapshot, s.bounds, s.folder = meta, bounds, folder
	return s.removeStrays()
}

// LoadSnapshot reads the latest snapshot, nil if there is none. Errors: Corrupt,
// Failed.
func (s *Store) LoadSnapshot() (*pb.SnapshotMeta, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil {
		return nil, nil, nil
	}
	data, err := readSnapshot(s.dir, s.snapshot)
	return s.snapshot, data, err
}

func readSnapshot(dir string, meta *pb.SnapshotMeta) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(dir, snapshotName(meta)))
	if err != nil {
		return nil, Corrupt.Wrap(err, "snapshot at %d", meta.Index)
	}
	if !consensus.SnapshotChecksumMatches(meta, data) {
		return nil, Corrupt.New("snapshot at %d does not match its checksum", meta.Index)
	}
	return data, nil
}

// writeFile makes a file appear whole and synced or not at all.
func writeFile(dir, name string, data []byte) error {
	temp := filepath.Join(dir, name+snapshotTemp)
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return Failed.Wrap(err, "snapshot")
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temp, filepath.Join(dir, name))
	}
	if err != nil {
		return Failed.Wrap(err, "snapshot")
	}
	return syncDir(dir)
}

// removeStrays removes snapshots that are not the latest: older ones, and those
// that a crash left before they were recorded.
func (s *Store) removeStrays() error {
	paths, err := filepath.Glob(filepath.Join(s.dir, snapshotPattern))
	if err != nil {
		return Failed.Wrap(err, "snapshots")
	}
	for _, path := range paths {
		if s.snapshot != nil && filepath.Base(path) == snapshotName(s.snapshot) {
			continue
		}
		if err := os.Remove(path); err != nil {
			return Failed.Wrap(err, "old snapshot")
		}
	}
	return nil
}
