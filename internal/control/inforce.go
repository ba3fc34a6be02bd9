package control

import (
	"log/slog"
	"slices"
	"time"
)

const (
	// maxPendingRevisions bounds the declarations that are followed to the entries at a time; the
	// oldest is dropped first.
	maxPendingRevisions = 16
	// pendingLogInterval is the time between two lines about a declaration that some entries lack.
	pendingLogInterval = time.Second
	// maxNamedEntries bounds the entries that such a line names.
	maxNamedEntries = 5
	// lateShare is the share of Config.InForceWithin after which a declaration counts as nearly late.
	lateShare = 2.0 / 3
)

// pendingRevision is a declaration that some entry in touch with the leader may not have yet.
type pendingRevision struct {
	revision uint64
	// since is when this leader applied it, or began to lead.
	since    time.Duration
	loggedAt time.Duration
}

// inForce follows declarations to the entries.
type inForce struct {
	newest  uint64
	pending []pendingRevision
	// lastEntry is the entry that last polled with a newer revision than before, at lastAt.
	lastEntry string
	lastAt    time.Duration
}

// entryHasRevision records the revision that a polling entry has.
func (f *inForce) entryHasRevision(now time.Duration, name string, before, revision uint64) {
	if revision > before {
		f.lastEntry, f.lastAt = name, now
	}
}

// followDeclarations logs for each declaration when the last entry in touch with this leader had
// it, and while some lack it, which.
func (r *Reducer) followDeclarations() {
	f := &r.lead.inForce
	if revision := r.state.Revision(); revision > f.newest {
		f.newest = revision
		f.pending = append(f.pending, pendingRevision{revision: revision, since: r.now, loggedAt: r.now})
		f.pending = f.pending[max(0, len(f.pending)-maxPendingRevisions):]
	}
	for len(f.pending) > 0 {
		p := &f.pending[0]
		lacking := r.entriesLacking(p.revision)
		if len(lacking) > 0 {
			r.logLacking(p, lacking)
			return
		}
		r.logInForce(p)
		f.pending = f.pending[1:]
	}
}

// logInForce logs when the last entry in touch had a declaration. It is a warning if less than a third of the time for it was left.
func (r *Reducer) logInForce(p *pendingRevision) {
	f, bound, level := &r.lead.inForce, r.cfg.InForceWithin, slog.LevelInfo
	after := max(0, f.lastAt-p.since)
	if bound > 0 && after > time.Duration(lateShare*float64(bound)) {
		level = slog.LevelWarn
	}
	r.log(level, "declaration in force at all entries", Field{"revision", p.revision},
		Field{"after_ms", after.Milliseconds()}, Field{"bound_ms", bound.Milliseconds()}, Field{"last_entry", f.lastEntry},
		Field{"entries", len(r.lead.entries)}, Field{"last_ms_ago", (r.now - f.lastAt).Milliseconds()})
}

// entriesLacking returns the names of the entries in touch with this leader that have an older
// declaration, in order.
func (r *Reducer) entriesLacking(revision uint64) []string {
	var names []string
	for name, t := range r.lead.entries {
		if t.revision < revision && r.now < t.leaseUntil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (r *Reducer) logLacking(p *pendingRevision, lacking []string) {
	if r.now < p.loggedAt+pendingLogInterval {
		return
	}
	p.loggedAt = r.now
	r.log(slog.LevelWarn, "declaration not in force at all entries", Field{"revision", p.revision},
		Field{"after_ms", (r.now - p.since).Milliseconds()}, Field{"entries", len(r.lead.entries)},
		Field{"lacking", len(lacking)}, Field{"names", lacking[:min(len(lacking), maxNamedEntries)]})
}
