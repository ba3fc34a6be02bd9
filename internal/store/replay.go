package store

import (
	"cmp"
	"encoding/binary"

	bolt "go.etcd.io/bbolt"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Replayer is the host's state, to which committed entries are applied in order.
type Replayer interface {
	Apply(*pb.LogEntry)
	// Snapshot returns the state after the last entry applied.
	Snapshot() []byte
}

// shortenLog replaces the committed entries after the snapshot by a snapshot of the state after them
// if the log is larger than Options.MaxLogBytes. It holds one entry in memory at a time.
//
// Failure: a log that an earlier build let grow is read whole at each start, the process uses more
// memory than its VM has and is ended, and the log can never be cut.
func (s *Store) shortenLog(o Options) error {
	if o.MaxLogBytes <= 0 || o.Replay == nil {
		return nil
	}
	bytes, err := s.logBytes()
	if err != nil || bytes <= o.MaxLogBytes {
		return err
	}
	if _, err := s.readHead(); err != nil {
		return err
	}
	if err := s.checkOwner(o); err != nil {
		return err
	}
	meta, data, err := s.replayCommitted(o)
	if err != nil {
		return err
	}
	if err := s.trimFile(); err != nil {
		return err
	}
	if meta != nil {
		if err := s.saveSnapshot(meta, data, false); err != nil {
			return err
		}
	}
	return s.Save(consensus.Persist{CompactTo: s.snapshot.GetIndex()})
}

// logBytes returns the size of all log records.
func (s *Store) logBytes() (total int, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketLog).ForEach(func(_, v []byte) error {
			total += len(v)
			return nil
		})
	})
	return total, err
}

// replayCommitted returns the snapshot of the state after the last committed entry; nil if the present
// snapshot covers that. Errors: Corrupt, Failed, those of Options.Replay.
func (s *Store) replayCommitted(o Options) (*pb.SnapshotMeta, []byte, error) {
	var data []byte
	meta := &pb.SnapshotMeta{Membership: s.folder.Bootstrap}
	if s.snapshot != nil {
		var err error
		if data, err = readSnapshot(s.dir, s.snapshot); err != nil {
			return nil, nil, err
		}
		meta = clone(s.snapshot)
	}
	covered := meta.Index
	state, err := o.Replay(data)
	if err != nil {
		return nil, nil, err
	}
	err = s.db.View(func(tx *bolt.Tx) error { return replay(tx, state, meta) })
	if err != nil || meta.Index == covered {
		return nil, nil, err
	}
	meta.Membership = cmp.Or(meta.Membership, &pb.Membership{})
	snapshot := state.Snapshot()
	consensus.SetSnapshotChecksum(meta, snapshot)
	return meta, snapshot, nil
}

// replay applies the committed entries after meta.Index to the state, and sets index, term and member
// list of the last one in meta.
func replay(tx *bolt.Tx, state Replayer, meta *pb.SnapshotMeta) error {
	hardState := &pb.HardState{}
	if _, err := getRecord(tx, bucketMeta, keyHardState, hardState); err != nil {
		return err
	}
	cursor := tx.Bucket(bucketLog).Cursor()
	for k, v := cursor.Seek(indexKey(meta.Index + 1)); k != nil; k, v = cursor.Next() {
		e, err := decodeEntry(k, v)
		if err != nil {
			return err
		}
		if e.Index > hardState.Commit {
			return nil
		}
		if e.Index != meta.Index+1 {
			return Corrupt.New("log entry %d is missing", meta.Index+1)
		}
		state.Apply(e)
		meta.Index, meta.Term = e.Index, e.Term
		if members := consensus.EntryMembership(e); members != nil {
			meta.Membership = members
		}
	}
	return nil
}

func decodeEntry(k, v []byte) (*pb.LogEntry, error) {
	e := &pb.LogEntry{}
	if err := decodeRecord(bucketLog, k, v, e); err != nil {
		return nil, err
	}
	if len(k) != 8 || binary.BigEndian.Uint64(k) != e.Index {
		return nil, Corrupt.New("log entry %d is stored under the wrong key", e.Index)
	}
	return e, nil
}
