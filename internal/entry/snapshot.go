package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// Snapshot is the state that traffic goroutines may read. It is immutable.
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
	// ViewFrom is the address of the control replica that sent this version of the view.
	ViewFrom string
	// Drained holds the backend servers that operators have drained.
	Drained map[string]bool
	// Servers is the number of backend servers in the view, Builds counts them by the build of their
	// software.
	Servers int
	Builds  []Build
	// UnavailableUntil tells until when server incarnations accept no requests, in time since
	// boot.
	UnavailableUntil map[string]time.Duration
	// Control lists the control replicas of the view.
	Control []string
	// Leaving is set while the entry stops as planned; Stop says what it still does then.
	Leaving bool
	Stop    StopPlan
	// Aggregator is the address of the entry that is asked for the sum of all other entries'
	// backlogs before a server is chosen, empty for none.
	Aggregator string
	// AskAggregatorFrom is when it may be asked, in time since boot.
	AskAggregatorFrom time.Duration
	// LeaseExpiring is set if the view's lease has ended or is about to end. Other entries are
	// then asked which servers are alive.
	LeaseExpiring bool
	// CutOff has the pools, by model or plain service, of which no server answers this entry.
	// Isolated is set if those are all pools.
	CutOff   map[string]bool
	Isolated bool
	// Load is the fraction of this entry's streams that is in use.
	Load float64
}

// AcceptsRequests reports whether a server incarnation accepts requests at that time.
func (s *Snapshot) AcceptsRequests(incarnation string, now time.Duration) bool {
	return now >= s.UnavailableUntil[incarnation]
}

// Ready reports whether the entry has a declaration to serve by.
func (s *Snapshot) Ready() bool { return s.Declaration != nil }
