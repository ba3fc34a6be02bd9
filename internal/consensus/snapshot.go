package consensus

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxSnapshotBytes bounds what a replica takes in, so that garbage can't fill
// its memory. The state is meant to stay under a quarter of it.
const maxSnapshotBytes = 256 << 20

// SetSnapshotChecksum sets size and checksum of a snapshot's meta.
func SetSnapshotChecksum(meta *pb.SnapshotMeta, data []byte) {
	meta.Size = uint64(len(data))
	meta.Checksum = xxhash.Sum64(data)
}

// SnapshotChecksumMatches tells whether data is what the meta was sealed for.
func SnapshotChecksumMatches(meta *pb.SnapshotMeta, data []byte) bool {
	return meta.GetSize() == uint64(len(data)) && meta.GetChecksum() == xxhash.Sum64(data)
}

// snapshotTransfer is a leader's sending of one snapshot to one replica, a chunk
// at a time. The receiver's answer says which offset it wants next, so a restart
// of either side, or a lost message, only repeats chunks.
type snapshotTransfer struct {
	meta   *pb.SnapshotMeta
	data   []byte
	offset uint64
}

// covered tells whether an acknowledged index shows that the snapshot is in place.
func (t *snapshotTransfer) covered(index uint64) bool { return t != nil && index >= t.meta.Index }

// maybeAskSnapshot asks for a snapshot once enough entries were applied.
func (n *Node) maybeAskSnapshot() {
	last := max(n.snapshot.GetIndex(), n.snapshotAskedAt)
	if n.log.applied < last+n.cfg.SnapshotEntries {
		return
	}
	n.snapshotAskedAt = n.log.applied
	term, _ := n.log.term(n.log.applied)
	n.emit(TakeSnapshot{Meta: &pb.SnapshotMeta{
		Index: n.log.applied, Term: term,
		Membership: cloneMembership(n.members.at(n.log.applied).membership),
	}})
}

// onSnapshotTaken cuts the log but for a tail. A snapshot that a restored one
// has overtaken is left alone.
//
// The store begins a new boot with each snapshot, so peers must hear of it.
func (n *Node) onSnapshotTaken(e SnapshotTaken) {
	n.introduceAgain()
	index := e.Meta.GetIndex()
	if index <= n.snapshot.GetIndex() || index > n.log.applied {
		return
	}
	n.snapshot, n.snapshotData = e.Meta, e.Data
	if index <= n.cfg.TrailingEntries {
		return
	}
	first := index - n.cfg.TrailingEntries
	if first <= n.log.baseIndex {
		return
	}
	n.log.compact(first)
	n.members.compact(first)
	n.persist.compactTo = first
}

// startSnapshot begins a transfer to a replica whose next entry is compacted
// away. There is a snapshot, since only a snapshot lets the log be cut.
func (n *Node) startSnapshot(id uint64, pr *progress) {
	pr.state = snapshotting
	pr.inflight = nil
	pr.transfer = &snapshotTransfer{meta: n.snapshot, data: n.snapshotData}
	n.sendChunk(id, pr)
}

func (n *Node) sendChunk(id uint64, pr *progress) {
	t := pr.transfer
	end := min(t.offset+uint64(n.cfg.SnapshotChunkBytes), t.meta.Size)
	m := n.message(pb.MessageKind_MESSAGE_KIND_SNAPSHOT, id)
	m.Snapshot, m.ChunkOffset = t.meta, t.offset
	m.Chunk = t.data[t.offset:end]
	pr.movedAt = n.now
	n.send(m)
}

func (n *Node) onSnapshotResponse(m *pb.Message, pr *progress) {
	t := pr.transfer
	if pr.state != snapshotting || m.Index != t.meta.Index || m.ChunkOffset > t.meta.Size {
		return
	}
	stale := m.ChunkOffset == t.offset && n.now < pr.movedAt+n.cfg.HeartbeatInterval
	if stale {
		// A doubled answer must not double every chunk after it.
		return
	}
	t.offset = m.ChunkOffset
	pr.movedAt = n.now
	if t.offset < t.meta.Size {
		n.sendChunk(m.From, pr)
	}
}

// snapshotReceiver gathers the chunks of one snapshot.
type snapshotReceiver struct {
	meta *pb.SnapshotMeta
	data []byte
	// complete is true once all is there and checked; log and votes stand still
	// until the host has put it in place.
	complete bool
	// handed is true once the host was asked to.
	handed bool
}

func (r *snapshotReceiver) restoring() bool { return r.complete }

// take adds a chunk; false if it does not continue what is there.
func (r *snapshotReceiver) take(m *pb.Message) bool {
	if r.meta == nil || !proto.Equal(r.meta, m.Snapshot) {
		*r = snapshotReceiver{meta: m.Snapshot}
	}
	if m.ChunkOffset != uint64(len(r.data)) || m.ChunkOffset+uint64(len(m.Chunk)) > r.meta.Size {
		return false
	}
	r.data = append(r.data, m.Chunk...)
	return true
}

func (r *snapshotReceiver) full() bool { return uint64(len(r.data)) == r.meta.Size }

func (n *Node) onSnapshotChunk(m *pb.Message) {
	unusable := m.Snapshot.GetIndex() == 0 || m.Snapshot.Size > maxSnapshotBytes ||
		checkMembers(m.Snapshot.Membership) != nil
	if n.incoming.restoring() || unusable {
		return
	}
	if n.hasSnapshot(m.Snapshot) {
		n.answerAppend(m.From, n.log.commit)
		return
	}
	r := &n.incoming
	if r.take(m) && r.full() {
		if SnapshotChecksumMatches(r.meta, r.data) {
			r.complete = true
			n.startRestore()
		} else {
			r.data = nil
		}
	}
	answer := n.message(pb.MessageKind_MESSAGE_KIND_SNAPSHOT_RESPONSE, m.From)
	answer.Index, answer.ChunkOffset = m.Snapshot.Index, uint64(len(r.data))
	n.sendInTerm(answer)
}

// hasSnapshot tells whether the log covers a snapshot already; if the log holds
// its last entry, it is committed up to there.
func (n *Node) hasSnapshot(meta *pb.SnapshotMeta) bool {
	if meta.Index > n.log.commit && n.log.matches(meta.Index, meta.Term) {
		n.log.commit = meta.Index
	}
	return meta.Index <= n.log.commit
}

// startRestore hands a complete snapshot to the host once no Persist is under
// way, so that the host's writes never cross.
//
// Acknowledgements that still wait are dropped: the entries they speak of are
// neither synced nor kept. Votes that wait stay: they go out once the hard state
// is synced after the restore.
func (n *Node) startRestore() {
	r := &n.incoming
	if !r.complete || r.handed || n.persist.underWay {
		return
	}
	r.handed = true
	n.dropGatedAppends()
	n.emit(RestoreSnapshot{Meta: r.meta, Data: r.data})
}

func (n *Node) dropGatedAppends() {
	kept := n.persist.gated[:0]
	for _, g := range n.persist.gated {
		if g.message.Kind != pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE {
			kept = append(kept, g)
		}
	}
	n.persist.gated = kept
}

func (n *Node) onSnapshotRestored(e SnapshotRestored) {
	r := n.incoming
	if !r.handed || e.Index != r.meta.Index {
		return
	}
	n.incoming = snapshotReceiver{}
	n.snapshot, n.snapshotData = r.meta, r.data
	n.log.restore(r.meta.Index, r.meta.Term)
	n.persist.truncateFrom, n.persist.compactTo = 0, 0
	n.members = memberHistory{lists: []memberList{{
		index: r.meta.Index, membership: cloneMembership(r.meta.Membership),
	}}}
	n.membersChanged()
	n.introduceAgain()
	n.noteBound(n.members.current())
	if wasRemoved(n.members.current(), n.identity) {
		n.onRemoved()
		return
	}
	if n.leader != 0 {
		n.answerAppend(n.leader, n.log.commit)
	}
}
