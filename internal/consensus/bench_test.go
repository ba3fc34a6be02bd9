package consensus

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// instantCluster delivers messages and syncs without delay, so that only Step is
// measured.
type instantCluster struct {
	nodes    map[uint64]*Node
	now      time.Duration
	bytes    map[pb.MessageKind]int
	messages map[pb.MessageKind]int
}

func (g *instantCluster) step(id uint64, ev Event) {
	type pending struct {
		id uint64
		ev Event
	}
	queue := []pending{{id, ev}}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for _, e := range g.nodes[at.id].Step(g.now, at.ev) {
			switch e := e.(type) {
			case Send:
				g.bytes[e.Message.Kind] += proto.Size(e.Message)
				g.messages[e.Message.Kind]++
				queue = append(queue, pending{e.Message.To, Receive{Message: e.Message}})
			case Persist:
				queue = append(queue, pending{at.id, Persisted{Sequence: e.Sequence}})
			case TakeSnapshot:
				SetSnapshotChecksum(e.Meta, nil)
				queue = append(queue, pending{at.id, SnapshotTaken{Meta: e.Meta}})
			}
		}
	}
}

func newInstantCluster(b *testing.B) *instantCluster {
	g := &instantCluster{
		nodes: map[uint64]*Node{}, now: time.Second,
		bytes: map[pb.MessageKind]int{}, messages: map[pb.MessageKind]int{},
	}
	bootstrap := newCluster(1, 3).hosts[1].disk.bootstrap
	for id := uint64(1); id <= 3; id++ {
		g.nodes[id] = NewNode(Config{ID: id, Seed: id}, InitialState{
			Identity:   &pb.ReplicaIdentity{Id: id, Incarnation: fmt.Sprint(id), BootNonce: id},
			HardState:  &pb.HardState{Formed: true},
			Membership: bootstrap,
		})
	}
	for g.nodes[1].role != leader {
		g.now += time.Second
		g.step(1, Tick{})
	}
	return g
}

// BenchmarkPropose measures one committed proposal of 200 bytes: the Steps of all
// three replicas, and the encoded size of an append message.
func BenchmarkPropose(b *testing.B) {
	g := newInstantCluster(b)
	data := make([]byte, 200)
	clear(g.bytes)
	clear(g.messages)
	b.ReportAllocs()
	for b.Loop() {
		g.step(1, Propose{Data: data})
	}
	kind := pb.MessageKind_MESSAGE_KIND_APPEND
	b.ReportMetric(float64(g.bytes[kind])/float64(g.messages[kind]), "B/append")
}

// BenchmarkHeartbeat measures one heartbeat round of an idle group.
func BenchmarkHeartbeat(b *testing.B) {
	g := newInstantCluster(b)
	clear(g.bytes)
	clear(g.messages)
	b.ReportAllocs()
	for b.Loop() {
		g.now += g.nodes[1].cfg.HeartbeatInterval
		g.step(1, Tick{})
	}
	for kind, name := range map[pb.MessageKind]string{
		pb.MessageKind_MESSAGE_KIND_HEARTBEAT:          "B/heartbeat",
		pb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE: "B/answer",
	} {
		b.ReportMetric(float64(g.bytes[kind])/float64(g.messages[kind]), name)
	}
}
