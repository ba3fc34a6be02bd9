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

// snapshotName derives the file name from the content, so that writing a snapshot
// never overwrites the current one.
func snapshotName(meta *pb.SnapshotMeta) string {
	return fmt.Sprintf("snapshot-%020d-%016x", meta.Index, meta.Checksum)
}

// SaveSnapshot syncs a snapshot of this replica's state (effect TakeSnapshot). The
// log is unchanged. Errors: Failed.
func (s *Store) SaveSnapshot(meta *pb.SnapshotMeta, data []byte) error {
	return s.saveSnapshot(meta, data, false)
}

// RestoreSnapshot replaces log and snapshot by a received snapshot (effect
// RestoreSnapshot), in one synced transaction. Errors: Failed.
func (s *Store) RestoreSnapshot(meta *pb.SnapshotMeta, data []byte) error {
	return s.saveSnapshot(meta, data, true)
}

func (s *Store) saveSnapshot(meta *pb.SnapshotMeta, data []byte, dropLog bool) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	if !consensus.SnapshotChecksumMatches(meta, data) {
		return Failed.New("snapshot at %d does not match its checksum", meta.Index)
	}
	if meta.Index < s.snapshot.GetIndex() {
		return nil
	}
	if err := writeFileAtomically(s.dir, snapshotName(meta), data); err != nil {
		return err
	}
	bounds := clone(s.bounds)
	var folder *pb.FolderIdentity
	err := s.update(func(tx *bolt.Tx) error {
		if dropLog {
			if err := truncate(tx, 1, bounds); err != nil {
				return err
			}
			if err := putRecord(tx, bucketMeta, keyBounds, bounds); err != nil {
				return err
			}
		}
		if err := putRecord(tx, bucketMeta, keySnapshot, meta); err != nil {
			return err
		}
		var err error
		folder, err = s.advanceBoot(tx)
		return err
	})
	if err != nil {
		return err
	}
	s.bounds = bounds
	s.mu.Lock()
	s.snapshot, s.folder = meta, folder
	s.mu.Unlock()
	return s.removeStaleSnapshots()
}

// LoadSnapshot reads the latest snapshot, nil if there is none. Errors: Corrupt,
// Failed.
func (s *Store) LoadSnapshot() (*pb.SnapshotMeta, []byte, error) {
	s.writing.Lock()
	defer s.writing.Unlock()
	if s.snapshot == nil {
		return nil, nil, nil
	}
	data, err := readSnapshot(s.dir, s.snapshot)
	return s.snapshot, data, err
}

func readSnapshot(dir string, meta *pb.SnapshotMeta) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(dir, snapshotName(meta)))
	switch {
	case refusedByDisk(err):
		return nil, Failed.Wrap(err, "snapshot at %d", meta.Index)
	case err != nil:
		return nil, Corrupt.Wrap(err, "snapshot at %d", meta.Index)
	}
	if !consensus.SnapshotChecksumMatches(meta, data) {
		return nil, Corrupt.New("snapshot at %d does not match its checksum", meta.Index)
	}
	return data, nil
}

// writeFileAtomically creates a file that after a crash is either complete or
// absent.
func writeFileAtomically(dir, name string, data []byte) error {
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
		// What fits no more on the disk must not take its last room.
		_ = os.Remove(temp)
		return Failed.Wrap(err, "snapshot")
	}
	return syncDir(dir)
}

// removeIncompleteSnapshots removes what a crash left of snapshots that were being written: the room may be
// needed to cut the log. The folder must be locked.
func removeIncompleteSnapshots(dir string) error {
	paths, err := filepath.Glob(filepath.Join(dir, snapshotPattern+snapshotTemp))
	if err != nil {
		return Failed.Wrap(err, "snapshots")
	}
	for _, path := range paths {
		if err := os.Remove(path); err != nil {
			return Failed.Wrap(err, "remove incomplete snapshot")
		}
	}
	return nil
}

// removeStaleSnapshots removes snapshots other than the latest: older ones, and
// those that a crash left before they were recorded.
func (s *Store) removeStaleSnapshots() error {
	paths, err := filepath.Glob(filepath.Join(s.dir, snapshotPattern))
	if err != nil {
		return Failed.Wrap(err, "snapshots")
	}
	for _, path := range paths {
		if s.snapshot != nil && filepath.Base(path) == snapshotName(s.snapshot) {
			continue
		}
		if err := os.Remove(path); err != nil {
			return Failed.Wrap(err, "remove stale snapshot")
		}
	}
	return nil
}
