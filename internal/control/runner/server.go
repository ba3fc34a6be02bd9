package runner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/conc"
	"github.com/twitchtv/twirp"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/intake"
	"goldcrestseam.dev/goldcrestseam/internal/origin"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/store"
)

// maxCallBytes bounds a request: the largest is a declaration or a batch of append
// messages.
const maxCallBytes = 16 << 20

// handler serves all of a replica's services on one listener. Metrics and health need no
// key: they can't change the system.
func (r *Runner) handler() http.Handler {
	s := &services{cluster: r.cfg.Cluster, loop: r.loop, store: r.store, net: r.net, relay: r.relay, views: newViewPacker()}
	s.refusalLog = rate.Sometimes{First: refusalLogBurst, Interval: refusalLogInterval}
	protected := http.NewServeMux()
	replica := pb.NewReplicaServer(s)
	control := pb.NewControlServer(s)
	operator := pb.NewOperatorServer(s)
	protected.Handle(replica.PathPrefix(), replica)
	protected.Handle(control.PathPrefix(), control)
	protected.Handle(operator.PathPrefix(), operator)
	origins := pb.NewOriginsServer(&originHolder{cluster: r.cfg.Cluster, store: origin.NewStore()})
	protected.Handle(origins.PathPrefix(), origins)
	bodies := intake.NewBudget(r.cfg.CallMemory(), r.metrics.Scope.SubScope("calls"), r.log)
	mux := http.NewServeMux()
	mux.Handle("/metrics", r.metrics.Handler)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("/", r.auth.RequireKey(r.loop.callCounters.Wrap(bodies.Handler(protected, maxCallBytes))))
	return mux
}

// services implements pb.Replica, pb.Control and pb.Operator.
type services struct {
	cluster string
	loop    *loop
	store   *store.Store
	net     *transport
	relay   *announcementRelay
	views   *viewPacker
	// refusalLog limits the log lines of refused replica messages: a replica that lost its
	// disk sends ten messages a second until it is added again.
	refusalLog rate.Sometimes
}

const (
	refusalLogBurst    = 10
	refusalLogInterval = 5 * time.Second
)

// Step accepts messages of another replica after it has verified the sender.
func (s *services) Step(ctx context.Context, req *pb.StepRequest) (*pb.StepResponse, error) {
	if req.GetClusterId() != s.cluster {
		return nil, s.refuse(req, "the cluster id is not "+s.cluster)
	}
	if err := s.store.CheckAddressee(req.GetTo()); err != nil {
		return nil, s.refuse(req, err.Error())
	}
	err := s.store.Admit(req, s.loop.currentGroup().members)
	if errorx.IsOfType(err, consensus.RemovedIdentity) {
		return typedAnswer[*pb.StepResponse](s.loop.postAndWait(ctx, func(id uint64) control.Event {
			return control.QueryRemoved{ID: id, Identity: req.GetFrom()}
		}))
	}
	if err != nil {
		return nil, s.refuse(req, err.Error())
	}
	s.net.learnAddress(req.GetFrom().GetId(), req.GetFromAddress())
	for _, m := range req.GetMessages() {
		if m.GetFrom() != req.GetFrom().GetId() {
			return nil, s.refuse(req, "a message is of another sender")
		}
		s.loop.post(control.Consensus{Event: consensus.Receive{
			Message: m, Incarnation: req.GetFrom().GetIncarnation(),
		}})
	}
	return &pb.StepResponse{}, nil
}

func (s *services) refuse(req *pb.StepRequest, reason string) error {
	s.loop.scope.Counter("replica_refused").Inc(1)
	s.refusalLog.Do(func() {
		s.loop.log.Warn("replica message refused", "cluster", req.GetClusterId(),
			"replica", req.GetFrom().GetId(), "incarnation", req.GetFrom().GetIncarnation(), "why", reason)
	})
	return twirp.NewError(twirp.FailedPrecondition, reason)
}

// typedAnswer converts the reducer's answer to its type.
func typedAnswer[T proto.Message](m proto.Message, err error) (T, error) {
	var zero T
	if err != nil {
		return zero, err
	}
	resp, ok := m.(T)
	if !ok {
		return zero, twirp.InternalError("the answer is of another type")
	}
	return resp, nil
}

// Watch implements pb.Control.
func (s *services) Watch(ctx context.Context, q *pb.WatchRequest) (*pb.WatchResponse, error) {
	resp, err := typedAnswer[*pb.WatchResponse](s.loop.call(ctx, q))
	if err != nil {
		return nil, err
	}
	return s.views.pack(q, resp)
}

// Report implements pb.Control.
func (s *services) Report(ctx context.Context, q *pb.ReportRequest) (*pb.ReportResponse, error) {
	resp, err := typedAnswer[*pb.ReportResponse](s.loop.call(ctx, q))
	if err == nil {
		s.relay.recordReporter(q.GetReplica())
	}
	return resp, err
}

// Announce implements pb.Control.
func (s *services) Announce(ctx context.Context, q *pb.AnnounceRequest) (*pb.AnnounceResponse, error) {
	if q.GetClusterId() != s.cluster {
		return nil, twirp.InvalidArgumentError("cluster_id", "is not "+s.cluster)
	}
	if !s.loop.currentGroup().isLeader {
		return nil, twirp.Unavailable.Error("this replica does not lead")
	}
	resp := &pb.AnnounceResponse{Failed: make(map[string]string)}
	var mu sync.Mutex
	var wg conc.WaitGroup
	for _, announced := range q.GetWords() {
		wg.Go(func() {
			_, err := s.loop.postAndWait(ctx, func(id uint64) control.Event {
				return control.Announce{
					ID: id, Announcement: announced.GetAnnouncement(), Sequence: announced.GetSequence(), Relayed: true,
				}
			})
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				resp.Failed[announced.GetAnnouncement().GetServer().GetId()] = err.Error()
			}
		})
	}
	wg.Wait()
	return resp, nil
}

// Claim implements pb.Control.
func (s *services) Claim(ctx context.Context, q *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	return typedAnswer[*pb.ClaimResponse](s.loop.call(ctx, q))
}

// Settle implements pb.Control.
func (s *services) Settle(ctx context.Context, q *pb.SettleRequest) (*pb.SettleResponse, error) {
	return typedAnswer[*pb.SettleResponse](s.loop.call(ctx, q))
}

// Apply implements pb.Operator.
func (s *services) Apply(ctx context.Context, q *pb.ApplyRequest) (*pb.ApplyResponse, error) {
	return typedAnswer[*pb.ApplyResponse](s.loop.call(ctx, q))
}

// GetDeclaration implements pb.Operator.
func (s *services) GetDeclaration(
	ctx context.Context, q *pb.GetDeclarationRequest,
) (*pb.GetDeclarationResponse, error) {
	return typedAnswer[*pb.GetDeclarationResponse](s.loop.call(ctx, q))
}

// Status implements pb.Operator.
func (s *services) Status(ctx context.Context, q *pb.StatusRequest) (*pb.StatusResponse, error) {
	return typedAnswer[*pb.StatusResponse](s.loop.call(ctx, q))
}

// Drain implements pb.Operator.
func (s *services) Drain(ctx context.Context, q *pb.DrainRequest) (*pb.DrainResponse, error) {
	return typedAnswer[*pb.DrainResponse](s.loop.call(ctx, q))
}

// ChangeRole implements pb.Operator.
func (s *services) ChangeRole(ctx context.Context, q *pb.ChangeRoleRequest) (*pb.ChangeRoleResponse, error) {
	return typedAnswer[*pb.ChangeRoleResponse](s.loop.call(ctx, q))
}

// ListReplicas implements pb.Operator.
func (s *services) ListReplicas(ctx context.Context, q *pb.ListReplicasRequest) (*pb.ListReplicasResponse, error) {
	return typedAnswer[*pb.ListReplicasResponse](s.loop.call(ctx, q))
}

// Join implements pb.Operator.
func (s *services) Join(ctx context.Context, q *pb.JoinRequest) (*pb.JoinResponse, error) {
	return typedAnswer[*pb.JoinResponse](s.loop.call(ctx, q))
}

// HandOver implements pb.Operator.
func (s *services) HandOver(ctx context.Context, q *pb.HandOverRequest) (*pb.HandOverResponse, error) {
	return typedAnswer[*pb.HandOverResponse](s.loop.call(ctx, q))
}

// Introduce implements pb.Operator.
func (s *services) Introduce(ctx context.Context, q *pb.IntroduceRequest) (*pb.IntroduceResponse, error) {
	return typedAnswer[*pb.IntroduceResponse](s.loop.call(ctx, q))
}

// ChangeReplica implements pb.Operator.
func (s *services) ChangeReplica(ctx context.Context, q *pb.ChangeReplicaRequest) (*pb.ChangeReplicaResponse, error) {
	return typedAnswer[*pb.ChangeReplicaResponse](s.loop.call(ctx, q))
}
