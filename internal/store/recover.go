package store

import (
	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Recovered is the content of the folder. Initial is passed to consensus.NewNode
// unchanged, after the host has restored its state from Initial.SnapshotData, if
// there is any.
type Recovered struct {
	Initial consensus.InitialState
	// Joined is true if the folder was created with Options.Join: the replica
	// waits to be added to a group, or was added.
	Joined bool
	// CopyError is why a database file that is mostly free was not replaced by a smaller copy;
	// nil if it was, or had not to be.
	CopyError error
}

// readHead reads the folder but for the log and the snapshot's data. Errors: Corrupt, Failed.
func (s *Store) readHead() (*Recovered, error) {
	r := &Recovered{}
	s.folder, s.bounds = &pb.FolderIdentity{}, &pb.LogBounds{}
	err := s.db.View(func(tx *bolt.Tx) error {
		if err := s.readMeta(tx, r); err != nil {
			return err
		}
		return s.readPeers(tx)
	})
	r.Joined = s.folder.Joined
	return r, err
}

// readFolder reads the whole folder. Errors: Corrupt, Failed.
func (s *Store) readFolder() (*Recovered, error) {
	r, err := s.readHead()
	if err != nil {
		return nil, err
	}
	if err := s.db.View(func(tx *bolt.Tx) error { return s.readLog(tx, r) }); err != nil {
		return nil, err
	}
	if s.snapshot != nil {
		data, err := readSnapshot(s.dir, s.snapshot)
		if err != nil {
			return nil, err
		}
		r.Initial.Snapshot, r.Initial.SnapshotData = s.snapshot, data
	}
	r.Initial.Membership = s.folder.Bootstrap
	return r, checkLog(s.bounds, r.Initial)
}

func (s *Store) readMeta(tx *bolt.Tx, r *Recovered) error {
	hardState := &pb.HardState{}
	for _, rec := range []struct {
		key []byte
		m   proto.Message
	}{{keyFolder, s.folder}, {keyBounds, s.bounds}, {keyHardState, hardState}} {
		found, err := getRecord(tx, bucketMeta, rec.key, rec.m)
		if err != nil {
			return err
		}
		if !found {
			return Corrupt.New("record %s is missing", rec.key)
		}
	}
	r.Initial.HardState = hardState
	meta := &pb.SnapshotMeta{}
	found, err := getRecord(tx, bucketMeta, keySnapshot, meta)
	if found {
		s.snapshot = meta
	}
	return err
}

func (s *Store) readPeers(tx *bolt.Tx) error {
	return tx.Bucket(bucketPeers).ForEach(func(k, v []byte) error {
		id := &pb.ReplicaIdentity{}
		if err := decodeRecord(bucketPeers, k, v, id); err != nil {
			return err
		}
		s.peers[id.Id] = id
		return nil
	})
}

func (s *Store) readLog(tx *bolt.Tx, r *Recovered) error {
	return tx.Bucket(bucketLog).ForEach(func(k, v []byte) error {
		e, err := decodeEntry(k, v)
		if err != nil {
			return err
		}
		r.Initial.Entries = append(r.Initial.Entries, e)
		return nil
	})
}

// checkLog checks that no entry is missing: at the ends by the bounds, which each
// transaction writes too, and in between by the indexes.
func checkLog(bounds *pb.LogBounds, init consensus.InitialState) error {
	entries := init.Entries
	if len(entries) == 0 {
		if bounds.Last != 0 {
			return Corrupt.New("log entries %d to %d are missing", bounds.First, bounds.Last)
		}
		return nil
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	if first != bounds.First || last != bounds.Last || last-first != uint64(len(entries))-1 {
		return Corrupt.New("log entries %d to %d are incomplete", bounds.First, bounds.Last)
	}
	if first > init.Snapshot.GetIndex()+1 || last < init.Snapshot.GetIndex() {
		return Corrupt.New("log entries %d to %d do not adjoin the snapshot at %d", first, last, init.Snapshot.GetIndex())
	}
	return nil
}
