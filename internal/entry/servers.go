package entry

import (
	"cmp"
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/backpressure"
	"goldcrestseam.dev/goldcrestseam/internal/decision/speed"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// firstCoolDown is how long new work is kept off a server that refused a connection or gave
	// no answer. It doubles with each failure up to maxCoolDown.
	firstCoolDown = 500 * time.Millisecond
	maxCoolDown   = 8 * time.Second
	// sentRetention bounds how long work counts as sent since the last load report, for servers
	// that report no load.
	sentRetention = 5 * time.Second
)

// server is what is known of one backend server: control's view of it and its own reports in
// announcements, responses and probes.
type server struct {
	pb *pb.BackendServer
	// aliveAt is when the server last delivered a token or a report.
	aliveAt time.Duration
	// unansweredAt is when it was first found not to answer.
	unansweredAt time.Duration
	// ownState is the last state that the server reported itself in this incarnation, ownStateAt
	// is when.
	ownState   engineapi.State
	ownStateAt time.Duration
	// aliveUnreported is set until other entries are told of that state.
	aliveUnreported bool
	load            engineapi.Load
	reportedAt      time.Duration
	failures        int
	coolUntil       time.Duration
	// died is set once this incarnation was reported dead, until it proves alive.
	died bool
	// diedAt is when it was last taken for dead, 0 once an answer has shown that it was not.
	diedAt time.Duration
	// lives counts the lives after the one that control knows, as far as their ends were seen. nextLife is
	// set once an answer came that may be such a life's.
	lives    int
	nextLife bool
	// running holds the ids of this entry's requests there.
	running []string
	cache   cacheCursor
	// otherEntries estimates the requests of other entries there. averageWork is the average
	// prefill and KV cache size of a request there.
	otherEntries decision.PeerLoadEstimator
	averageWork  workAverage
	// roleAverage is shared by all servers of the role.
	roleAverage *decision.FleetAverage
	// sentSinceReport is the work sent after the load was measured.
	sentSinceReport []sentWork
	// slowness is the factor by which prefill takes longer than at other engines of the role.
	slowness speed.SlowdownFactor
	// slow is set if the last log line about it says that the server is slower than others.
	slow bool
	// backpressure is what the server said about the load that it accepts, sends counts what it
	// was sent recently.
	backpressure *backpressure.ServerState
	sends        sendCount
	// blocked counts the requests of this step that lacked a permit for the server,
	// blockedArrivals those that arrived since permits were last requested.
	blocked, blockedArrivals int
	// limitUnreported is set until other entries are told of the server's rate limit.
	// limitSentAt is when the request was sent whose response set it.
	limitUnreported bool
	limitSentAt     time.Duration
	// leavingUnreported is set until other entries are told that the server is leaving.
	leavingUnreported bool
}

type sentWork struct {
	at     time.Duration
	tokens decision.RequestTokens
}

// roleKey groups servers that do the same work. pool is the model of an engine, or the first
// service of a plain service's server.
type roleKey struct {
	role pb.EngineRole
	pool string
}

func roleOf(p *pb.BackendServer) roleKey {
	key := roleKey{role: p.Role, pool: p.Model}
	if len(p.Services) > 0 {
		key.pool = p.Services[0]
	}
	return key
}

func (t *serverTable) roleAverage(p *pb.BackendServer) *decision.FleetAverage {
	key := roleOf(p)
	if t.roleAverages[key] == nil {
		t.roleAverages[key] = &decision.FleetAverage{}
	}
	return t.roleAverages[key]
}

type serverTable struct {
	byID map[string]*server
	// sorted holds the servers in order of id.
	sorted []*server
	// roleAverages holds the average load of servers by role and pool.
	roleAverages map[roleKey]*decision.FleetAverage
	// pending keeps the announcements of servers that the view does not contain yet.
	pending map[string]engineapi.Announcement
	// restricted are the servers that accept less than they have slots for, in order of id.
	restricted []*server
	// builds counts the servers of the view by the build of their software.
	builds []Build
	ended  endedIncarnations
}

func newServerTable() serverTable {
	return serverTable{
		byID: make(map[string]*server), roleAverages: make(map[roleKey]*decision.FleetAverage), pending: make(map[string]engineapi.Announcement),
	}
}

// applyView applies the servers of a view and returns the ids whose incarnation has ended.
func (t *serverTable) applyView(resp *pb.WatchResponse, now time.Duration) []string {
	old := t.byID
	var replaced []string
	if resp.Full {
		t.byID = make(map[string]*server, len(resp.Servers))
		t.keepEnded(old)
	}
	for _, p := range resp.Servers {
		s := old[p.Id]
		if s == nil || s.pb.Incarnation != p.Incarnation {
			t.ended.keep(s)
			s = t.newServer(p, now)
			replaced = append(replaced, p.Id)
		}
		s.pb, s.roleAverage = p, t.roleAverage(p)
		if p.State == pb.ServerState_SERVER_STATE_LEAVING {
			s.backpressure.LeavingInView = true
		}
		t.byID[p.Id] = s
	}
	for _, id := range resp.RemovedServers {
		t.ended.keep(t.byID[id])
		delete(t.byID, id)
		replaced = append(replaced, id)
	}
	t.sort()
	t.builds = countBuilds(t.sorted)
	t.findRestricted(now)
	return replaced
}

func (t *serverTable) newServer(p *pb.BackendServer, now time.Duration) *server {
	s := &server{pb: p, roleAverage: t.roleAverage(p), backpressure: t.ended.take(p.Incarnation)}
	if a, ok := t.pending[p.Id]; ok && a.Incarnation == p.Incarnation {
		s.observeState(a.State, now)
		s.setLoad(a.Load, now)
	}
	delete(t.pending, p.Id)
	return s
}

func (t *serverTable) sort() {
	t.sorted = t.sorted[:0]
	for _, s := range t.byID {
		t.sorted = append(t.sorted, s)
	}
	slices.SortFunc(t.sorted, func(a, b *server) int { return cmp.Compare(a.pb.Id, b.pb.Id) })
}

// findRestricted rebuilds the list of restricted servers.
func (t *serverTable) findRestricted(now time.Duration) {
	t.restricted = t.restricted[:0]
	for _, s := range t.sorted {
		if s.backpressure.Limited(now) {
			t.restricted = append(t.restricted, s)
		}
	}
}

// incarnation returns the server if that incarnation is the current one, else nil.
func (t *serverTable) incarnation(id, incarnation string) *server {
	s := t.byID[id]
	if s == nil || s.pb.Incarnation != incarnation {
		return nil
	}
	return s
}

// observeState records the server's own report of its state. A response that was under way when
// the server began to leave may arrive after the report of leaving, so leaving is never taken
// back within an incarnation.
func (s *server) observeState(state engineapi.State, now time.Duration) {
	s.ownState, s.ownStateAt, s.aliveAt, s.aliveUnreported = state, now, now, true
	if state == engineapi.StateLeaving {
		s.markLeaving()
	}
	if state == engineapi.StateServing {
		s.failures, s.coolUntil, s.died = 0, 0, false
	}
}

// markLeaving records that the server is leaving for the rest of its incarnation, and that other
// entries have to be told.
func (s *server) markLeaving() {
	s.leavingUnreported = s.leavingUnreported || !s.backpressure.Leaving
	s.backpressure.Leaving = true
}

// setLoad applies a load report and drops the work that was sent before the load was measured.
func (s *server) setLoad(load engineapi.Load, now time.Duration) {
	at := now - time.Duration(load.AgeMS)*time.Millisecond
	if at < s.reportedAt {
		return
	}
	s.load, s.reportedAt = load, at
	s.forgetSent(at)
	s.otherEntries.Observe(now, int(load.Running), int(load.Queued), len(s.running), s.roleAverage)
}

// workAverage averages the work of this entry's requests at a server.
type workAverage struct {
	prefill, kv float64
	count       int
}

// minAverageWeight is the least weight of a new request in the averages.
const minAverageWeight = 0.05

func (a *workAverage) add(t decision.RequestTokens) {
	a.count++
	weight := max(minAverageWeight, 1/float64(a.count))
	a.prefill += weight * (float64(t.Prefill) - a.prefill)
	a.kv += weight * (float64(t.KV) - a.kv)
}

func (s *server) forgetSent(before time.Duration) {
	s.sentSinceReport = slices.DeleteFunc(s.sentSinceReport, func(w sentWork) bool { return w.at < before })
}

func (s *server) fail(now time.Duration) {
	coolDown := min(firstCoolDown<<min(s.failures, 5), maxCoolDown)
	s.failures++
	s.coolUntil = now + coolDown
}

// acceptsWork reports whether new work may go to the server: it is available, and its backpressure
// allows a request.
func (s *server) acceptsWork(now time.Duration, stale bool) bool {
	return s.available(now, stale) && s.backpressure.CanSend(now)
}

// available reports whether new work may go to the server, apart from backpressure.
//
// There are two independent signs that a server is leaving: the view and its own report. After
// either of them the incarnation gets no more work, whatever a later view says. A view whose lease has ended may hide that a server is
// leaving, since the entry may be cut off from control. While it is stale, only servers count
// that have reported themselves serving within confirmationTime.
func (s *server) available(now time.Duration, stale bool) bool {
	if s.backpressure.Leaving || s.backpressure.LeavingInView {
		return false
	}
	if s.died || s.pb.Drained || s.pb.State != pb.ServerState_SERVER_STATE_SERVING {
		return false
	}
	if s.ownState == engineapi.StateChanging || now < s.coolUntil {
		return false
	}
	if stale {
		return s.confirmed(now)
	}
	return true
}

func (s *server) confirmed(now time.Duration) bool {
	return s.ownState == engineapi.StateServing && now-s.ownStateAt < confirmationTime
}
