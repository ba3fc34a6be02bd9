package entry

import (
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// prefixLog keeps the last prompt prefixes that servers have prefilled, numbered from 1.
type prefixLog struct {
	last    uint64
	entries []*pb.PartsRead
}

// prefixLogSize bounds the log to about a second of prompts that share long prefixes. A sum
// contains no more of them, so that an entry that asks for the first time costs its aggregator's
// link little more than others.
const prefixLogSize = 64

func (l *prefixLog) add(prefix *pb.PartsRead) {
	l.last++
	l.entries = append(l.entries, prefix)
	if len(l.entries) > 2*prefixLogSize {
		l.entries = slices.Clone(l.entries[len(l.entries)-prefixLogSize:])
	}
}

// since returns the kept prefixes from a number on, and the number after the last.
func (l *prefixLog) since(from uint64) ([]*pb.PartsRead, uint64) {
	count := min(uint64(len(l.entries)), prefixLogSize, l.last+1-min(from, l.last+1))
	return slices.Clone(l.entries[uint64(len(l.entries))-count:]), l.last + 1
}
