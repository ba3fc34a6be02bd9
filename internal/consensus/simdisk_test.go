package consensus

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// disk is what a replica has synced.
type disk struct {
	identity  *pb.ReplicaIdentity
	bootstrap *pb.Membership
	hardState *pb.HardState
	entries   []*pb.LogEntry
	meta      *pb.SnapshotMeta
	data      []byte
	peers     map[uint64]*pb.ReplicaIdentity
}

func (d *disk) clone() *disk {
	c := *d
	c.identity = proto.Clone(d.identity).(*pb.ReplicaIdentity)
	c.peers = maps.Clone(d.peers)
	return &c
}

// latestMembership returns the latest synced member list.
func (d *disk) latestMembership() *pb.Membership {
	h := newMemberHistory(InitialState{Snapshot: d.meta, Entries: d.entries, Membership: d.bootstrap})
	return h.current()
}

func (d *disk) save(p Persist) {
	if p.TruncateFrom != 0 {
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e *pb.LogEntry) bool { return e.Index >= p.TruncateFrom })
	}
	d.entries = append(slices.Clip(d.entries), p.Entries...)
	if p.CompactTo != 0 {
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e *pb.LogEntry) bool { return e.Index < p.CompactTo })
	}
	if p.HardState != nil {
		d.hardState = p.HardState
	}
}
