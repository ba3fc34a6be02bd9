package entry

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// NoticeTimeout bounds how long a suspect waits until the other entries know of it. They answer
	// within some milliseconds, on a busy machine within some hundred.
	NoticeTimeout = 500 * time.Millisecond
	// noticeAvoidance is for how long an entry is not waited for that left a notice unanswered.
	noticeAvoidance = 5 * time.Second
)

// notices are what this entry tells the other entries about requests that ran on servers that crashed.
//
// Control tells them too, but once it has written it to disk, or not at all while it has no leader. A
// request whose caller repeats it at another entry would crash one more server there. So neither its
// next attempt nor its final answer leaves this entry before the others know of its last crash.
type notices struct {
	// deaths, alive and cleared are those of this step.
	deaths  []*pb.ServerDeath
	alive   []*pb.ServerDeath
	cleared []*pb.Quarantine
	// unanswered are the notices that entries have not answered, by id.
	unanswered map[uint64]*notice
	lastID     uint64
	// avoidUntil tells until when entries are not waited for, by address.
	avoidUntil map[string]time.Duration
	// ends are the requests that have a pendingEnd.
	ends []*request
}

// notice is a notice on its way.
type notice struct {
	keys    map[quarantineKey]bool
	waiting map[string]bool
	until   time.Duration
}

// pendingEnd is the end of an attempt that is acted on once the other entries know of its crash.
type pendingEnd struct {
	server *server
	event  AttemptEnded
	since  time.Duration
}

func newNotices() notices {
	return notices{unanswered: make(map[uint64]*notice), avoidUntil: make(map[string]time.Duration)}
}

// addSuspect adds a request that ran on a server that crashed to the notice of this step.
func (n *notices) addSuspect(d *pb.ServerDeath, q *pb.Quarantine) {
	if last := len(n.deaths) - 1; last < 0 || deathKeyOf(n.deaths[last]) != deathKeyOf(d) {
		n.deaths = append(n.deaths, &pb.ServerDeath{Server: d.GetServer(), Incarnation: d.GetIncarnation()})
	}
	death := n.deaths[len(n.deaths)-1]
	death.Suspects = append(death.Suspects, q)
}

// sendNotice sends the notice of this step, if there is one.
func (r *Reducer) sendNotice() {
	n := &r.notices
	if len(n.deaths)+len(n.alive)+len(n.cleared) == 0 {
		return
	}
	content := &pb.SuspectNotice{
		ClusterId: r.cfg.Cluster, Entry: r.cfg.Identity.GetName(), Deaths: n.deaths, Alive: n.alive, Cleared: n.cleared,
		Forward: r.peers.group.formed,
	}
	n.deaths, n.alive, n.cleared = nil, nil, nil
	addresses := r.noticeTargets()
	if len(addresses) == 0 {
		return
	}
	n.lastID++
	sent := &notice{keys: suspectKeys(content.Deaths), waiting: make(map[string]bool), until: r.now + NoticeTimeout}
	for _, address := range addresses {
		if r.now >= n.avoidUntil[address] {
			sent.waiting[address] = true
		}
	}
	if len(sent.waiting) > 0 {
		n.unanswered[n.lastID] = sent
	}
	r.emit(NotifySuspects{ID: n.lastID, Addresses: addresses, Notice: content})
	if r.peers.group.isAggregator {
		r.forwardNotice(content)
	}
}

func suspectKeys(deaths []*pb.ServerDeath) map[quarantineKey]bool {
	keys := make(map[quarantineKey]bool)
	for _, d := range deaths {
		for _, q := range d.GetSuspects() {
			keys[keyOf(q)] = true
		}
	}
	return keys
}

// noticeTargets returns the entries that get this entry's notices: all others or, in groups, the
// aggregators, each of which forwards them to its part of the entries.
func (r *Reducer) noticeTargets() []string {
	if r.peers.group.formed {
		return r.peers.group.otherAggregators
	}
	return r.peerAddresses()
}

// forwardNotice passes a notice on to this aggregator's part of the entries that are none.
func (r *Reducer) forwardNotice(notice *pb.SuspectNotice) {
	g := &r.peers.group
	own := slices.Index(g.allAggregators, g.ownName)
	var addresses []string
	members := 0
	for _, e := range r.view.sortedEntries() {
		id := e.info.GetIdentity()
		if g.aggregators[id.GetName()] || id.GetPeerAddress() == "" {
			continue
		}
		if members%len(g.allAggregators) == own && id.GetName() != notice.GetEntry() {
			addresses = append(addresses, id.GetPeerAddress())
		}
		members++
	}
	if len(addresses) == 0 {
		return
	}
	r.emit(NotifySuspects{Addresses: addresses, Notice: &pb.SuspectNotice{
		ClusterId: notice.GetClusterId(), Entry: notice.GetEntry(),
		Deaths: notice.GetDeaths(), Alive: notice.GetAlive(), Cleared: notice.GetCleared(),
	}})
}

// suspectsNoticed adds what another entry has seen to what this one knows.
func (r *Reducer) suspectsNoticed(ev SuspectsNoticed) {
	notice := ev.Notice
	if notice.GetClusterId() != r.cfg.Cluster || notice.GetEntry() == r.cfg.Identity.GetName() {
		return
	}
	for _, d := range notice.GetDeaths() {
		r.suspects.crashes.add(deathKeyOf(d), r.now)
		for _, q := range d.GetSuspects() {
			r.chargeNoticed(d, q)
		}
	}
	for _, d := range notice.GetAlive() {
		r.suspects.takeBackCrash(deathKeyOf(d))
	}
	for _, q := range notice.GetCleared() {
		key := keyOf(q)
		r.suspects.drop(key)
		r.suspects.exonerated.add(key, r.now)
		delete(r.view.suspected, key)
		delete(r.view.quarantine, key)
	}
	if notice.GetForward() && r.peers.group.isAggregator {
		r.forwardNotice(notice)
	}
	r.refuseQuarantined()
}

// chargeNoticed charges a request with a death that another entry has seen.
func (r *Reducer) chargeNoticed(d *pb.ServerDeath, q *pb.Quarantine) {
	key := keyOf(q)
	death := deathKeyOf(d)
	if r.suspects.exonerated.has(key, r.now) {
		// In groups the aggregators answer, so that hundreds of entries don't.
		if !r.peers.group.isGroupMember() {
			r.tellCleared(q)
		}
		return
	}
	if r.suspects.explained(death, key, q.GetRequest()) && !r.isQuarantined(key) {
		return
	}
	j := judgement{key: key, server: d.GetServer(), incarnation: d.GetIncarnation(), request: q.GetRequest(), position: int(q.GetTokens())}
	if q.GetDisproved() {
		if s := r.suspects.byKey[key]; s != nil {
			s.deaths[death] = charge{request: j.request, tokens: j.position, disproved: true}
		}
		return
	}
	if s := r.suspects.byKey[key]; s != nil && s.deaths[death].disproved || r.disprove(&j) {
		return
	}
	s := r.suspects.add(key)
	s.noteRequest(q.GetRequest())
	known, score := s.deaths[death], min(int(q.GetScore()), scorePerCrash)
	switch {
	case q.GetJudged():
		// The judgement of the entry that saw the crash replaces this one's own, so that all agree.
		s.deaths[death] = charge{score: score, request: j.request, tokens: j.position}
		r.explainCrashes(key)
	case score > known.score && (known.pending || known.score <= veryDoubtfulScore):
		s.at = r.now
		r.chargeFor(j, score)
	}
	if r.view.suspected[key] == 0 {
		r.view.suspected[key] = r.now + suspectDelayPeriod
	}
}

func (r *Reducer) noticeAnswered(ev NoticeAnswered) {
	n := &r.notices
	if ev.TimedOut {
		n.avoidUntil[ev.Address] = r.now + noticeAvoidance
	} else {
		delete(n.avoidUntil, ev.Address)
	}
	sent := n.unanswered[ev.ID]
	if sent == nil {
		return
	}
	if delete(sent.waiting, ev.Address); len(sent.waiting) == 0 {
		delete(n.unanswered, ev.ID)
		r.resolveEnds()
	}
}

// othersKnow reports whether the other entries know all that this one does of the request, or have had
// the time to.
func (r *Reducer) othersKnow(key quarantineKey) bool {
	if r.awaitsVerdict(key) {
		return false
	}
	if suspectKeys(r.notices.deaths)[key] && len(r.noticeTargets()) > 0 {
		return false
	}
	for _, sent := range r.notices.unanswered {
		if sent.keys[key] && r.now < sent.until {
			return false
		}
	}
	return true
}

// awaitsNotice keeps the end of an attempt until the other entries know of its crash. It returns false
// if nothing has to be waited for.
func (r *Reducer) awaitsNotice(q *request, s *server, ev AttemptEnded) bool {
	if ev.Complete || ev.Invalid || r.othersKnow(q.key()) {
		return false
	}
	q.pendingEnd = &pendingEnd{server: s, event: ev, since: r.now}
	q.waitingSince = r.now
	r.notices.ends = append(r.notices.ends, q)
	return true
}

// resolveEnds acts on the ends of attempts of which the other entries know now.
func (r *Reducer) resolveEnds() {
	ends := r.notices.ends
	r.notices.ends = nil
	for _, q := range ends {
		switch {
		case r.requests[q.work.RequestID] != q:
		case !r.othersKnow(q.key()):
			r.notices.ends = append(r.notices.ends, q)
		default:
			end := q.pendingEnd
			q.pendingEnd = nil
			r.log(LogSuspect, q, end.server.pb.Id, "other entries know of the crash", []Figure{
				{Name: "waited_ms", Value: float64((r.now - end.since).Milliseconds())},
			})
			r.resolveAttempt(q, end.server, end.event)
		}
	}
	if len(ends) > len(r.notices.ends) {
		r.dispatchWaiting()
	}
}

// expireNotices ends the wait for entries that don't answer.
func (r *Reducer) expireNotices() {
	n := &r.notices
	for id, sent := range n.unanswered {
		if r.now >= sent.until {
			delete(n.unanswered, id)
		}
	}
	r.resolveEnds()
}

// deathKeyOf identifies a reported death.
func deathKeyOf(d *pb.ServerDeath) string { return deathKey(d.GetServer(), d.GetIncarnation()) }
