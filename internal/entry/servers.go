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
	// firstCooling keeps new work off a server that refused a connection or
	// gave no answer; it doubles with each failure up to maxCooling.
	firstCooling = 500 * time.Millisecond
	maxCooling   = 8 * time.Second
	// sentFor bounds how long work counts as sent after the last load report,
	// for servers that report no load.
	sentFor = 5 * time.Second
)

// server is what is known of one backend server: control's word from the view
// and its own word from announcements, answers and probes.
type server struct {
	pb *pb.BackendServer
	// aliveAt is when it last gave a token or a word.
	aliveAt time.Duration
	// ownState is its own last word in this incarnation, ownAt when it came.
	ownState engineapi.State
	ownAt    time.Duration
	// wordIsNew is set while no other entry was told of it.
	wordIsNew  bool
	load       engineapi.Load
	reportedAt time.Duration
	failures   int
	coolUntil  time.Duration
	// died is set once this life was reported dead, until it shows otherwise.
	died bool
	// running holds the ids of the requests that this entry has there.
	running []string
	cache   cacheFollower
	// others estimates other entries' requests there; usual is what a request has
	// to read and hold there.
	others decision.PeerLoadEstimator
	usual  usualWork
	// usualOfRole is shared by all servers of the role.
	usualOfRole *decision.FleetAverage
	// since sums what was sent after the load was measured.
	since []sentWork
	// slowness is how much longer it takes to read than engines of its role do.
	slowness speed.SlowdownFactor
	// slow is set while it was last logged as slower than others.
	slow bool
	// wants is what it has said of the work that it wants, sends what it was sent lately.
	wants *backpressure.ServerState
	sends sendCount
	// sought counts the requests of this step for which it was closed, missed those that came
	// since permits were last asked for.
	sought, missed int
	// limitIsNew is set while no other entry was told of its limit, limitSent when the request
	// was sent that brought it.
	limitIsNew bool
	limitSent  time.Duration
	// leaveIsNew is set while no other entry was told that it leaves.
	leaveIsNew bool
}

type sentWork struct {
	at     time.Duration
	tokens decision.RequestTokens
}

// roleKey names servers that do the same work.
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

func (t *serverTable) usualOf(p *pb.BackendServer) *decision.FleetAverage {
	key := roleOf(p)
	if t.usual[key] == nil {
		t.usual[key] = &decision.FleetAverage{}
	}
	return t.usual[key]
}

type serverTable struct {
	byID map[string]*server
	// sorted holds them in order of id.
	sorted []*server
	// usual is what servers have on average, by role and pool.
	usual map[roleKey]*decision.FleetAverage
	// early keeps the own word of servers that the view does not name yet.
	early map[string]engineapi.Announcement
	// bounded are those that take less than they have places for, in order of id.
	bounded []*server
	lives   livesEnded
}

func newServerTable() serverTable {
	return serverTable{
		byID: make(map[string]*server), usual: make(map[roleKey]*decision.FleetAverage), early: make(map[string]engineapi.Announcement),
	}
}

// applyView takes the servers of the view and gives the ids whose life is over.
func (t *serverTable) applyView(resp *pb.WatchResponse, now time.Duration) []string {
	old := t.byID
	var over []string
	if resp.Full {
		t.byID = make(map[string]*server, len(resp.Servers))
		t.keepEnded(old)
	}
	for _, p := range resp.Servers {
		s := old[p.Id]
		if s == nil || s.pb.Incarnation != p.Incarnation {
			t.lives.keep(s)
			s = t.newServer(p, now)
			over = append(over, p.Id)
		}
		s.pb, s.usualOfRole = p, t.usualOf(p)
		t.byID[p.Id] = s
	}
	for _, id := range resp.RemovedServers {
		t.lives.keep(t.byID[id])
		delete(t.byID, id)
		over = append(over, id)
	}
	t.sort()
	t.findBounded(now)
	return over
}

func (t *serverTable) newServer(p *pb.BackendServer, now time.Duration) *server {
	s := &server{pb: p, usualOfRole: t.usualOf(p), wants: t.lives.take(p.Incarnation)}
	if a, ok := t.early[p.Id]; ok && a.Incarnation == p.Incarnation {
		s.hear(a.State, now)
		s.setLoad(a.Load, now)
	}
	delete(t.early, p.Id)
	return s
}

func (t *serverTable) sort() {
	t.sorted = t.sorted[:0]
	for _, s := range t.byID {
		t.sorted = append(t.sorted, s)
	}
	slices.SortFunc(t.sorted, func(a, b *server) int { return cmp.Compare(a.pb.Id, b.pb.Id) })
}

// findBounded lists anew the servers that take less than they have places for.
func (t *serverTable) findBounded(now time.Duration) {
	t.bounded = t.bounded[:0]
	for _, s := range t.sorted {
		if s.wants.Limited(now) {
			t.bounded = append(t.bounded, s)
		}
	}
}

// life gives the server if that incarnation is the one in force, else nil.
func (t *serverTable) life(id, incarnation string) *server {
	s := t.byID[id]
	if s == nil || s.pb.Incarnation != incarnation {
		return nil
	}
	return s
}

// hear takes a server's own word. An answer that was under way when the server
// began to leave may come after the word of leaving: leaving is never taken
// back within an incarnation.
func (s *server) hear(state engineapi.State, now time.Duration) {
	s.ownState, s.ownAt, s.aliveAt, s.wordIsNew = state, now, now, true
	if state == engineapi.StateLeaving {
		s.leave()
	}
	if state == engineapi.StateServing {
		s.failures, s.coolUntil, s.died = 0, 0, false
	}
}

// leave notes that the server leaves, for the rest of its life, and that others are to be told.
func (s *server) leave() {
	s.leaveIsNew = s.leaveIsNew || !s.wants.Leaving
	s.wants.Leaving = true
}

// setLoad takes a load report and forgets what was sent before it was true.
func (s *server) setLoad(load engineapi.Load, now time.Duration) {
	at := now - time.Duration(load.AgeMS)*time.Millisecond
	if at < s.reportedAt {
		return
	}
	s.load, s.reportedAt = load, at
	s.forgetSent(at)
	s.others.Observe(now, int(load.Running), int(load.Queued), len(s.running), s.usualOfRole)
}

// usualWork averages what this entry's requests had to do at a server.
type usualWork struct {
	unread, kv float64
	count      int
}

// usualWeight is the weight of a request in the averages.
const usualWeight = 0.05

func (u *usualWork) add(t decision.RequestTokens) {
	u.count++
	weight := max(usualWeight, 1/float64(u.count))
	u.unread += weight * (float64(t.Prefill) - u.unread)
	u.kv += weight * (float64(t.KV) - u.kv)
}

func (s *server) forgetSent(before time.Duration) {
	s.since = slices.DeleteFunc(s.since, func(w sentWork) bool { return w.at < before })
}

func (s *server) fail(now time.Duration) {
	cooling := min(firstCooling<<min(s.failures, 5), maxCooling)
	s.failures++
	s.coolUntil = now + cooling
}

// mayTakeWork tells whether new work may go to the server: it is in use, and wants more.
func (s *server) mayTakeWork(now time.Duration, stale bool) bool {
	return s.inUse(now, stale) && s.wants.CanSend(now)
}

// inUse tells whether new work may go to the server, as far as it wants any.
//
// Two independent words say that a server leaves: the view's and its own. After
// either nothing more is sent. A view whose lease has run out may hide that a
// server leaves (the entry may be cut off from control), so that then only a
// server counts that has said within confirmFor that it serves.
func (s *server) inUse(now time.Duration, stale bool) bool {
	if s.wants.Leaving || s.died || s.pb.Drained || s.pb.State != pb.ServerState_SERVER_STATE_SERVING {
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
	return s.ownState == engineapi.StateServing && now-s.ownAt < confirmFor
}
