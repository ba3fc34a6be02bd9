package store

import (
	bolt "go.etcd.io/bbolt"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Admit decides whether a request's messages may be taken, given the committed
// member list: those of a leader by consensus.CheckLeader, others by CheckPeer. It
// remembers a peer's latest life and boot, synced, before it returns. Errors:
// those of CheckPeer, Failed.
func (s *Store) Admit(req *pb.StepRequest, committed *pb.Membership) error {
	from := req.GetFrom()
	s.mu.Lock()
	defer s.mu.Unlock()
	if consensus.AllLeaderMessages(req.Messages) {
		if err := consensus.CheckLeader(from, committed); err != nil {
			return err
		}
		s.leads[from.GetId()] = from.GetIncarnation()
		return nil
	}
	known := s.peers[from.GetId()]
	if err := consensus.CheckPeer(from, known, committed); err != nil {
		return err
	}
	if known.GetIncarnation() == from.Incarnation && known.Boot == from.Boot {
		return nil
	}
	life := cloneOf(from)
	life.PastNonces = nil
	err := s.update(func(tx *bolt.Tx) error { return put(tx, bucketPeers, indexKey(life.Id), life) })
	if err == nil {
		s.peers[life.Id] = life
	}
	return err
}

// CheckAddressee tells whether messages to that identity are for this replica; an
// empty incarnation is one that the sender does not know yet. Errors:
// consensus.IdentityMismatch.
func (s *Store) CheckAddressee(to *pb.ReplicaIdentity) error {
	own := s.folder.Identity
	if to.GetId() != own.Id || to.Incarnation != "" && to.Incarnation != own.Incarnation {
		return consensus.IdentityMismatch.New("this is replica %d (%s), not %d (%s)",
			own.Id, own.Incarnation, to.GetId(), to.GetIncarnation())
	}
	return nil
}

// TargetIdentity is the identity under which to address a replica.
func (s *Store) TargetIdentity(id uint64, members *pb.Membership) *pb.ReplicaIdentity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return consensus.TargetIdentity(id, s.leads[id], s.peers[id], members)
}
