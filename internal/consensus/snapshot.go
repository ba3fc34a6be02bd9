package consensus

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxSnapshotBytes bounds the snapshot size that a replica accepts, so that invalid
// messages can't exhaust its memory. The state is expected to stay below a quarter
// of it.
const maxSnapshotBytes = 256 << 20

// SetSnapshotChecksum sets the size and checksum of a snapshot's metadata.
func SetSnapshotChecksum(meta *pb.SnapshotMeta, data []byte) {
	meta.Size = uint64(len(data))
	meta.Checksum = xxhash.Sum64(data)
}

// SnapshotChecksumMatches reports whether data has the size and checksum in the
// metadata.
func SnapshotChecksumMatches(meta *pb.SnapshotMeta, data []byte) bool {
	return meta.GetSize() == uint64(len(data)) && meta.GetChecksum() == xxhash.Sum64(data)
}

// EntryMembership returns the member list that an entry puts into force; nil for other entries.
func EntryMembership(e *pb.LogEntry) *pb.Membership {
	m, err := decodeMembership(e)
	if err != nil {
		return nil
	}
	return m
}

// snapshotTransfer is a leader's transfer of one snapshot to one replica, a chunk
// at a time. The receiver's response contains the next offset it needs, so a
// restart of either side, or a lost message, only causes some chunks to be sent again.
type snapshotTransfer struct {
	meta   *pb.SnapshotMeta
	data   []byte
	offset uint64
}

// isCoveredBy reports whether an acknowledged index shows that the snapshot was
// restored.
func (t *snapshotTransfer) isCoveredBy(index uint64) bool { return t != nil && index >= t.meta.Index }

// maybeRequestSnapshot requests a snapshot once enough was applied since the last one, in entries or
// in bytes. While one is under way no other is requested: each holds a copy of the state.
func (n *Node) maybeRequestSnapshot() {
	last := max(n.snapshot.GetIndex(), n.snapshotRequestIndex)
	due := n.log.applied >= last+n.cfg.SnapshotEntries || n.appliedBytes >= n.cfg.SnapshotBytes
	if !due || n.takingSnapshot {
		return
	}
	n.takingSnapshot, n.appliedBytes = true, 0
	n.snapshotRequestIndex = n.log.applied
	term, _ := n.log.term(n.log.applied)
	n.emit(TakeSnapshot{Meta: &pb.SnapshotMeta{
		Index: n.log.applied, Term: term,
		Membership: cloneMembership(n.members.at(n.log.applied).membership),
	}})
}

// onSnapshotTaken compacts the log except for TrailingEntries and TrailingBytes. A snapshot that is
// older than a restored one is ignored.
//
// The store advances the boot with each snapshot, so the handshake is restarted to
// inform peers.
func (n *Node) onSnapshotTaken(e SnapshotTaken) {
	n.takingSnapshot = false
	n.restartHandshake()
	index := e.Meta.GetIndex()
	if index <= n.snapshot.GetIndex() || index > n.log.applied {
		return
	}
	previous := n.snapshot
	n.snapshot, n.snapshotData = e.Meta, e.Data
	n.endOldTransfers(previous)
	first := n.log.trailingBase(index, n.cfg.TrailingEntries, n.cfg.TrailingBytes)
	if first <= n.log.baseIndex {
		return
	}
	n.log.compact(first)
	n.members.compact(first)
	n.persist.compactTo = first
}

// endOldTransfers starts transfers of snapshots older than the previous one again with the latest, so
// that replicas that don't answer keep no further copies of the state in memory.
func (n *Node) endOldTransfers(previous *pb.SnapshotMeta) {
	if n.role != leader {
		return
	}
	for _, id := range n.peers() {
		pr := n.leaderState.progress[id]
		if t := pr.snapshotTransfer; t != nil && t.meta.Index < previous.GetIndex() {
			n.startSnapshotTransfer(id, pr)
		}
	}
}

// startSnapshotTransfer starts a transfer to a replica whose next entry is
// compacted. A snapshot exists, since the log is compacted only after one.
func (n *Node) startSnapshotTransfer(id uint64, pr *progress) {
	pr.state = snapshotting
	pr.inflight = nil
	pr.snapshotTransfer = &snapshotTransfer{meta: n.snapshot, data: n.snapshotData}
	n.sendSnapshotChunk(id, pr)
}

func (n *Node) sendSnapshotChunk(id uint64, pr *progress) {
	t := pr.snapshotTransfer
	end := min(t.offset+uint64(n.cfg.SnapshotChunkBytes), t.meta.Size)
	m := n.message(pb.MessageKind_MESSAGE_KIND_SNAPSHOT, id)
	m.Snapshot, m.ChunkOffset = t.meta, t.offset
	m.Chunk = t.data[t.offset:end]
	pr.lastActivityAt = n.now
	n.send(m)
}

func (n *Node) onSnapshotResponse(m *pb.Message, pr *progress) {
	t := pr.snapshotTransfer
	if pr.state != snapshotting || m.Index != t.meta.Index || m.ChunkOffset > t.meta.Size {
		return
	}
	stale := m.ChunkOffset == t.offset && n.now < pr.lastActivityAt+n.cfg.HeartbeatInterval
	if stale {
		// A duplicate response must not duplicate every chunk after it.
		return
	}
	t.offset = m.ChunkOffset
	pr.lastActivityAt = n.now
	if t.offset < t.meta.Size {
		n.sendSnapshotChunk(m.From, pr)
	}
}

// snapshotReceiver collects the chunks of one snapshot.
type snapshotReceiver struct {
	meta *pb.SnapshotMeta
	data []byte
	// complete is true once all chunks have arrived and the checksum matches.
	// The log does not change and no votes are granted until the host has
	// restored the snapshot.
	complete bool
	// restoreRequested is true once the host was asked to restore the snapshot.
	restoreRequested bool
}

func (r *snapshotReceiver) restoring() bool { return r.complete }

// addChunk adds a chunk; false if it does not continue the received data.
func (r *snapshotReceiver) addChunk(m *pb.Message) bool {
	if r.meta == nil || !proto.Equal(r.meta, m.Snapshot) {
		*r = snapshotReceiver{meta: m.Snapshot}
	}
	if r.data == nil {
		// Growing step by step would hold the data twice.
		r.data = make([]byte, 0, r.meta.Size)
	}
	if m.ChunkOffset != uint64(len(r.data)) || m.ChunkOffset+uint64(len(m.Chunk)) > r.meta.Size {
		return false
	}
	r.data = append(r.data, m.Chunk...)
	return true
}

func (r *snapshotReceiver) hasAllChunks() bool { return uint64(len(r.data)) == r.meta.Size }

func (n *Node) onSnapshotChunk(m *pb.Message) {
	unusable := m.Snapshot.GetIndex() == 0 || m.Snapshot.Size > maxSnapshotBytes ||
		validateMembers(m.Snapshot.Membership) != nil
	if n.incomingSnapshot.restoring() || unusable {
		return
	}
	if n.logCovers(m.Snapshot) {
		n.sendAppendResponse(m.From, n.log.commit)
		return
	}
	r := &n.incomingSnapshot
	if r.addChunk(m) && r.hasAllChunks() {
		if SnapshotChecksumMatches(r.meta, r.data) {
			r.complete = true
			n.startRestore()
		} else {
			r.data = nil
		}
	}
	resp := n.message(pb.MessageKind_MESSAGE_KIND_SNAPSHOT_RESPONSE, m.From)
	resp.Index, resp.ChunkOffset = m.Snapshot.Index, uint64(len(r.data))
	n.sendAfterTermSync(resp)
}

// logCovers reports whether the log already covers a snapshot. If the log contains
// the snapshot's last entry, the log is committed up to there.
func (n *Node) logCovers(meta *pb.SnapshotMeta) bool {
	if meta.Index > n.log.commit && n.log.matches(meta.Index, meta.Term) {
		n.log.commit = meta.Index
	}
	return meta.Index <= n.log.commit
}

// startRestore passes a complete snapshot to the host once no Persist is in
// progress, so that the host's writes never overlap.
//
// Deferred append responses are dropped: the entries they acknowledge are neither
// synced nor kept. Deferred votes stay and are sent once the hard state is synced
// after the restore.
func (n *Node) startRestore() {
	r := &n.incomingSnapshot
	if !r.complete || r.restoreRequested || n.persist.inProgress {
		return
	}
	r.restoreRequested = true
	n.dropDeferredAppendResponses()
	n.emit(RestoreSnapshot{Meta: r.meta, Data: r.data})
}

func (n *Node) dropDeferredAppendResponses() {
	kept := n.persist.deferred[:0]
	for _, d := range n.persist.deferred {
		if d.message.Kind != pb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE {
			kept = append(kept, d)
		}
	}
	n.persist.deferred = kept
}

func (n *Node) onSnapshotRestored(e SnapshotRestored) {
	r := n.incomingSnapshot
	if !r.restoreRequested || e.Index != r.meta.Index {
		return
	}
	n.incomingSnapshot = snapshotReceiver{}
	n.snapshot, n.snapshotData, n.appliedBytes = r.meta, r.data, 0
	n.log.restore(r.meta.Index, r.meta.Term)
	n.persist.truncateFrom, n.persist.compactTo = 0, 0
	n.members = memberHistory{lists: []memberList{{
		index: r.meta.Index, membership: cloneMembership(r.meta.Membership),
	}}}
	n.onMembershipChanged()
	n.restartHandshake()
	n.markFormedIfListed(n.members.current())
	if wasRemoved(n.members.current(), n.identity) {
		n.onRemoved()
		return
	}
	if n.leader != 0 {
		n.sendAppendResponse(n.leader, n.log.commit)
	}
}
