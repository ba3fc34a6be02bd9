// Package runner performs the effects of the control reducer: it owns the data folder, the
// listener, the connections to the other replicas and the calls to engines. One goroutine
// steps the reducer; all others post events to it.
package runner

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
	"goldcrestseam.dev/goldcrestseam/internal/store"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("control_runner")

var (
	// Failed is the type of errors that end the process.
	Failed = Namespace.NewType("failed")
	// Removed is the type of errors that report that the group has removed this replica.
	Removed = Namespace.NewType("removed")
)

const (
	// leadershipTransferTimeout bounds how long a planned stop waits for another leader: a
	// transfer takes the rest of the lease and one election.
	leadershipTransferTimeout = 3 * time.Second
	// shutdownTimeout bounds how long open calls may take after that.
	shutdownTimeout = 2 * time.Second
	metricsPrefix   = "goldcrest_control"
)

// Runner is the process of one control replica.
type Runner struct {
	cfg     *settings.Control
	log     *slog.Logger
	auth    *rpc.Auth
	metrics *obs.Metrics
	store   *store.Store
	loop    *loop
	net     *transport
	engines *engineSender
	server  *http.Server
	relay   *announcementRelay
	drivers Drivers
	// seeds are the addresses of replicas to ask first; see Reload.
	seeds atomic.Pointer[[]string]
}

// New opens the data folder and restores the state. The drivers serve additional protocols.
// Errors: those of store and rpc, BadSnapshot.
func New(cfg *settings.Control, log *slog.Logger, drivers Drivers) (*Runner, error) {
	auth, err := rpc.LoadAuth(cfg.Auth)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	st, recovered, err := open(cfg, log)
	if err != nil {
		return nil, err
	}
	state := control.NewState()
	if recovered.Initial.SnapshotData != nil {
		if state, err = control.RestoreState(recovered.Initial.SnapshotData); err != nil {
			return nil, err
		}
	}
	if recovered.CopyError != nil {
		log.Warn("database file stays larger than its content", "cause", recovered.CopyError.Error())
	}
	log.Info("recovered", "snapshot_index", recovered.Initial.Snapshot.GetIndex(),
		"entries", len(recovered.Initial.Entries), "took_ms", time.Since(startedAt).Milliseconds())
	id := st.Identity().GetId()
	node := consensus.NewNode(nodeConfig(id, cfg), recovered.Initial)
	logRecoveredGroup(log, id, node.Status())
	usage := newUsageReporter(cfg, st, log)
	usage.report("storage at start", node.Status())
	r := &Runner{
		cfg: cfg, log: log, auth: auth, metrics: obs.NewMetrics(metricsPrefix), store: st, drivers: drivers,
	}
	r.seeds.Store(&cfg.Control)
	auth.CountBytes(r.metrics.Scope)
	reducer := control.NewReducer(control.Config{
		Cluster: cfg.Cluster, ID: id, Address: cfg.Address, Seeds: cfg.Control,
		Sender:              cfg.Name + "/" + uuid.NewString(),
		OrderPause:          cfg.OrderPause,
		MaxDeclarationBytes: cfg.LogLimits().Declaration,
		TargetVoters:        cfg.TargetVoters(), InForceWithin: cfg.InForceWithin,
		Duties: dutiesConfig(cfg),
	}, node, state)
	r.loop = newLoop(reducer, log, r.metrics.Scope)
	r.relay = newAnnouncementRelay(cfg, auth, log)
	r.net = newTransport(cfg, auth, st, r.loop)
	r.engines = newEngineSender(r.loop, drivers)
	r.loop.duties = newDutyCaller(r.loop, cfg.Duties.Address, drivers.Duties)
	r.loop.disk, r.loop.net, r.loop.engines = newDisk(st, r.loop), r.net, r.engines
	r.loop.intro, r.loop.usage = newIntroducer(auth, log), usage
	return r, nil
}

// logRecoveredGroup logs the group that the data folder names, which tells after a loss of power whether
// the replicas that are back can be a quorum.
func logRecoveredGroup(log *slog.Logger, id uint64, s consensus.Status) {
	var voters, learners []string
	for _, m := range s.Membership.GetMembers() {
		member := fmt.Sprintf("%d at %s", m.GetIdentity().GetId(), m.GetAddress())
		if m.GetRole() == pb.ReplicaRole_REPLICA_ROLE_LEARNER {
			learners = append(learners, member)
		} else {
			voters = append(voters, member)
		}
	}
	log.Info("recovered group", "replica", id, "standing", string(s.Standing), "term", s.Term, "last_index", s.LastIndex,
		"voters", voters, "learners", learners)
}

// Reload applies the settings that can change while the replica runs: the addresses of control.
// The others take effect at the next start.
func (r *Runner) Reload(cfg *settings.Control) {
	r.seeds.Store(&cfg.Control)
	r.loop.post(control.SeedsChanged{Seeds: cfg.Control})
}

// dutiesConfig returns the duties that the settings enable; without an address there are
// none.
func dutiesConfig(cfg *settings.Control) control.DutiesConfig {
	d := cfg.Duties
	if d.Address == "" {
		return control.DutiesConfig{}
	}
	return control.DutiesConfig{
		Usage: control.UsageConfig{Window: d.UsageWindow, ReportDelay: d.UsageReportDelay}, Lease: d.Lease, Holder: cfg.Name,
		OrderServers: d.OrderServers,
	}
}

func nodeConfig(id uint64, cfg *settings.Control) consensus.Config {
	limits := cfg.LogLimits()
	return consensus.Config{
		SnapshotBytes: limits.Snapshot, TrailingBytes: limits.Trailing, MaxUncommittedBytes: limits.Uncommitted,
		ID: id, ElectionTimeout: cfg.ElectionTimeout,
		SnapshotEntries: uint64(cfg.SnapshotEntries), MaxVoters: cfg.TargetVoters(),
		BootstrapOnce: cfg.BootstrapFromControl,
		// The seed is taken from the clock so that replicas draw different election
		// timeouts.
		Seed: uint64(time.Now().UnixNano()),
	}
}

// open opens the data folder. A damaged one is moved aside and the replica starts empty,
// under a new incarnation, to be added again: answering from a damaged log could undo
// committed changes.
func open(cfg *settings.Control, log *slog.Logger) (*store.Store, *store.Recovered, error) {
	o := store.Options{
		Dir: cfg.DataDir, Cluster: cfg.Cluster, ReplicaID: cfg.ReplicaID,
		Bootstrap: bootstrap(cfg), Join: cfg.Join,
		MaxLogBytes: oversizedLogFactor * cfg.LogLimits().Snapshot, Replay: replayFrom,
	}
	if cfg.BootstrapFromControl && store.GivenUp(cfg.DataDir) {
		// The process may have ended between giving the folder up and creating the next one.
		waitForNewID(&o)
	}
	st, recovered, err := store.Open(o)
	if !errorx.IsOfType(err, store.Corrupt) {
		return st, recovered, err
	}
	movedTo, moveErr := store.ArchiveDamaged(cfg.DataDir)
	if moveErr != nil {
		return nil, nil, moveErr
	}
	log.Error("data folder is damaged: moved aside, replica waits to be added again",
		"cause", err.Error(), "aside", movedTo)
	o.Join = true
	if cfg.BootstrapFromControl {
		waitForNewID(&o)
	}
	return store.Open(o)
}

// waitForNewID makes a new folder that of a replica that waits to be added under a random id. Another
// incarnation under the id of a first replica would count as that one (consensus.Config.BootstrapOnce).
func waitForNewID(o *store.Options) { o.Join, o.ReplicaID = true, 0 }

// oversizedLogFactor is how many times larger than the entries between two snapshots a log is that is cut
// before it is read: more than a slow disk and slow replicas let it become.
const oversizedLogFactor = 4

// replayedState applies entries at the opening of the data folder.
type replayedState struct{ *control.State }

func (s replayedState) Apply(e *pb.LogEntry) { s.State.Apply(e) }

func replayFrom(snapshot []byte) (store.Replayer, error) {
	if snapshot == nil {
		return replayedState{control.NewState()}, nil
	}
	state, err := control.RestoreState(snapshot)
	return replayedState{state}, err
}

func bootstrap(cfg *settings.Control) *pb.Membership {
	m := &pb.Membership{}
	for _, b := range cfg.Bootstrap {
		m.Members = append(m.Members, &pb.ReplicaMember{
			Identity: &pb.ReplicaIdentity{Id: b.ID}, Role: pb.ReplicaRole_REPLICA_ROLE_VOTER,
			Address: b.Address, Region: b.Region, DataCentre: b.DataCentre,
		})
	}
	return m
}

// Run serves until ctx ends, then transfers leadership, hands its place as a voter over and stops. Errors: Failed, Removed.
func (r *Runner) Run(ctx context.Context) error {
	listener, err := r.auth.Listen(ctx, cmp.Or(r.cfg.ListenAddress, r.cfg.Address), r.cfg.MaxCallConnections(), r.log)
	if err != nil {
		return Failed.Wrap(err, "listen")
	}
	r.server = &http.Server{
		Handler: r.handler(), ReadHeaderTimeout: callTimeout, MaxHeaderBytes: rpc.MaxHeaderBytes,
		ErrorLog: slog.NewLogLogger(r.log.Handler(), slog.LevelWarn),
	}
	serving, endServing := context.WithCancel(context.Background())
	defer endServing()
	var wg conc.WaitGroup
	wg.Go(r.loop.run)
	wg.Go(r.loop.disk.run)
	wg.Go(func() { r.join(serving) })
	wg.Go(func() {
		if err := r.server.Serve(listener); err != http.ErrServerClosed {
			r.loop.fail(Failed.Wrap(err, "serve"))
		}
	})
	if r.cfg.MetricsAddress != "" {
		wg.Go(func() { r.metrics.Serve(serving, r.cfg.MetricsAddress, r.log) })
	}
	port := &Port{cluster: r.cfg.Cluster, loop: r.loop, relay: r.relay, documents: &documentMemory{limit: r.cfg.LogLimits().Declaration}}
	if len(r.drivers.Calls) > 0 {
		wg.Go(func() { r.relay.runReports(serving, port.Leader) })
		wg.Go(func() { r.relay.sendAnnouncements(serving) })
	}
	for _, d := range r.drivers.Calls {
		wg.Go(func() {
			if err := d.Serve(port); err != nil {
				r.loop.fail(Failed.Wrap(err, "serve"))
			}
		})
	}
	r.log.Info("serving", "address", r.cfg.Address, "control", r.cfg.Control, "replica", r.store.Identity().GetId(),
		"incarnation", r.store.Identity().GetIncarnation())
	err = r.wait(ctx)
	r.logEnd(err)
	if err == nil {
		r.handOver()
	}
	r.stop()
	endServing()
	wg.Wait()
	return err
}

// logEnd logs why the process ends.
func (r *Runner) logEnd(err error) {
	if err == nil {
		r.log.Info("ends as planned")
		return
	}
	onDisk, usageErr := r.store.Usage()
	if usageErr != nil {
		r.log.Warn("size of the data folder is unknown", "error", usageErr.Error())
	}
	r.log.Error("ends", "cause", err.Error(), "data_folder_bytes", onDisk.Folder, "disk_mb", r.cfg.DiskMB,
		"memory_total_bytes", readMetric(metricTotal), "memory_mb", r.cfg.MemoryMB)
}

// wait returns when the process must end: on a failure, or once a planned stop has
// transferred leadership.
func (r *Runner) wait(ctx context.Context) error {
	select {
	case err := <-r.loop.failed:
		return err
	case <-ctx.Done():
	}
	r.log.Info("stopping")
	r.loop.post(control.Stop{})
	timeout := time.NewTimer(leadershipTransferTimeout)
	defer timeout.Stop()
	for {
		select {
		case err := <-r.loop.failed:
			return err
		case <-timeout.C:
			return nil
		case <-time.After(tickInterval):
			if !r.loop.currentGroup().isLeader {
				return nil
			}
		}
	}
}

func (r *Runner) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, d := range r.drivers.Calls {
		if err := d.Shutdown(ctx); err != nil {
			r.log.Warn("driver did not stop in time", "error", err.Error())
		}
	}
	// Open calls are answered by the loop or end at their own timeout.
	if err := r.server.Shutdown(ctx); err != nil {
		_ = r.server.Close()
	}
	r.engines.wait()
	r.loop.duties.wait()
	close(r.loop.stop)
	// Only the control goroutine enqueues disk writes, so it must end first.
	<-r.loop.done
	r.loop.intro.wait()
	r.net.close()
	r.loop.usage.wg.Wait()
	close(r.loop.disk.writes)
	if err := r.store.Close(); err != nil {
		r.log.Error("close", "error", err.Error())
	}
	_ = r.metrics.Close()
}
