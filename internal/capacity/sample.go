package capacity

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Names and sizes of the samples.
const (
	sampleCluster = "sample"
	sampleModel   = "model-0"
	// leaseMillis is the view lease that control grants.
	leaseMillis = 1500
	// baseFleetSize is the number of engines of one user's deployment.
	baseFleetSize = 9
	// answerBytes is the size of a typical answer to an at-most-once call.
	answerBytes = 600
	// sweepInterval is the interval of the leader's periodic check of its state.
	sweepInterval = 100 * time.Millisecond
)

// sampleServer returns an engine with names of typical length.
func sampleServer(i int) *pb.BackendServer {
	return &pb.BackendServer{
		Id:           fmt.Sprintf("engine-%04d", i),
		Incarnation:  uuid.NewString(),
		Address:      fmt.Sprintf("10.%d.%d.%d:8000", i>>12, i>>6&63, i&63),
		Region:       fmt.Sprintf("region-%d", i%6),
		DataCentre:   fmt.Sprintf("region-%d-%d", i%6, i%3),
		Kind:         pb.ServerKind_SERVER_KIND_MODEL,
		Model:        fmt.Sprintf("model-%d", i%4),
		ModelVersion: "2026-11",
		Role:         pb.EngineRole_ENGINE_ROLE_MIXED,
		State:        pb.ServerState_SERVER_STATE_SERVING,
		Slots:        64,
	}
}

func sampleServers(n int) []*pb.BackendServer {
	list := make([]*pb.BackendServer, 0, n)
	for i := range n {
		list = append(list, sampleServer(i))
	}
	return list
}

func sampleEntry(i int) *pb.EntryInfo {
	return &pb.EntryInfo{
		Identity: &pb.EntryIdentity{
			Name:        fmt.Sprintf("entry-%03d", i),
			Incarnation: uuid.NewString(),
			Region:      fmt.Sprintf("region-%d", i%6),
			DataCentre:  fmt.Sprintf("region-%d-%d", i%6, i%3),

			CallerAddress: fmt.Sprintf("10.1.%d.%d:8080", i>>8, i&255),
			PeerAddress:   fmt.Sprintf("10.1.%d.%d:9080", i>>8, i&255),
		},
		Load: 0.4, Revision: 3700, ViewVersion: 1 << 20,
	}
}

func sampleIdentity(i int) *pb.EntryIdentity {
	identity := sampleEntry(i).Identity
	identity.Incarnation = "4fc2a6b1-58c1-4d0e-9a53-3f0b2e6d8c17"
	return identity
}

func sampleLoad() *pb.Load {
	return &pb.Load{Running: 20, Queued: 3, QueuedPrefillTokens: 12000, RunningDecodeTokens: 9000,
		PrefillRate: 8000, DecodeRate: 1400, CacheUsed: 0.8, AgeMs: 200}
}

func sampleEntries(n int) []*pb.EntryInfo {
	list := make([]*pb.EntryInfo, 0, n)
	for i := range n {
		list = append(list, sampleEntry(i))
	}
	return list
}

// sampleDeclaration returns a declaration of four models with two services each and
// n members that may use all of them, each with its own credential.
func sampleDeclaration(n int) *declaration.Declaration {
	d := &declaration.Declaration{Revision: 1, Author: "operations"}
	d.Profiles = []declaration.Profile{
		{Name: "urgent", Class: declaration.ClassUrgent, FirstToken: time.Second, Deadline: 30 * time.Second,
			MaxPromptTokens: 4000, MaxOutputTokens: 600, Share: 3, RetryBudget: 0.1},
		{Name: "bulk", Class: declaration.ClassBulk, FirstToken: 5 * time.Minute, Deadline: 15 * time.Minute,
			MaxPromptTokens: 60000, MaxOutputTokens: 3000, Share: 2, RetryBudget: 0.1},
	}
	var services []string
	for i := range 4 {
		model := fmt.Sprintf("model-%d", i)
		d.Models = append(d.Models, declaration.Model{Name: model, Version: "2026-11"})
		for _, profile := range []string{"urgent", "bulk"} {
			name := model + "-" + profile
			services = append(services, name)
			d.Services = append(d.Services, declaration.Service{
				Name: name, Kind: declaration.KindModel, Model: model, Profile: profile})
		}
	}
	for i := range n {
		name := fmt.Sprintf("team-%04d", i)
		d.Members = append(d.Members, declaration.Member{
			Name: name, CredentialSHA256: declaration.HashCredential(name), Weight: 1, Services: services})
	}
	return d
}
