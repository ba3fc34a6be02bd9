package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// Snapshot is what the traffic goroutines may read. It is never changed.
type Snapshot struct {
	Declaration *declaration.Declaration
	// Members maps the hash of a credential to its member.
	Members map[string]*declaration.Member
	// Routes are the declaration's host routes.
	Routes declaration.RouteTable
	// Entries are the entries of the view, in order of name.
	Entries     []EntryWeight
	ViewVersion uint64
	Revision    uint64
	// Drained holds the backend servers that operators drained.
	Drained map[string]bool
	// Servers is how many backend servers the view names.
	Servers int
	// UnavailableUntil has until when lives of servers that were sent to want nothing, since boot.
	UnavailableUntil map[string]time.Duration
	// Control lists the control replicas that the view names.
	Control []string
	Leaving bool
	// Aggregator is the address of the entry that is asked for the sum of all others'
	// backlogs before a server is chosen; empty for none.
	Aggregator string
	// AskAggregatorFrom is when it may be asked, since boot.
	AskAggregatorFrom time.Duration
	// LeaseExpiring tells that control's word has run out or soon will: other entries are asked
	// then which servers live.
	LeaseExpiring bool
	// Load is the share of this entry's streams that is in use.
	Load float64
}

// AcceptsRequests tells whether a life of a server wants requests at that time.
func (s *Snapshot) AcceptsRequests(life string, now time.Duration) bool {
	return now >= s.UnavailableUntil[life]
}

// Ready tells whether the entry has a declaration to serve by.
func (s *Snapshot) Ready() bool { return s.Declaration != nil }
