package consensus

import (
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// entryLog is the log in memory: the entries after base, and how far they are
// synced, committed and applied.
//
// Invariants: baseIndex <= applied <= commit <= lastIndex; applied <= stable;
// entries[i].Index == baseIndex+1+i. Entries up to commit never change.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []*pb.LogEntry
	// bytes is the encoded size of entries.
	bytes int
	// stable is the last index known to be synced.
	stable  uint64
	commit  uint64
	applied uint64
}

// newEntryLog rebuilds the log after a restart. With a snapshot, a first entry at
// or before the snapshot's index becomes the base, since the term of its
// predecessor is unknown.
func newEntryLog(init InitialState) *entryLog {
	l := &entryLog{entries: init.Entries}
	if snap := init.Snapshot; snap != nil {
		l.baseIndex, l.baseTerm = snap.Index, snap.Term
		l.commit, l.applied = snap.Index, snap.Index
		if len(l.entries) > 0 && l.entries[0].Index <= snap.Index {
			l.baseIndex, l.baseTerm = l.entries[0].Index, l.entries[0].Term
			l.entries = l.entries[1:]
		}
	}
	l.bytes = sizeOf(l.entries)
	l.stable = l.lastIndex()
	if init.HardState != nil {
		l.commit = max(l.commit, min(init.HardState.Commit, l.lastIndex()))
	}
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term at index; false if it is compacted or beyond the end.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entry(index).Term, true
}

// entry returns the entry at index, which must lie after base.
func (l *entryLog) entry(index uint64) *pb.LogEntry { return l.entries[index-l.baseIndex-1] }

// matches reports whether the log has an entry of that index and term.
func (l *entryLog) matches(index, term uint64) bool {
	localTerm, ok := l.term(index)
	return ok && localTerm == term
}

// upToDate reports whether a log that ends at index and term is at least as
// complete as this one. This check of Raft keeps committed entries across
// elections.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// slice returns the entries from first to last, limited to maxBytes but at least
// one.
func (l *entryLog) slice(first, last uint64, maxBytes int) []*pb.LogEntry {
	if first > last {
		return nil
	}
	all := l.entries[first-l.baseIndex-1 : last-l.baseIndex]
	size := 0
	for i, e := range all {
		size += entryBytes(e)
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// truncate drops the entries from index on. It panics on a committed entry: an
// append that would replace one comes from a leader that lacks a committed entry,
// which the election rule excludes.
func (l *entryLog) truncate(from uint64) {
	if from <= l.commit {
		panic("consensus: a committed entry would be overwritten")
	}
	kept := from - l.baseIndex - 1
	l.bytes -= sizeOf(l.entries[kept:])
	l.entries = l.entries[:kept:kept]
	l.stable = min(l.stable, from-1)
}

func (l *entryLog) append(entries ...*pb.LogEntry) {
	l.entries = append(l.entries, entries...)
	l.bytes += sizeOf(entries)
}

// compact makes index the base. The entry at index must be applied.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex || index > l.applied {
		return
	}
	term, _ := l.term(index)
	dropped := index - l.baseIndex
	l.bytes -= sizeOf(l.entries[:dropped])
	kept := make([]*pb.LogEntry, 0, l.lastIndex()-index)
	l.entries = append(kept, l.entries[dropped:]...)
	l.baseIndex, l.baseTerm = index, term
}

// trailingBase returns the lowest base that keeps at most that many entries, and bytes of them, up
// to index.
func (l *entryLog) trailingBase(index, maxEntries uint64, maxBytes int) uint64 {
	base, bytes := index, 0
	for base > l.baseIndex && index-base < maxEntries {
		bytes += entryBytes(l.entry(base))
		if bytes > maxBytes {
			break
		}
		base--
	}
	return base
}

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term, stable: index, commit: index, applied: index}
}

// conflictHint finds where this log may first agree with one whose entry at index
// has the given term: the last index at or before index whose term here is at most
// term. It relies on terms never decreasing along a log.
func (l *entryLog) conflictHint(index, term uint64) (uint64, uint64) {
	for index = min(index, l.lastIndex()); ; index-- {
		localTerm, ok := l.term(index)
		if !ok || localTerm <= term {
			return index, localTerm
		}
	}
}

// entryBytes is an entry's encoded size.
func entryBytes(e *pb.LogEntry) int { return proto.Size(e) }

// sizeOf is the encoded size of entries together.
func sizeOf(entries []*pb.LogEntry) int {
	total := 0
	for _, e := range entries {
		total += entryBytes(e)
	}
	return total
}
