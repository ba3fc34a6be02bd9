package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Snapshot is what the traffic goroutines may read. It is never changed.
type Snapshot struct {
	Declaration *declaration.Declaration
	// Members maps the hash of a credential to its member.
	Members map[string]*declaration.Member
	// Entries are the entries of the view, in order of name.
	Entries     []*pb.EntryInfo
	ViewVersion uint64
	// LeaseUntil is when the view stops to count, since boot.
	LeaseUntil time.Duration
	Leaving    bool
}
