package store

import (
	bolt "go.etcd.io/bbolt"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Admit decides whether a request's messages may be accepted, given the committed
// member list: those of a leader by consensus.CheckLeader, others by
// consensus.CheckPeer. It records a peer's latest incarnation and boot, synced,
// before it returns. Errors: those of CheckLeader and CheckPeer, Failed.
func (s *Store) Admit(req *pb.StepRequest, committed *pb.Membership) error {
	if admitted, err := s.admitKnown(req, committed); admitted || err != nil {
		return err
	}
	s.admitting.Lock()
	defer s.admitting.Unlock()
	// Another request may have recorded the peer meanwhile.
	if admitted, err := s.admitKnown(req, committed); admitted || err != nil {
		return err
	}
	latest := clone(req.GetFrom())
	latest.PastNonces = nil
	err := s.update(func(tx *bolt.Tx) error { return putRecord(tx, bucketPeers, indexKey(latest.Id), latest) })
	if err == nil {
		s.mu.Lock()
		s.peers[latest.Id] = latest
		s.mu.Unlock()
	}
	return err
}

// admitKnown admits messages for which nothing has to be recorded; false if the sender's incarnation or boot
// has to be. Errors: those of CheckLeader and CheckPeer.
func (s *Store) admitKnown(req *pb.StepRequest, committed *pb.Membership) (bool, error) {
	from := req.GetFrom()
	s.mu.Lock()
	defer s.mu.Unlock()
	if consensus.AllLeaderMessages(req.Messages) {
		if err := consensus.CheckLeader(from, committed); err != nil {
			return false, err
		}
		s.leaderIncarnations[from.GetId()] = from.GetIncarnation()
		return true, nil
	}
	known := s.peers[from.GetId()]
	if err := consensus.CheckPeer(from, known, committed); err != nil {
		return false, err
	}
	return known.GetIncarnation() == from.Incarnation && known.Boot == from.Boot, nil
}

// CheckAddressee returns an error unless messages to that identity are for this
// replica. An empty incarnation means that the sender does not know it yet. Errors:
// consensus.IdentityMismatch.
func (s *Store) CheckAddressee(to *pb.ReplicaIdentity) error {
	s.mu.Lock()
	self := s.folder.Identity
	s.mu.Unlock()
	if to.GetId() != self.Id || to.Incarnation != "" && to.Incarnation != self.Incarnation {
		return consensus.IdentityMismatch.New("this is replica %d (%s), not %d (%s)",
			self.Id, self.Incarnation, to.GetId(), to.GetIncarnation())
	}
	return nil
}

// TargetIdentity returns the identity to address a replica by.
func (s *Store) TargetIdentity(id uint64, members *pb.Membership) *pb.ReplicaIdentity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return consensus.TargetIdentity(id, s.leaderIncarnations[id], s.peers[id], members)
}
