package control

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// loadChangeThreshold is how much an entry's load must change before the view is
	// updated: callers' weights need no finer value, and each update is sent to all
	// entries.
	loadChangeThreshold = 0.2
	// maxHeldWatches bounds the held calls. Each entry has one, and a second one while it
	// reconnects.
	maxHeldWatches = 4096
	// roundTimePerEntry is the minimum interval between two rounds of view updates, per
	// entry, so that rounds leave the leader at least half of its time.
	roundTimePerEntry = time.Millisecond
	// maxRoundInterval bounds the interval between rounds; it is well below an entry's view
	// lease.
	maxRoundInterval = 300 * time.Millisecond
	// minEntriesForRounds is the number of entries from which view updates are sent in
	// rounds: with fewer entries a round interval would be shorter than a tick.
	minEntriesForRounds = 50
)

// heldWatch is a Watch call that waits for a change of the view.
type heldWatch struct {
	callID       uint64
	entry        string
	knownVersion uint64
	answerBy     time.Duration
}

// onWatch renews the entry's lease and answers once the view changes or the hold time ends.
func (r *Reducer) onWatch(id uint64, req *pb.WatchRequest) {
	name := req.GetEntry().GetName()
	if name == "" || req.GetEntry().GetIncarnation() == "" {
		r.reply(id, nil, invalid("the entry's name or incarnation is missing"))
		return
	}
	t := r.lead.entries[name]
	if t == nil {
		t = &trackedEntry{}
		r.lead.entries[name] = t
	}
	if slices.Contains(t.pastIncarnations, req.GetEntry().GetIncarnation()) {
		r.reply(id, nil, invalid("a newer life of this entry is known"))
		return
	}
	r.renewEntry(t, req)
	if req.GetKnownVersion() == 0 {
		r.answerFirstView(&heldWatch{callID: id, entry: name})
		return
	}
	if len(r.lead.watches) >= maxHeldWatches {
		r.reply(id, nil, r.notLeader())
		return
	}
	hold := min(watchHold, time.Duration(req.GetHoldMs())*time.Millisecond)
	r.lead.watches = append(r.lead.watches, &heldWatch{
		callID: id, entry: name, knownVersion: req.GetKnownVersion(), answerBy: r.now + hold,
	})
}

// renewEntry records what an entry reports about itself. Only properties that other entries
// need are replicated.
func (r *Reducer) renewEntry(t *trackedEntry, req *pb.WatchRequest) {
	if t.incarnation != "" && t.incarnation != req.GetEntry().GetIncarnation() {
		t.pastIncarnations = appendIncarnation(t.pastIncarnations, t.incarnation)
		t.knownVersion = 0
	}
	t.incarnation = req.GetEntry().GetIncarnation()
	t.leaseUntil = r.now + entryLease
	r.lead.inForce.entryHasRevision(r.now, req.GetEntry().GetName(), t.revision, req.GetRevision())
	t.knownVersion, t.revision = req.GetKnownVersion(), req.GetRevision()
	r.lead.lastContactAt = r.now
	info := &pb.EntryInfo{
		Identity: req.GetEntry(), Leaving: req.GetLeaving() || r.isLeavingEntry(req.GetEntry()),
		Load: roundLoad(req.GetLoad()), CutOff: req.GetCutOff(),
	}
	if t.proposed != nil || !r.entryChanged(info) {
		return
	}
	t.proposed = info
	cmd := &pb.Command{Op: &pb.Command_Entry{Entry: &pb.EntryUpdate{Entries: []*pb.EntryInfo{info}}}}
	r.propose(cmd, func(proto.Message, bool) {
		if r.lead != nil && t.proposed == info {
			t.proposed = nil
		}
	})
	r.log(slog.LevelInfo, "entry changed", Field{"entry", info.GetIdentity().GetName()},
		Field{"incarnation", incarnationOf(info)}, Field{"leaving", info.GetLeaving()}, Field{"cut_off", info.GetCutOff()}, Field{"load", info.GetLoad()})
}

// isLeavingEntry reports whether that incarnation of the entry has said that it stops. That is
// final: a call that it sent before and that arrives late must not send callers to it again.
func (r *Reducer) isLeavingEntry(id *pb.EntryIdentity) bool {
	known := r.state.entries[id.GetName()]
	return known != nil && known.info.GetLeaving() && incarnationOf(known.info) == id.GetIncarnation()
}

func (r *Reducer) entryChanged(info *pb.EntryInfo) bool {
	known := r.state.entries[info.GetIdentity().GetName()]
	if known == nil || known.info.GetLeaving() != info.GetLeaving() || known.info.GetCutOff() != info.GetCutOff() {
		return true
	}
	if math.Abs(known.info.GetLoad()-info.GetLoad()) >= loadChangeThreshold {
		return true
	}
	return !proto.Equal(known.info.GetIdentity(), info.GetIdentity())
}

// roundLoad rounds to one decimal place, the precision of loads in the log.
func roundLoad(load float64) float64 {
	if math.IsNaN(load) {
		return 0
	}
	return math.Round(min(max(load, 0), 1)*10) / 10
}

// answerFirstView answers an entry that has no view yet.
//
// Failure: an entry starts and asks a leader that has been replaced without knowing it, and
// gets an older declaration than one that was accepted. The answer waits until a quorum has
// confirmed, after the request arrived, that this replica leads.
func (r *Reducer) answerFirstView(w *heldWatch) {
	r.read(func(ok bool) {
		if !ok || r.lead == nil {
			r.reply(w.callID, nil, r.notLeader())
			return
		}
		r.answerWatch(w)
	})
}

// answerWatches answers the held calls that lack the present view, in rounds if there are
// many entries.
//
// Failure: hundreds of entries start at once, after a power loss or when control recovers.
// Each start changes the view, and if each change answered the calls of all other entries,
// the number of answers would be the square of the number of entries. The leader would then
// be too busy for seconds to send first views, while callers wait at entries without one.
func (r *Reducer) answerWatches() {
	if r.now < r.lead.lastRoundAt+roundInterval(len(r.lead.entries)) {
		return
	}
	held := len(r.lead.watches)
	r.lead.watches = slices.DeleteFunc(r.lead.watches, func(w *heldWatch) bool {
		if w.knownVersion == r.state.ViewVersion() {
			return false
		}
		r.answerWatch(w)
		return true
	})
	if answered := held - len(r.lead.watches); answered > 0 {
		r.lead.lastRoundAt = r.now
		r.logRound(answered, held)
	}
}

// logRound logs a round of view updates to many entries.
func (r *Reducer) logRound(answered, held int) {
	if answered < minEntriesForRounds {
		return
	}
	r.log(slog.LevelInfo, "news", Field{"version", r.state.ViewVersion()}, Field{"revision", r.state.Revision()},
		Field{"told", answered}, Field{"held", held})
}

// roundInterval is the minimum interval between two rounds of view updates. It depends on
// the entries that may poll, not on the held calls, of which there are hardly any just
// after a round.
func roundInterval(entries int) time.Duration {
	if entries < minEntriesForRounds {
		return 0
	}
	return min(maxRoundInterval, time.Duration(entries)*roundTimePerEntry)
}

// answerExpiredWatches answers the held calls whose hold time has ended.
func (r *Reducer) answerExpiredWatches() {
	r.lead.watches = slices.DeleteFunc(r.lead.watches, func(w *heldWatch) bool {
		if r.now < w.answerBy {
			return false
		}
		r.answerWatch(w)
		return true
	})
}

// answerWatch answers with the view and its lease. A leader without a valid quorum lease
// must not lease a view: another replica may lead and have changed it.
func (r *Reducer) answerWatch(w *heldWatch) {
	if !r.hasQuorumLease() {
		r.reply(w.callID, nil, r.notLeader())
		return
	}
	resp := r.lead.views.get(r.state, w.knownVersion, r.controlAddresses(), viewLease)
	if e := r.lead.entries[w.entry]; e != nil {
		e.viewUntil = r.now + viewLease
	}
	r.reply(w.callID, resp, nil)
}

// answerWithoutLease answers a Watch at a replica that does not lead: with what it has applied,
// if that is newer than what the entry has. What is applied is committed, so the entry may act on
// it, but it may still have missed something.
//
// Failure: the leader's answers are slow or it ends right after it has confirmed a change. Entries
// that hear of changes from the leader alone go on with routes that were dropped or have moved.
func (r *Reducer) answerWithoutLease(callID, knownVersion uint64) {
	if knownVersion == 0 || knownVersion >= r.state.ViewVersion() {
		r.reply(callID, nil, r.notLeader())
		return
	}
	r.reply(callID, r.unleasedViews.get(r.state, knownVersion, r.controlAddresses(), 0), nil)
}

func (r *Reducer) controlAddresses() []string {
	var list []string
	for _, m := range r.members.GetMembers() {
		list = append(list, m.GetAddress())
	}
	return list
}

// appliedByAllEntries reports whether every entry that may use a view has at least this
// version. An entry whose view lease has expired sends no new requests.
func (r *Reducer) appliedByAllEntries(version uint64) bool {
	for _, t := range r.lead.entries {
		if t.knownVersion < version && r.now < t.viewUntil {
			return false
		}
	}
	return true
}

func (r *Reducer) onCallCanceled(id uint64) {
	if r.lead == nil {
		return
	}
	r.lead.watches = slices.DeleteFunc(r.lead.watches, func(w *heldWatch) bool { return w.callID == id })
}
