package capacity

import (
	"fmt"
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// benchStart is the time since boot at which measured reducers receive their view.
	benchStart = time.Hour
	// eventInterval is how far the clock advances between measured events: so little
	// that the view's lease does not expire over thousands of events.
	eventInterval = time.Microsecond
	// urgentPromptTokens and urgentOutputTokens are the size of an urgent request.
	urgentPromptTokens = 500
	urgentOutputTokens = 100
	// maxStreams is the measured entry's limit on open streams, too high to be
	// reached.
	maxStreams = 1 << 20
)

// entryBench is an entry's reducer with a view of a given size.
type entryBench struct {
	reducer *entry.Reducer
	now     time.Duration
	version uint64
	seq     int
}

// newEntryBench returns a reducer whose view has the given numbers of servers and
// members. All servers serve the same model and have announced themselves.
func newEntryBench(servers, members int) *entryBench {
	identity := sampleEntry(0).Identity
	b := &entryBench{
		reducer: entry.New(entry.Config{Cluster: sampleCluster, Identity: identity, MaxStreams: maxStreams}),
		now:     benchStart, version: 1,
	}
	list := sampleServers(servers)
	for _, s := range list {
		s.Model = sampleModel
	}
	b.reducer.Step(b.now, entry.ViewReceived{SentAt: b.now, Response: &pb.WatchResponse{
		Full: true, Version: b.version, Revision: 1, LeaseMs: leaseMillis, Servers: list,
		Objects: sampleDeclaration(members).ToProto().Objects,
		Entries: []*pb.EntryInfo{sampleEntry(0)},
	}})
	return b
}

// applyDelta delivers a view delta with the servers and objects.
func (b *entryBench) applyDelta(servers []*pb.BackendServer, objects []*pb.Object) {
	b.now += eventInterval
	knownVersion := b.version
	b.version++
	b.reducer.Step(b.now, entry.ViewReceived{SentAt: b.now, Response: &pb.WatchResponse{
		Version: b.version, KnownVersion: knownVersion, Revision: 1, LeaseMs: leaseMillis,
		Servers: servers, Objects: objects,
	}})
}

// renewLease delivers a Watch response without changes, which extends the lease.
func (b *entryBench) renewLease() {
	b.now += eventInterval
	b.reducer.Step(b.now, entry.ViewReceived{SentAt: b.now, Response: &pb.WatchResponse{
		Version: b.version, KnownVersion: b.version, Revision: 1, LeaseMs: leaseMillis,
	}})
}

func (b *entryBench) newRequest() entry.RequestArrived {
	b.seq++
	id := fmt.Sprintf("request-%d", b.seq)
	return entry.RequestArrived{Fingerprint: uint64(b.seq), RetryBudget: 0.1, Work: decision.Work{
		RequestID: id, Member: fmt.Sprintf("team-%04d", b.seq%16), MemberWeight: 1,
		Service: sampleModel + "-urgent", Profile: "urgent", ProfileShare: 1,
		Class: declaration.ClassUrgent, Kind: declaration.KindModel, Model: sampleModel,
		PromptTokens: urgentPromptTokens, OutputTokens: urgentOutputTokens,
		Arrived: b.now, FirstTokenBy: b.now + time.Hour, FinishBy: b.now + time.Hour,
	}}
}

// completeRequest plays one request from its arrival through dispatch to its answer.
func (b *entryBench) completeRequest() {
	b.now += eventInterval
	arrived := b.newRequest()
	for _, eff := range b.reducer.Step(b.now, arrived) {
		if d, ok := eff.(entry.Dispatch); ok {
			b.reducer.Step(b.now, entry.AttemptEnded{
				RequestID: d.RequestID, Attempt: d.Attempt, Complete: true, Outcome: outcome.Ran,
				Tokens: urgentOutputTokens, FirstToken: 100 * time.Millisecond,
				Decode: time.Second, Elapsed: 1100 * time.Millisecond,
			})
		}
	}
}

// addOpenRequests adds n requests that never end: they are placed while a server has
// capacity and queued after that.
func (b *entryBench) addOpenRequests(n int) {
	for range n {
		b.now += eventInterval
		b.reducer.Step(b.now, b.newRequest())
	}
}

func (b *entryBench) announce(i int) {
	b.now += eventInterval
	s := sampleServer(i)
	b.reducer.Step(b.now, entry.Announced{Announcement: engineapi.Announcement{
		Cluster: sampleCluster, ID: s.Id, Incarnation: s.Incarnation, Address: s.Address,
		Region: s.Region, DataCentre: s.DataCentre, Kind: engineapi.KindModel, Model: sampleModel,
		Role: engineapi.RoleMixed, State: engineapi.StateServing, Slots: 64,
	}})
}

func entrySlopes() []Slope {
	return slices.Concat(entryMemorySlopes(), entryViewCPUSlopes(), entryRequestCPUSlopes())
}

func entryMemorySlopes() []Slope {
	return []Slope{
		{
			Name: "entry-memory-per-server", Role: "entry", Description: "heap of the reducer's view",
			SizeName: "backend servers", Unit: Bytes, Sizes: serverCounts(),
			Measure: func(n int) (float64, error) {
				return HeapBytes(func() any { return newEntryBench(n, 1) }), nil
			},
		},
		{
			Name: "entry-memory-per-member", Role: "entry", Description: "heap of the reducer's declaration",
			SizeName: "members", Unit: Bytes, Sizes: memberCounts(),
			Measure: func(n int) (float64, error) {
				return HeapBytes(func() any { return newEntryBench(1, n) }), nil
			},
		},
		{
			Name: "entry-memory-per-request", Role: "entry", Description: "heap of the reducer per open request",
			SizeName: "open requests", Unit: Bytes, Sizes: []int{100, 400, 1600, 3200},
			Measure: func(n int) (float64, error) {
				b := newEntryBench(baseFleetSize, 1)
				return HeapBytes(func() any { b.addOpenRequests(n); return b }), nil
			},
		},
	}
}

// entryViewCPUSlopes measure an entry's cost of keeping its view up to date.
func entryViewCPUSlopes() []Slope {
	return []Slope{
		{
			Name: "entry-renew-cpu", Role: "entry", Description: "taking in a Watch answer without news",
			SizeName: "backend servers", Unit: Microseconds, Sizes: serverCounts(),
			Measure: func(n int) (float64, error) {
				b := newEntryBench(n, 1)
				return CPUMicros(b.renewLease), nil
			},
		},
		{
			Name: "entry-server-delta-cpu", Role: "entry", Description: "taking in a delta with one changed server",
			SizeName: "backend servers", Unit: Microseconds, Sizes: serverCounts(),
			Measure: func(n int) (float64, error) {
				b := newEntryBench(n, 1)
				changed := sampleServers(1)
				return CPUMicros(func() { b.applyDelta(changed, nil) }), nil
			},
		},
		{
			Name: "entry-object-delta-cpu", Role: "entry", Description: "taking in a delta with one changed member",
			SizeName: "members", Unit: Microseconds, Sizes: memberCounts(),
			Measure: func(n int) (float64, error) {
				b := newEntryBench(1, n)
				changed := memberDelta(1).Objects
				return CPUMicros(func() { b.applyDelta(nil, changed) }), nil
			},
		},
		{
			Name: "entry-announcement-cpu", Role: "entry", Description: "taking in one announcement",
			SizeName: "backend servers", Unit: Microseconds, Sizes: serverCounts(),
			Measure: func(n int) (float64, error) {
				b := newEntryBench(n, 1)
				i := 0
				return CPUMicros(func() { b.announce(i % n); i++ }), nil
			},
		},
	}
}

// entryRequestCPUSlopes measure the cost of callers' requests in an entry's reducer.
func entryRequestCPUSlopes() []Slope {
	return []Slope{
		{
			Name: "entry-request-cpu", Role: "entry", Description: "all decisions of one request that is placed and answered",
			SizeName: "backend servers", Unit: Microseconds, Sizes: serverCounts(),
			Measure: func(n int) (float64, error) {
				b := newEntryBench(n, 1)
				return CPUMicros(b.completeRequest), nil
			},
		},
		{
			Name: "entry-arrival-cpu-queued", Role: "entry", Description: "deciding on one arrival behind a queue",
			SizeName: "requests waiting", Unit: Microseconds, Sizes: []int{100, 400, 1600, 3200},
			Measure: func(n int) (float64, error) {
				b := newEntryBench(baseFleetSize, 1)
				b.addOpenRequests(n)
				return CPUMicros(func() {
					b.now += eventInterval
					arrived := b.newRequest()
					b.reducer.Step(b.now, arrived)
					b.reducer.Step(b.now, entry.CallerDisconnected{RequestID: arrived.Work.RequestID})
				}), nil
			},
		},
	}
}
