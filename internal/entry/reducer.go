package entry

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/admission"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Times and bounds that the reducer decides by.
const (
	// maxLease bounds how long a view counts. Together with the 0.4 s that a
	// server's own word may take it keeps new work off a leaving server after 2 s.
	maxLease = 1500 * time.Millisecond
	// confirmFor is how long a server's own word counts while the view is stale.
	confirmFor = 500 * time.Millisecond
	// probeEvery is how often servers are asked while the view is stale or they
	// failed; two answers fit into confirmFor, so that one may be lost.
	probeEvery = 200 * time.Millisecond
	// maxProbes bounds the servers asked at once.
	maxProbes = 32
	// maxAttempts bounds the attempts of one request at this entry. A request
	// that outlives so many servers is ended truthfully.
	maxAttempts = 12
	// cancelGrace leaves a caller time to go on with its stream at another
	// entry before it is stopped at the engine. The other entry's attempt has a
	// higher number, so that the late cancel does not touch it.
	cancelGrace = 2 * time.Second
	// rampTime is how long an entry that came back gets less than its share.
	rampTime = 10 * time.Second
)

// Config is what the reducer learns from the settings.
type Config struct {
	Cluster    string
	Identity   *pb.EntryIdentity
	MaxStreams int
	// AbortOnDisconnect tells that servers stop a request whose connection breaks. Else
	// they go on, and a fresh connection can take it up.
	AbortOnDisconnect bool
	// AssumedPace is what is assumed of engines that report no rates.
	AssumedPace decision.EngineSpeed
	// RetryLimit bounds what is sent beyond the first send of each request, over all
	// entries; nil: only the profiles' retry budgets count.
	RetryLimit *admission.ResendLimit
	// Usage says how members' requests are counted.
	Usage UsageConfig
	// Credentials says how long callers' credentials count without control's word.
	Credentials CredentialLimits
}

// Reducer decides for one entry. Not safe for concurrent use.
type Reducer struct {
	cfg      Config
	now      time.Duration
	effects  []Effect
	view     view
	servers  serverTable
	requests map[string]*request
	decide   decider
	speeds   speeds
	peers    peerBacklogs
	suspects suspectTable
	permits  permits
	// held is accepted work that does not wait in the queue.
	held []*request
	// extra is nil where Config.Extra is.
	extra   *admission.ResendLimiter
	report  reportBuffer
	usage   usageBook
	leaving bool
	// closesAt is when a leaving entry takes no more requests.
	closesAt time.Duration
	// shortOnlyAt is when it takes only work that is over by endsAt; zero endsAt: never.
	shortOnlyAt, endsAt time.Duration
	// sharedFleet is the fleet of this step, nil when it must be made anew.
	sharedFleet *decision.Fleet
	// dirty asks for a new snapshot at the end of the step.
	dirty bool
	// toldLease is the lease of the last LeaseRenewed.
	toldLease time.Duration
	lastProbe time.Duration
	// nextProbe is the place of the server that is asked first next time.
	nextProbe   int
	lastWeights time.Duration
	lastExpiry  time.Duration
	// lastCachePoll is when engines were last asked for cache events,
	// nextCachePoll where the next round begins.
	lastCachePoll time.Duration
	nextCachePoll int
}

// New gives a reducer that knows nothing yet.
func New(cfg Config) *Reducer {
	return &Reducer{
		cfg:      cfg,
		view:     newView(),
		servers:  newServerTable(),
		requests: make(map[string]*request),
		decide:   newDecider(),
		speeds:   newSpeeds(cfg.AssumedPace),
		peers:    newPeerBacklogs(),
		suspects: newSuspectTable(),
		permits:  newPermits(),
		report:   newReportBuffer(),
		usage:    newUsageBook(cfg.Usage, cfg.Identity.GetName()),
		extra:    admission.NewResendLimiter(cfg.RetryLimit),
	}
}

// Step takes one event at a time and gives what must be done about it. Time
// must not go back.
func (r *Reducer) Step(now time.Duration, ev Event) []Effect {
	r.now = now
	r.effects = nil
	r.sharedFleet = nil
	switch ev := ev.(type) {
	case Tick:
		r.tick()
	case ViewReceived:
		r.viewReceived(ev)
	case Announced:
		r.announced(ev)
	case ServerReported:
		r.serverSaid(ev)
	case CacheReported:
		r.cacheReported(ev)
	case ProbeFailed:
		r.probeFailed(ev)
	case ReportFailed:
		r.report.failed(ev.Request)
		r.usage.tellAgain()
	case ReportAnswered:
		r.report.told.taken(ev.Request, ev.ResendInFull)
		r.usage.taken(ev.Term)
	case RequestArrived:
		r.arrived(ev)
	case AttemptProgress:
		r.progress(ev)
	case AttemptEnded:
		r.attemptEnded(ev)
	case PrefillDone:
		r.prefilled(ev)
	case CallerDisconnected:
		r.callerGone(ev)
	case DeadlineExpired:
		r.timeUp(ev)
	case PeerReported:
		r.peerReported(ev)
	case SumRequested:
		r.sumAsked(ev)
	case SumReceived:
		r.sumHeard(ev)
	case AggregatorTimedOut:
		r.aggregatorSilent(ev)
	case PermitRequested:
		r.permitAsked(ev)
	case PermitAnswered:
		r.permitHeard(ev)
	case PermitTimedOut:
		r.permitSilent(ev)
	case Stop:
		r.stop(ev)
	}
	r.askPermits()
	r.reportToPeers()
	r.publish()
	r.tellLease()
	return r.effects
}

// tellLease comes after the view that the lease is on was published: whoever sees the lease
// must find that view.
func (r *Reducer) tellLease() {
	if r.view.leaseUntil != r.toldLease {
		r.toldLease = r.view.leaseUntil
		r.emit(LeaseRenewed{Until: r.toldLease})
	}
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Reducer) tick() {
	r.suspects.expire(r.now)
	r.peers.live.expireDeaths(r.now)
	for _, s := range r.servers.sorted {
		s.forgetSent(r.now - sentFor)
	}
	r.passRests()
	r.noteUnsure()
	r.probe()
	r.pollCaches()
	r.expireWaiting()
	r.startWaiting()
	r.refuseClosed()
	r.expireSchedules()
	r.refreshSum()
	r.sendReport()
	r.notePeers()
	r.refreshWeights()
}

// Idle tells whether nothing waits for time to pass but what is paced by
// seconds: there is no request, the view is in force, and no server is probed
// or carries out an order.
func (r *Reducer) Idle() bool {
	if len(r.requests) > 0 || r.leaving || r.stale() || r.report.changing || r.peers.anything {
		return false
	}
	return !slices.ContainsFunc(r.servers.sorted, func(s *server) bool { return s.failures > 0 })
}

// stale tells whether the view has run out.
func (r *Reducer) stale() bool { return r.now >= r.view.leaseUntil }

// stop keeps the entry open for callers that hold older address answers.
func (r *Reducer) stop(ev Stop) {
	if r.leaving {
		return
	}
	r.leaving, r.dirty = true, true
	r.closesAt, r.shortOnlyAt = r.now+ev.AcceptFor, r.now+ev.ShortOnlyAfter
	if ev.EndsAfter > 0 {
		r.endsAt = r.now + ev.EndsAfter
	}
}

// closed tells whether a leaving entry takes the request no more.
//
// Failure: a dossier of a caller with an old answer came 3.7 s after the stop began and
// was cut 3.9 s later, in the middle of its stream, when the entry had to end. The
// caller is told at once instead and has all of its time for another entry. Before
// shortOnlyAt there is time enough for nearly all, and callers have no better answer yet.
func (r *Reducer) closed(q *request) bool {
	if !r.leaving {
		return false
	}
	late := r.endsAt > 0 && q.endsInTime && r.now >= r.shortOnlyAt && q.work.FinishBy > r.endsAt
	return late || r.now >= r.closesAt
}
