package entry

import (
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// readLog keeps the last parts that servers have read, numbered from 1 on.
type readLog struct {
	last  uint64
	reads []*pb.PartsRead
}

// maxReadLog bounds it: about a second of prompts that share long parts. A sum holds no more,
// so that an entry that asks for the first time costs its aggregator's link little more than
// others.
const maxReadLog = 64

func (l *readLog) add(read *pb.PartsRead) {
	l.last++
	l.reads = append(l.reads, read)
	if len(l.reads) > 2*maxReadLog {
		l.reads = slices.Clone(l.reads[len(l.reads)-maxReadLog:])
	}
}

// since gives those from a number on that are still kept, and the number after the last.
func (l *readLog) since(from uint64) ([]*pb.PartsRead, uint64) {
	count := min(uint64(len(l.reads)), maxReadLog, l.last+1-min(from, l.last+1))
	return slices.Clone(l.reads[uint64(len(l.reads))-count:]), l.last + 1
}
