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
	// loadStep is how much an entry's load must have changed for the view to
	// tell: callers' weights need no finer figure, and each step is a change
	// that goes to all entries.
	loadStep = 0.2
	// maxHeldWatches bounds held calls; each entry has one, and one more while
	// it connects again.
	maxHeldWatches = 4096
	// newsTime is the least time between two rounds of news for each entry that a round
	// answers, so that rounds leave the leader half of its time or more.
	newsTime = time.Millisecond
	// maxNewsPace bounds it, well within an entry's lease on its view.
	maxNewsPace = 300 * time.Millisecond
	// manyWatches is from how many entries on news go in rounds: for fewer they would be
	// shorter than a tick.
	manyWatches = 50
)

// heldWatch is a Watch that waits for news.
type heldWatch struct {
	callID uint64
	entry  string
	known  uint64
	until  time.Duration
}

// onWatch renews the entry's lease and answers with news now or later.
func (r *Reducer) onWatch(id uint64, req *pb.WatchRequest) {
	name := req.GetEntry().GetName()
	if name == "" || req.GetEntry().GetIncarnation() == "" {
		r.reply(id, nil, invalid("the entry's name or incarnation is missing"))
		return
	}
	w := r.lead.entries[name]
	if w == nil {
		w = &entryWatch{}
		r.lead.entries[name] = w
	}
	if slices.Contains(w.past, req.GetEntry().GetIncarnation()) {
		r.reply(id, nil, invalid("a newer life of this entry is known"))
		return
	}
	r.renewEntry(w, req)
	if req.GetKnownVersion() == 0 {
		r.firstView(&heldWatch{callID: id, entry: name})
		return
	}
	if len(r.lead.watches) >= maxHeldWatches {
		r.reply(id, nil, r.notLeader())
		return
	}
	hold := min(watchHold, time.Duration(req.GetHoldMs())*time.Millisecond)
	r.lead.watches = append(r.lead.watches, &heldWatch{
		callID: id, entry: name, known: req.GetKnownVersion(), until: r.now + hold,
	})
}

// renewEntry takes over what an entry says of itself; only what the others must
// know goes through the log.
func (r *Reducer) renewEntry(w *entryWatch, req *pb.WatchRequest) {
	if w.incarnation != "" && w.incarnation != req.GetEntry().GetIncarnation() {
		w.past = append(w.past, w.incarnation)
		w.past = w.past[max(0, len(w.past)-maxPastIncarnations):]
		w.known = 0
	}
	w.incarnation = req.GetEntry().GetIncarnation()
	w.until = r.now + entryLease
	w.known, w.revision = req.GetKnownVersion(), req.GetRevision()
	r.lead.heardAt = r.now
	info := &pb.EntryInfo{
		Identity: req.GetEntry(), Leaving: req.GetLeaving(), Load: roundLoad(req.GetLoad()),
	}
	if w.proposed != nil || !r.entryChanged(info) {
		return
	}
	w.proposed = info
	cmd := &pb.Command{Op: &pb.Command_Entry{Entry: &pb.EntryUpdate{Entries: []*pb.EntryInfo{info}}}}
	r.propose(cmd, func(proto.Message, bool) {
		if r.lead != nil && w.proposed == info {
			w.proposed = nil
		}
	})
	r.log(slog.LevelInfo, "entry changed", Field{"entry", info.GetIdentity().GetName()},
		Field{"incarnation", incarnationOf(info)}, Field{"leaving", info.GetLeaving()}, Field{"load", info.GetLoad()})
}

func (r *Reducer) entryChanged(info *pb.EntryInfo) bool {
	known := r.state.entries[info.GetIdentity().GetName()]
	if known == nil || known.info.GetLeaving() != info.GetLeaving() {
		return true
	}
	if math.Abs(known.info.GetLoad()-info.GetLoad()) >= loadStep {
		return true
	}
	return !proto.Equal(known.info.GetIdentity(), info.GetIdentity())
}

// roundLoad keeps one digit: the log holds no finer load.
func roundLoad(load float64) float64 {
	if math.IsNaN(load) {
		return 0
	}
	return math.Round(min(max(load, 0), 1)*10) / 10
}

// firstView answers an entry that knows nothing.
//
// Failure: an entry starts while the leader it finds has been replaced without
// knowing it, and gets an older declaration than one that was accepted. The
// answer waits until a quorum has confirmed, after the request came, that this
// replica leads.
func (r *Reducer) firstView(w *heldWatch) {
	r.read(func(ok bool) {
		if !ok || r.lead == nil {
			r.reply(w.callID, nil, r.notLeader())
			return
		}
		r.answerWatch(w)
	})
}

// answerWatches answers the held calls that the view has news for, in rounds where there
// are many calls.
//
// Failure: hundreds of entries start at once, after a power loss or when control comes back.
// Each is a change of the view, and each change answered the calls of all the others: as many
// answers as entries squared, which kept the leader from giving the first views for seconds
// while callers waited at entries without one.
func (r *Reducer) answerWatches() {
	if r.now < r.lead.newsAt+newsPace(len(r.lead.entries)) {
		return
	}
	held := len(r.lead.watches)
	r.lead.watches = slices.DeleteFunc(r.lead.watches, func(w *heldWatch) bool {
		if w.known == r.state.ViewVersion() {
			return false
		}
		r.answerWatch(w)
		return true
	})
	if told := held - len(r.lead.watches); told > 0 {
		r.lead.newsAt = r.now
		r.logNews(told, held)
	}
}

// logNews tells of a round of news to many entries.
func (r *Reducer) logNews(told, held int) {
	if told < manyWatches {
		return
	}
	r.log(slog.LevelInfo, "news", Field{"version", r.state.ViewVersion()}, Field{"revision", r.state.Revision()},
		Field{"told", told}, Field{"held", held})
}

// newsPace is the shortest time between two rounds of news to so many entries. Those are
// counted that may poll, not the calls that are held: just after a round there are hardly any.
func newsPace(entries int) time.Duration {
	if entries < manyWatches {
		return 0
	}
	return min(maxNewsPace, time.Duration(entries)*newsTime)
}

// releaseWatches answers the held calls whose time has passed.
func (r *Reducer) releaseWatches() {
	r.lead.watches = slices.DeleteFunc(r.lead.watches, func(w *heldWatch) bool {
		if r.now < w.until {
			return false
		}
		r.answerWatch(w)
		return true
	})
}

// answerWatch gives view and lease. A leader whose quorum lease has run out
// gives no lease on its view: another may lead and have changed it.
func (r *Reducer) answerWatch(w *heldWatch) {
	if !r.leased() {
		r.reply(w.callID, nil, r.notLeader())
		return
	}
	resp := r.lead.views.get(r.state, w.known, r.controlAddresses())
	if e := r.lead.entries[w.entry]; e != nil {
		e.viewUntil = r.now + viewLease
	}
	r.reply(w.callID, resp, nil)
}

func (r *Reducer) controlAddresses() []string {
	var list []string
	for _, m := range r.members.GetMembers() {
		list = append(list, m.GetAddress())
	}
	return list
}

// inForce tells whether every entry that may act on a view has the version in
// force. An entry whose view lease has run out sends no new work.
func (r *Reducer) inForce(version uint64) bool {
	for _, w := range r.lead.entries {
		if w.known < version && r.now < w.viewUntil {
			return false
		}
	}
	return true
}

func (r *Reducer) onCallGone(id uint64) {
	if r.lead == nil {
		return
	}
	r.lead.watches = slices.DeleteFunc(r.lead.watches, func(w *heldWatch) bool { return w.callID == id })
}
