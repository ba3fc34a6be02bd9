package store

import (
	bolt "go.etcd.io/bbolt"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Save writes a Persist as one synced transaction: after a crash either all of it
// is there or nothing. Errors: Failed; the host must then stop, since the content
// of the disk is unknown.
func (s *Store) Save(p consensus.Persist) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	bounds := clone(s.bounds)
	err := s.update(func(tx *bolt.Tx) error { return save(tx, p, bounds) })
	if err != nil {
		return err
	}
	s.bounds = bounds
	return nil
}

func save(tx *bolt.Tx, p consensus.Persist, bounds *pb.LogBounds) error {
	if p.TruncateFrom != 0 {
		if err := truncate(tx, p.TruncateFrom, bounds); err != nil {
			return err
		}
	}
	if err := appendEntries(tx, p.Entries, bounds); err != nil {
		return err
	}
	if p.CompactTo != 0 {
		if err := compact(tx, p.CompactTo, bounds); err != nil {
			return err
		}
	}
	if p.HardState != nil {
		if err := putRecord(tx, bucketMeta, keyHardState, p.HardState); err != nil {
			return err
		}
	}
	return putRecord(tx, bucketMeta, keyBounds, bounds)
}

func truncate(tx *bolt.Tx, from uint64, bounds *pb.LogBounds) error {
	for index := max(from, bounds.First); index <= bounds.Last; index++ {
		if err := tx.Bucket(bucketLog).Delete(indexKey(index)); err != nil {
			return err
		}
	}
	if from <= bounds.First {
		*bounds = pb.LogBounds{}
	} else {
		bounds.Last = min(bounds.Last, from-1)
	}
	return nil
}

func appendEntries(tx *bolt.Tx, entries []*pb.LogEntry, bounds *pb.LogBounds) error {
	b := tx.Bucket(bucketLog)
	// Entries are written in key order and rarely replaced, so full pages save
	// space.
	b.FillPercent = 0.95
	for _, e := range entries {
		if bounds.Last != 0 && e.Index != bounds.Last+1 {
			return Failed.New("entry %d does not follow entry %d", e.Index, bounds.Last)
		}
		if err := putRecord(tx, bucketLog, indexKey(e.Index), e); err != nil {
			return err
		}
		if bounds.First == 0 {
			bounds.First = e.Index
		}
		bounds.Last = e.Index
	}
	return nil
}

func compact(tx *bolt.Tx, first uint64, bounds *pb.LogBounds) error {
	if bounds.First == 0 || first <= bounds.First || first > bounds.Last {
		return nil
	}
	for index := bounds.First; index < first; index++ {
		if err := tx.Bucket(bucketLog).Delete(indexKey(index)); err != nil {
			return err
		}
	}
	bounds.First = first
	return nil
}
