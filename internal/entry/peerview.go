package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// peerViewInterval is the time between two questions for another entry's view while the lease is
// about to end or has ended.
const peerViewInterval = 200 * time.Millisecond

// peerViews chooses the entries that are asked for their views.
//
// All of control can end just after it has confirmed a change that this entry does not have yet.
// Nothing that control could still do tells of it, but other entries have the change.
type peerViews struct {
	askedAt time.Duration
	// asked counts the questions.
	asked int
}

// requestPeerView asks another entry for its view while control does not renew the lease.
func (r *Reducer) requestPeerView() {
	p := &r.peerViews
	if r.view.version == 0 || !r.leaseExpiring() || r.now < p.askedAt+peerViewInterval {
		return
	}
	address := r.nextPeerForView()
	if address == "" {
		return
	}
	p.askedAt = r.now
	r.emit(RequestView{Address: address, KnownVersion: r.view.version})
}

// nextPeerForView returns the address of the next entry to ask, empty if there is none. Each entry
// has its turn, but not in order of name: those that restart or miss a change together are often
// neighbours in it.
func (r *Reducer) nextPeerForView() string {
	entries, own := r.view.sortedEntries(), 0
	for i, e := range entries {
		if e.info.Identity.Name == r.cfg.Identity.GetName() {
			own = i
		}
	}
	stride := strideThrough(len(entries))
	for range entries {
		r.peerViews.asked++
		id := entries[(own+r.peerViews.asked*stride)%len(entries)].info.Identity
		if id.Name != r.cfg.Identity.GetName() && id.PeerAddress != "" {
			return id.PeerAddress
		}
	}
	return ""
}

// strideThrough returns a step of about two fifths of n that visits each of n places in n steps.
func strideThrough(n int) int {
	stride := max(1, n*2/5)
	for gcd(stride, n) > 1 {
		stride++
	}
	return stride
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// viewRequested answers another entry's question with the whole view if that entry's is older.
func (r *Reducer) viewRequested(ev ViewRequested) {
	if ev.Request.GetClusterId() != r.cfg.Cluster || ev.Request.GetKnownVersion() >= r.view.version {
		r.emit(AnswerView{Key: ev.Key})
		return
	}
	r.emit(AnswerView{Key: ev.Key, View: r.unleasedView()})
}

// unleasedView returns the whole view without a lease. Its parts are shared and must not be
// modified.
func (r *Reducer) unleasedView() *pb.WatchResponse {
	v := &r.view
	resp := &pb.WatchResponse{
		Version: v.version, Revision: v.revision, Full: true, Objects: sortedObjects(v.objects), Control: v.control,
	}
	for _, s := range r.servers.sorted {
		resp.Servers = append(resp.Servers, s.pb)
	}
	for _, e := range v.sortedEntries() {
		resp.Entries = append(resp.Entries, e.info)
	}
	for _, q := range slices.SortedFunc(maps.Keys(v.quarantine), compareQuarantineKeys) {
		resp.Quarantine = append(resp.Quarantine, q.proto())
	}
	return resp
}

func compareQuarantineKeys(a, b quarantineKey) int {
	return cmp.Or(cmp.Compare(a.member, b.member), cmp.Compare(a.fingerprint, b.fingerprint), boolOrder(a.part)-boolOrder(b.part))
}

func boolOrder(b bool) int { return int(boolFigure(b)) }
