package runner

import (
	"fmt"
	"sync/atomic"

	"github.com/twitchtv/twirp"
)

// documentsAtOnce is how many of the largest documents may be under way at a time: each is held
// several times, as text, decoded, and in the log.
const documentsAtOnce = 2

// documentMemory bounds the documents of operators that are under way, by their size.
//
// Failure: documents arrive faster than they are committed, by many callers or again and again, and
// the process uses more memory than its VM has.
type documentMemory struct {
	// limit is the size of one document.
	limit    int
	reserved atomic.Int64
}

func (m *documentMemory) reserve(bytes int) (release func(), err error) {
	if bytes > m.limit {
		return nil, twirp.NewError(twirp.InvalidArgument,
			fmt.Sprintf("the document is too large: it has %d bytes, of %d that control's memory and disk allow", bytes, m.limit))
	}
	size := int64(bytes)
	if m.reserved.Add(size) > int64(documentsAtOnce*m.limit) {
		m.reserved.Add(-size)
		return nil, twirp.NewError(twirp.ResourceExhausted, "other documents are under way; try again")
	}
	return func() { m.reserved.Add(-size) }, nil
}
