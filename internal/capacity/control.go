package capacity

import (
	"fmt"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/control"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// controlBench is a control replica that leads a group of one: each proposal is
// committed in the step that appends it, as if writes to disk took no time.
type controlBench struct {
	reducer *control.Reducer
	now     time.Duration
	wallMS  int64
	calls   uint64
	replies map[uint64]control.Reply
}

func newControlBench() (*controlBench, error) {
	identity := &pb.ReplicaIdentity{Id: 1, Incarnation: uuid.NewString()}
	membership := &pb.Membership{Members: []*pb.ReplicaMember{{
		Identity: identity, Role: pb.ReplicaRole_REPLICA_ROLE_VOTER, Address: "10.2.0.1:7000",
	}}}
	node := consensus.NewNode(consensus.Config{ID: 1, Seed: 1}, consensus.InitialState{
		Identity: identity, Membership: membership,
	})
	b := &controlBench{
		reducer: control.NewReducer(control.Config{
			Cluster: sampleCluster, ID: 1, Sender: "control-1", OrderPause: 10 * time.Second,
		}, node, control.NewState()),
		now: benchStart, wallMS: time.Now().UnixMilli(), replies: make(map[uint64]control.Reply),
	}
	for range 1000 {
		b.tick(10 * time.Millisecond)
		if node.LeaseUntil() > b.now {
			return b, nil
		}
	}
	return nil, Failed.New("the replica does not lead")
}

// step passes an event to the reducer and carries out the resulting effects.
func (b *controlBench) step(ev control.Event) {
	b.now += eventInterval
	for _, eff := range b.reducer.Step(b.now, ev) {
		switch eff := eff.(type) {
		case control.Reply:
			b.replies[eff.ID] = eff
		case control.SaveSnapshot:
			b.step(control.Consensus{Event: eff.Snapshot})
		case control.ConsensusEffect:
			if p, ok := eff.Effect.(consensus.Persist); ok {
				b.step(control.Consensus{Event: consensus.Persisted{Sequence: p.Sequence}})
			}
		}
	}
}

func (b *controlBench) tick(d time.Duration) {
	b.now += d
	b.wallMS += d.Milliseconds()
	b.step(control.Tick{WallMS: b.wallMS})
}

// call makes a call and returns its response, or nil if the reducer does not answer it
// at once.
func (b *controlBench) call(req proto.Message) (proto.Message, error) {
	b.calls++
	b.step(control.Call{ID: b.calls, Request: req})
	reply, ok := b.replies[b.calls]
	delete(b.replies, b.calls)
	if ok && reply.Err != nil {
		return nil, Failed.Wrap(reply.Err, "%T", req)
	}
	return reply.Response, nil
}

// mustCall is call for measured loops. It panics on an error, since a refused call in
// such a loop is a bug in the benchmark.
func (b *controlBench) mustCall(req proto.Message) proto.Message {
	resp, err := b.call(req)
	if err != nil {
		panic(err)
	}
	return resp
}

// fill adds the given numbers of servers, entries and members to the state.
func (b *controlBench) fill(servers, entries, members int) error {
	d := sampleDeclaration(members).ToProto()
	if _, err := b.call(&pb.ApplyRequest{ClusterId: sampleCluster, Declaration: d}); err != nil {
		return err
	}
	for i := range entries {
		if _, err := b.call(watchRequest(i, 0)); err != nil {
			return err
		}
	}
	for i := range servers {
		if _, err := b.call(reportRequest(0, sampleServer(i))); err != nil {
			return err
		}
	}
	return nil
}

// newFilledControl returns a leader whose state has the given numbers of servers,
// entries and members.
func newFilledControl(servers, entries, members int) (*controlBench, error) {
	b, err := newControlBench()
	if err != nil {
		return nil, err
	}
	return b, b.fill(servers, entries, members)
}

func watchRequest(entry int, knownVersion uint64) *pb.WatchRequest {
	return &pb.WatchRequest{
		ClusterId: sampleCluster, Entry: sampleIdentity(entry), KnownVersion: knownVersion, HoldMs: 600, Load: 0.4,
	}
}

func reportRequest(entry int, servers ...*pb.BackendServer) *pb.ReportRequest {
	req := &pb.ReportRequest{ClusterId: sampleCluster, Entry: sampleIdentity(entry)}
	for _, s := range servers {
		req.Announcements = append(req.Announcements, &pb.Announcement{Server: s, Load: sampleLoad()})
	}
	return req
}

func newClaim(i int) *pb.Claim {
	return &pb.Claim{
		Member: fmt.Sprintf("team-%04d", i%1300), Service: "receipts", Key: uuid.Must(uuid.NewV7()).String(),
		RequestId: uuid.NewString(), Owner: sampleIdentity(0), Fingerprint: uint64(i),
	}
}

// claimAndSettle claims an at-most-once call and settles it with an answer of
// answerBytes.
func (b *controlBench) claimAndSettle(i int) {
	c := newClaim(i)
	b.mustCall(&pb.ClaimRequest{ClusterId: sampleCluster, Claims: []*pb.Claim{c}})
	b.mustCall(&pb.SettleRequest{ClusterId: sampleCluster, Settlements: []*pb.Settlement{{
		Claim: c, Status: pb.ClaimStatus_CLAIM_STATUS_DONE,
		Answer: &pb.StoredAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, answerBytes)},
	}}})
}

// publishViewChange has n entries wait in Watch calls (long polls) and makes one change
// of the view, so that all the calls are answered with the delta.
func (b *controlBench) publishViewChange(n, change int) {
	version := b.reducer.State().ViewVersion()
	for i := range n {
		b.mustCall(watchRequest(i, version))
	}
	s := sampleServer(change % 2)
	s.Slots = uint32(change)
	b.mustCall(reportRequest(0, s))
	clear(b.replies)
}
