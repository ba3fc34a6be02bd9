package entry

import (
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/admission"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Durations and bounds of the reducer's decisions.
const (
	// maxLease bounds the validity of a view. Together with the 0.4 s that a server's own report
	// may take, it keeps new work off a leaving server after 2 s.
	maxLease = 1500 * time.Millisecond
	// confirmationTime is how long a server's own report of its state counts while the view is
	// stale.
	confirmationTime = 500 * time.Millisecond
	// probeInterval is how often servers are probed while the view is stale or after they
	// failed. Two answers fit into confirmationTime, so that one of them may be lost.
	probeInterval = 200 * time.Millisecond
	// maxProbes bounds the servers probed in one round.
	maxProbes = 32
	// maxAttempts bounds the attempts of one request at this entry. A request that fails on so
	// many servers is refused, with what is known of its outcome.
	maxAttempts = 12
	// cancelGrace gives a caller time to continue its stream at another entry before the stream
	// is stopped at the engine. The other entry's attempt has a higher number, so that the
	// delayed cancel does not affect it.
	cancelGrace = 2 * time.Second
	// rampTime is how long a restarted entry gets less than its full weight.
	rampTime = 10 * time.Second
)

// Config holds the settings of the reducer.
type Config struct {
	Cluster    string
	Identity   *pb.EntryIdentity
	MaxStreams int
	// AbortOnDisconnect is set if servers stop a request whose connection breaks. Otherwise
	// they keep working, and a new connection can continue the request.
	AbortOnDisconnect bool
	// AssumedSpeed is assumed of engines that report no rates.
	AssumedSpeed decision.EngineSpeed
	// RetryLimit bounds what is sent beyond the first attempt of each request, over all entries.
	// If nil, only the profiles' retry budgets apply.
	RetryLimit *admission.RetryLimit
	// Usage says how members' requests are counted.
	Usage UsageConfig
	// Credentials says how long callers' credentials stay valid without contact with control.
	Credentials CredentialLimits
}

// Reducer makes the decisions of one entry. It is not safe for concurrent use.
type Reducer struct {
	cfg       Config
	now       time.Duration
	effects   []Effect
	view      view
	servers   serverTable
	requests  map[string]*request
	decisions decider
	speeds    speeds
	peers     peerBacklogs
	suspects  suspectTable
	notices   notices
	permits   permits
	reach     reach
	lateness  admission.Lateness
	peerViews peerViews
	// held is accepted work that waits outside of the queue.
	held []*request
	// retryLimit is nil if Config.RetryLimit is.
	retryLimit *admission.RetryLimiter
	report     reportBuffer
	usage      usageCounter
	stop       StopPlan
	// sharedFleet is the fleet of this step, nil if it has to be rebuilt.
	sharedFleet *decision.Fleet
	// dirty requests a new snapshot at the end of the step.
	dirty bool
	// publishedLease is the lease of the last LeaseRenewed.
	publishedLease time.Duration
	lastProbe      time.Duration
	// nextProbe is the index of the server to probe first in the next round.
	nextProbe         int
	lastWeightRefresh time.Duration
	lastExpiry        time.Duration
	// lastCachePoll is when engines were last polled for cache events, nextCachePoll the index
	// at which the next round begins.
	lastCachePoll time.Duration
	nextCachePoll int
}

// New returns a reducer without any state.
func New(cfg Config) *Reducer {
	return &Reducer{
		cfg:        cfg,
		view:       newView(),
		servers:    newServerTable(),
		requests:   make(map[string]*request),
		decisions:  newDecider(),
		speeds:     newSpeeds(cfg.AssumedSpeed),
		peers:      newPeerBacklogs(),
		suspects:   newSuspectTable(),
		notices:    newNotices(),
		permits:    newPermits(),
		reach:      newReach(),
		report:     newReportBuffer(),
		usage:      newUsageCounter(cfg.Usage, cfg.Identity.GetName()),
		retryLimit: admission.NewRetryLimiter(cfg.RetryLimit),
	}
}

// Step processes one event and returns the effects to carry out. Time must not go back.
func (r *Reducer) Step(now time.Duration, ev Event) []Effect {
	r.now = now
	r.effects = nil
	r.sharedFleet = nil
	r.retryLimit.SetEntries(now, r.retrySharers())
	switch ev := ev.(type) {
	case Tick:
		r.lateness.Observe(ev.Late)
		r.tick()
	case ViewReceived:
		r.viewReceived(ev)
	case Announced:
		r.announced(ev)
	case ServerReported:
		r.serverReported(ev)
	case CacheReported:
		r.cacheReported(ev)
	case ProbeFailed:
		r.probeFailed(ev)
	case ReportFailed:
		r.report.failed(ev.Request)
		r.usage.resendAll()
	case ReportAnswered:
		r.report.sent.acknowledged(ev.Request, ev.ResendInFull)
		r.usage.acknowledged(ev.Term)
	case RequestArrived:
		r.requestArrived(ev)
	case AttemptProgress:
		r.progress(ev)
	case AttemptEnded:
		r.attemptEnded(ev)
	case PrefillDone:
		r.prefillDone(ev)
	case CallerDisconnected:
		r.callerDisconnected(ev)
	case DeadlineExpired:
		r.deadlineExpired(ev)
	case PeerReported:
		r.peerReported(ev)
	case ViewRequested:
		r.viewRequested(ev)
	case SumRequested:
		r.sumRequested(ev)
	case SumReceived:
		r.sumReceived(ev)
	case AggregatorTimedOut:
		r.aggregatorTimedOut(ev)
	case SuspectsNoticed:
		r.suspectsNoticed(ev)
	case NoticeAnswered:
		r.noticeAnswered(ev)
	case PermitRequested:
		r.permitRequested(ev)
	case PermitAnswered:
		r.permitAnswered(ev)
	case PermitTimedOut:
		r.permitTimedOut(ev)
	case Stop:
		r.beginStop(ev)
	}
	r.requestPermits()
	r.sendNotice()
	r.reportToPeers()
	r.publish()
	r.emitLease()
	return r.effects
}

// emitLease runs after the view of the lease was published: whoever sees the lease must find
// that view.
func (r *Reducer) emitLease() {
	if r.view.leaseUntil != r.publishedLease {
		r.publishedLease = r.view.leaseUntil
		r.emit(LeaseRenewed{Until: r.publishedLease, ConfirmedAt: r.view.confirmedAt, From: r.view.leasedBy})
	}
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Reducer) tick() {
	r.suspects.expire(r.now)
	r.peers.liveness.expireDeaths(r.now)
	for _, s := range r.servers.sorted {
		s.forgetSent(r.now - sentRetention)
	}
	r.expireBackoffs()
	r.updateLeaseExpiring()
	r.requestPeerView()
	r.updateReach()
	r.sendProbes()
	r.pollCaches()
	r.giveVerdicts()
	r.expireNotices()
	r.expireWaiting()
	r.refuseAtStop()
	r.dispatchWaiting()
	r.refuseStranded()
	r.refuseBlocked()
	r.expireSchedules()
	r.refreshSum()
	r.sendReport()
	r.logPeersKnown()
	r.refreshWeights()
}

// Idle reports whether nothing waits for time to pass except what happens at intervals of seconds:
// there is no request, the lease is valid, and no server is probed or carries out an order.
func (r *Reducer) Idle() bool {
	if len(r.requests) > 0 || r.stop.stopping || r.stale() || r.report.changing || r.peers.reportedAny {
		return false
	}
	return !slices.ContainsFunc(r.servers.sorted, func(s *server) bool { return s.failures > 0 })
}

// stale reports whether the lease on the view has ended.
func (r *Reducer) stale() bool { return r.now >= r.view.leaseUntil }
