package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// revisionAskInterval is how often an entry whose lease has ended asks others for their
	// revision. The lease ends 1.5 s after a change at the latest, so that it asks three times
	// before the change has to be in force everywhere, 3 s after it was accepted.
	revisionAskInterval = 500 * time.Millisecond
	// revisionAsks is how many entries are asked each time, so that one which does not answer or
	// is cut off too delays the answer little.
	revisionAsks = 2
)

// peerRevisions is what an entry knows of the revisions that other entries have in force. It asks
// for them only while its lease on the view has ended.
//
// Without it, an entry that control alone can't reach would go on for as long as that lasts by a
// declaration that was replaced: requests would run where a route led before, and for members
// whose credential was revoked.
//
// A revision never goes back, so what an entry has had in force once is a lower bound of what is
// in force, however old the answer is.
type peerRevisions struct {
	// latest is the latest revision heard of, heardAt when it was first heard of.
	latest  uint64
	heardAt time.Duration
	// askedAt is when others were last asked, next the index of the one to ask next.
	askedAt time.Duration
	next    int
}

// askRevisions asks other entries for their revision while the lease has ended. All take turns, in
// an order of this entry's own.
func (r *Reducer) askRevisions() {
	p := &r.revisions
	if !r.stale() || r.now-p.askedAt < revisionAskInterval {
		return
	}
	p.askedAt = r.now
	peers := r.otherEntries()
	sortByHash(peers, r.cfg.Identity.GetName())
	for range min(revisionAsks, len(peers)) {
		r.emit(AskRevision{Address: peers[p.next%len(peers)].GetPeerAddress()})
		p.next++
	}
}

func (r *Reducer) revisionHeard(ev RevisionHeard) {
	p := &r.revisions
	if ev.Revision <= max(p.latest, r.view.revision) {
		return
	}
	p.latest, p.heardAt, r.dirty = ev.Revision, r.now, true
	r.emit(LogDecision{Kind: LogView, Reason: "another entry has a later revision in force", Figures: []Figure{
		{Name: "revision", Value: float64(r.view.revision)},
		{Name: "later_revision", Value: float64(ev.Revision)},
		{Name: "without_lease", Value: boolFigure(r.stale())},
	}})
	r.refuseOutdated()
}

// dropDisprovedRevision drops a later revision that control did not have when it was asked after
// it had been heard of. It belongs to an earlier deployment under the same name, and would
// otherwise count against this one whenever control is away.
func (r *Reducer) dropDisprovedRevision(controlAskedAt time.Duration) {
	if r.superseded() && controlAskedAt > r.revisions.heardAt {
		r.revisions.latest, r.dirty = 0, true
	}
}

// superseded reports whether another entry has a later revision in force.
func (r *Reducer) superseded() bool { return r.revisions.latest > r.view.revision }

// outdated reports whether this entry knows that its declaration is no longer in force. With a
// lease, the later revision is about to arrive, and there is still time for it.
func (r *Reducer) outdated() bool { return r.stale() && r.superseded() }

// refuseOutdated refuses the requests that wait for their first server while the declaration that
// they were accepted by is outdated. Those that a server may have begun go on.
func (r *Reducer) refuseOutdated() {
	if !r.outdated() || r.decisions.queue.Len() == 0 && len(r.held) == 0 {
		return
	}
	for _, id := range sortedKeys(r.requests) {
		if q := r.requests[id]; !q.begun() {
			r.refuse(q, outcome.OutdatedView())
		}
	}
}

// begun reports whether the request was dispatched before, here or at another entry.
func (q *request) begun() bool { return q.attempts > 0 || q.mayHaveRun || q.work.Resumed }
