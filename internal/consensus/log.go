package consensus

import (
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// entryLog is the log in memory: entries after base, how far they are synced,
// committed and applied.
//
// Invariants: baseIndex <= applied <= commit <= lastIndex; applied <= stable;
// entries[i].Index == baseIndex+1+i. Entries up to commit never change.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []*pb.LogEntry
	// stable is the last index known to be synced.
	stable  uint64
	commit  uint64
	applied uint64
}

// newEntryLog rebuilds the log after a restart. With a snapshot, the first entry
// at or before its index becomes the base, since its predecessor's term is gone.
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

// term gives the term at index; false if it is compacted away or not there yet.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entry(index).Term, true
}

// entry gives the entry at index, which must lie after base.
func (l *entryLog) entry(index uint64) *pb.LogEntry { return l.entries[index-l.baseIndex-1] }

// matches tells whether the log has an entry of that index and term.
func (l *entryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// upToDate tells whether a log that ends at index and term is at least as
// complete as this one: the check that keeps committed entries through elections.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// slice gives entries from first on, up to last and about maxBytes, at least one.
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

// truncate drops the entries from index on. Committed entries are never dropped:
// an append that would do so comes from a leader that lacks a committed entry,
// which the election rule excludes.
func (l *entryLog) truncate(from uint64) {
	if from <= l.commit {
		panic("consensus: a committed entry would be overwritten")
	}
	kept := from - l.baseIndex - 1
	l.entries = l.entries[:kept:kept]
	l.stable = min(l.stable, from-1)
}

func (l *entryLog) append(entries ...*pb.LogEntry) { l.entries = append(l.entries, entries...) }

// compact makes index the base. It must be applied.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex || index > l.applied {
		return
	}
	term, _ := l.term(index)
	kept := make([]*pb.LogEntry, 0, l.lastIndex()-index)
	l.entries = append(kept, l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term, stable: index, commit: index, applied: index}
}

// hintBelow finds where a log whose entry at index has the given term, and terms
// never grow backwards, may first agree with this one: the last index at most
// index whose term here is at most term.
func (l *entryLog) hintBelow(index, term uint64) (uint64, uint64) {
	for index = min(index, l.lastIndex()); ; index-- {
		own, ok := l.term(index)
		if !ok || own <= term {
			return index, own
		}
	}
}

// entryBytes is an entry's size on the wire.
func entryBytes(e *pb.LogEntry) int { return proto.Size(e) }
