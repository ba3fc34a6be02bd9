package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

type objectKey struct{ kind, name string }

// quarantineKey identifies a request by member and fingerprint, or a part of prompts, which belongs to no
// member.
type quarantineKey struct {
	member      string
	fingerprint uint64
	part        bool
}

func keyOf(q *pb.Quarantine) quarantineKey {
	return quarantineKey{q.GetMember(), q.GetFingerprint(), q.GetPart()}
}

func (k quarantineKey) proto() *pb.Quarantine {
	return &pb.Quarantine{Member: k.member, Fingerprint: k.fingerprint, Part: k.part}
}

// entryState is an entry of the view, and when its incarnation was first seen.
type entryState struct {
	info  *pb.EntryInfo
	since time.Duration
}

// view is the last state received from control.
type view struct {
	version    uint64
	revision   uint64
	leaseUntil time.Duration
	// confirmedAt is when the last request was sent that control answered.
	confirmedAt time.Duration
	// leasedBy is the address of the control replica that answered it, receivedFrom that of the one
	// that sent the version in force.
	leasedBy, receivedFrom string
	objects                map[objectKey]*pb.Object
	reader                 *declaration.Reader
	declaration            *declaration.Declaration
	members                map[string]*declaration.Member
	routes                 declaration.RouteTable
	// cacheTokens is the declared KV cache size of an engine, by model.
	cacheTokens map[string]uint64
	entries     map[string]*entryState
	quarantine  map[quarantineKey]bool
	// suspected are requests that ran on a server that crashed recently, and until when that
	// counts.
	suspected map[quarantineKey]time.Duration
	control   []string
}

func newView() view {
	return view{
		objects:    make(map[objectKey]*pb.Object),
		reader:     declaration.NewReader(),
		members:    make(map[string]*declaration.Member),
		entries:    make(map[string]*entryState),
		quarantine: make(map[quarantineKey]bool),
		suspected:  make(map[quarantineKey]time.Duration),
	}
}

// viewReceived applies a full view or a delta, and renews the lease. A view without a lease, of a
// replica that does not lead or of another entry, is committed but perhaps not the newest.
//
// Responses can arrive late, out of order, or from a control replica that lags behind. A delta
// against a version other than the current one, and anything older than the current view, is
// dropped together with its lease. Otherwise an accepted configuration would revert for a while.
func (r *Reducer) viewReceived(ev ViewReceived) {
	resp := ev.Response
	v := &r.view
	older := resp.Version < v.version || resp.Revision < v.revision
	gap := !resp.Full && resp.KnownVersion != v.version
	if older || gap {
		r.logView("dropped", ev)
		return
	}
	if resp.Version > v.version || resp.Full {
		if !r.applyView(ev) {
			return
		}
	}
	r.renewLease(ev)
	if len(resp.Quarantine) > 0 {
		for _, q := range resp.Quarantine {
			r.explainCrashes(keyOf(q))
		}
		r.refuseQuarantined()
	}
	r.dispatchWaiting()
}

// renewLease extends the lease by that of a leader's answer.
func (r *Reducer) renewLease(ev ViewReceived) {
	v, lease := &r.view, min(time.Duration(ev.Response.LeaseMs)*time.Millisecond, maxLease)
	if lease == 0 {
		return
	}
	v.confirmedAt = max(v.confirmedAt, ev.SentAt)
	if until := ev.SentAt + lease; until > v.leaseUntil {
		r.dirty = r.dirty || r.stale()
		v.leaseUntil, v.leasedBy = until, ev.From
	}
}

// applyView returns false if the declaration in the view can't be parsed. The current view then
// stays.
func (r *Reducer) applyView(ev ViewReceived) bool {
	v, resp := &r.view, ev.Response
	if resp.Full || len(resp.Objects) > 0 || len(resp.RemovedObjects) > 0 {
		objects := nextObjects(v.objects, resp)
		d, err := v.reader.Read(resp.Revision, sortedObjects(objects))
		if err != nil {
			r.logView("unreadable", ev)
			return false
		}
		v.setDeclaration(d, resp.Revision)
		v.objects = objects
	}
	r.applyEntries(resp)
	v.applyQuarantine(resp, r.now)
	for _, id := range r.servers.applyView(resp, r.now) {
		r.decisions.picker.Forget(id)
	}
	v.version, v.revision, v.receivedFrom = resp.Version, resp.Revision, ev.From
	if len(resp.Control) > 0 {
		v.control = resp.Control
	}
	r.dirty = true
	r.logView("applied", ev)
	return true
}

func nextObjects(old map[objectKey]*pb.Object, resp *pb.WatchResponse) map[objectKey]*pb.Object {
	next := make(map[objectKey]*pb.Object, len(old)+len(resp.Objects))
	if !resp.Full {
		for k, o := range old {
			next[k] = o
		}
	}
	for _, o := range resp.Objects {
		next[objectKey{o.Kind, o.Name}] = o
	}
	for _, ref := range resp.RemovedObjects {
		delete(next, objectKey{ref.Kind, ref.Name})
	}
	return next
}

func sortedObjects(objects map[objectKey]*pb.Object) []*pb.Object {
	list := make([]*pb.Object, 0, len(objects))
	for _, o := range objects {
		list = append(list, o)
	}
	declaration.SortObjects(list)
	return list
}

func (v *view) setDeclaration(d *declaration.Declaration, revision uint64) {
	if revision == 0 {
		return
	}
	members := make(map[string]*declaration.Member, len(d.Members))
	for i := range d.Members {
		for _, credential := range d.Members[i].Credentials() {
			members[credential] = &d.Members[i]
		}
	}
	v.cacheTokens = make(map[string]uint64)
	for _, s := range d.Services {
		v.cacheTokens[s.Model] = max(v.cacheTokens[s.Model], s.KVCacheTokens)
	}
	v.declaration, v.members, v.routes = d, members, declaration.NewRouteTable(d)
}

// applyEntries records since when each incarnation of an entry is known. Entries of the first
// full view count as known for long, since this entry itself is the new one.
func (r *Reducer) applyEntries(resp *pb.WatchResponse) {
	v := &r.view
	since := r.now
	if v.version == 0 {
		since = r.now - rampTime
	}
	old := v.entries
	if resp.Full {
		v.entries = make(map[string]*entryState, len(resp.Entries))
	}
	for _, info := range resp.Entries {
		if info.Identity == nil {
			continue
		}
		state := &entryState{info: info, since: since}
		known := old[info.Identity.Name]
		if known != nil && known.info.Identity.Incarnation == info.Identity.Incarnation {
			state.since = known.since
		}
		v.entries[info.Identity.Name] = state
	}
	for _, name := range resp.RemovedEntries {
		r.peers.reports.Forget(name)
		delete(v.entries, name)
	}
	r.updateGroups()
}

func (v *view) applyQuarantine(resp *pb.WatchResponse, now time.Duration) {
	if resp.Full {
		v.quarantine = make(map[quarantineKey]bool)
	}
	for _, q := range resp.Quarantine {
		v.quarantine[keyOf(q)] = true
	}
	maps.DeleteFunc(v.suspected, func(_ quarantineKey, until time.Duration) bool { return until <= now })
	for _, q := range resp.Suspects {
		v.suspected[keyOf(q)] = now + suspectDelayPeriod
	}
	for _, q := range resp.RemovedQuarantine {
		delete(v.quarantine, keyOf(q))
	}
}

// sortedEntries returns the entries in order of name.
func (v *view) sortedEntries() []*entryState {
	list := make([]*entryState, 0, len(v.entries))
	for _, e := range v.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entryState) int {
		return cmp.Compare(a.info.Identity.Name, b.info.Identity.Name)
	})
	return list
}

func (r *Reducer) logView(reason string, ev ViewReceived) {
	resp := ev.Response
	r.emit(LogDecision{Kind: LogView, Reason: reason, From: ev.From, Figures: []Figure{
		{Name: "version", Value: float64(resp.Version)},
		{Name: "known_version", Value: float64(resp.KnownVersion)},
		{Name: "in_force", Value: float64(r.view.version)},
		{Name: "revision", Value: float64(resp.Revision)},
		{Name: "servers", Value: float64(len(resp.Servers))},
		{Name: "entries", Value: float64(len(resp.Entries))},
		{Name: "objects", Value: float64(len(resp.Objects))},
		{Name: "leased", Value: boolFigure(resp.LeaseMs > 0)},
		{Name: "asked_ms_ago", Value: float64((r.now - ev.SentAt).Milliseconds())},
	}})
}
