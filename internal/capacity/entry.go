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
	// viewTime is the time since boot at which measured reducers got their view.
	viewTime = time.Hour
	// step is how far the clock moves between measured events: short, so that
	// the view's lease holds while thousands are played.
	step = time.Microsecond
	// smallPrompt and smallAnswer are an urgent question's tokens.
	smallPrompt = 500
	smallAnswer = 100
	// openStreams is an entry's bound on streams while measuring.
	openStreams = 1 << 20
)

// entryBench is an entry's reducer that has a view of some size.
type entryBench struct {
	reducer *entry.Reducer
	now     time.Duration
	version uint64
	seq     int
}

// newEntryBench gives a reducer whose view has that many servers and members.
// All servers serve one model and have announced themselves.
func newEntryBench(servers, members int) *entryBench {
	identity := sampleEntry(0).Identity
	b := &entryBench{
		reducer: entry.New(entry.Config{Cluster: sampleCluster, Identity: identity, MaxStreams: openStreams}),
		now:     viewTime, version: 1,
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

// delta plays one delta that carries the servers and objects.
func (b *entryBench) delta(servers []*pb.BackendServer, objects []*pb.Object) {
	b.now += step
	known := b.version
	b.version++
	b.reducer.Step(b.now, entry.ViewReceived{SentAt: b.now, Response: &pb.WatchResponse{
		Version: b.version, KnownVersion: known, Revision: 1, LeaseMs: leaseMillis,
		Servers: servers, Objects: objects,
	}})
}

// renew plays a Watch answer without news.
func (b *entryBench) renew() {
	b.now += step
	b.reducer.Step(b.now, entry.ViewReceived{SentAt: b.now, Response: &pb.WatchResponse{
		Version: b.version, KnownVersion: b.version, Revision: 1, LeaseMs: leaseMillis,
	}})
}

func (b *entryBench) work() entry.RequestArrived {
	b.seq++
	id := fmt.Sprintf("request-%d", b.seq)
	return entry.RequestArrived{Fingerprint: uint64(b.seq), RetryBudget: 0.1, Work: decision.Work{
		RequestID: id, Member: fmt.Sprintf("team-%04d", b.seq%16), MemberWeight: 1,
		Service: sampleModel + "-urgent", Profile: "urgent", ProfileShare: 1,
		Class: declaration.ClassUrgent, Kind: declaration.KindModel, Model: sampleModel,
		PromptTokens: smallPrompt, OutputTokens: smallAnswer,
		Arrived: b.now, FirstTokenBy: b.now + time.Hour, FinishBy: b.now + time.Hour,
	}}
}

// request plays one request that is placed and answered.
func (b *entryBench) request() {
	b.now += step
	arrived := b.work()
	for _, eff := range b.reducer.Step(b.now, arrived) {
		if d, ok := eff.(entry.Dispatch); ok {
			b.reducer.Step(b.now, entry.AttemptEnded{
				RequestID: d.RequestID, Attempt: d.Attempt, Complete: true, Outcome: outcome.Ran,
				Tokens: smallAnswer, FirstToken: 100 * time.Millisecond,
				Decode: time.Second, Elapsed: 1100 * time.Millisecond,
			})
		}
	}
}

// open plays n requests that stay: placed while a server has room, then queued.
func (b *entryBench) open(n int) {
	for range n {
		b.now += step
		b.reducer.Step(b.now, b.work())
	}
}

func (b *entryBench) announce(i int) {
	b.now += step
	s := sampleServer(i)
	b.reducer.Step(b.now, entry.Announced{Announcement: engineapi.Announcement{
		Cluster: sampleCluster, ID: s.Id, Incarnation: s.Incarnation, Address: s.Address,
		Region: s.Region, DataCentre: s.DataCentre, Kind: engineapi.KindModel, Model: sampleModel,
		Role: engineapi.RoleMixed, State: engineapi.StateServing, Slots: 64,
	}})
}

func entrySlopes() []Slope {
	return slices.Concat(entryMemory(), entryControlTimes(), entryDecisionTimes())
}

func entryMemory() []Slope {
	return []Slope{
		{
			Name: "entry-memory-per-server", Role: "entry", Description: "heap of the reducer's view",
			SizeName: "backend servers", Unit: Bytes, Sizes: fleetSizes(),
			Measure: func(n int) (float64, error) {
				return HeapBytes(func() any { return newEntryBench(n, 1) }), nil
			},
		},
		{
			Name: "entry-memory-per-member", Role: "entry", Description: "heap of the reducer's declaration",
			SizeName: "members", Unit: Bytes, Sizes: memberSizes(),
			Measure: func(n int) (float64, error) {
				return HeapBytes(func() any { return newEntryBench(1, n) }), nil
			},
		},
		{
			Name: "entry-memory-per-request", Role: "entry", Description: "heap of the reducer per open request",
			SizeName: "open requests", Unit: Bytes, Sizes: []int{100, 400, 1600, 3200},
			Measure: func(n int) (float64, error) {
				b := newEntryBench(fleetToday, 1)
				return HeapBytes(func() any { b.open(n); return b }), nil
			},
		},
	}
}

// entryControlTimes are what control costs an entry.
func entryControlTimes() []Slope {
	return []Slope{
		{
			Name: "entry-renew-cpu", Role: "entry", Description: "taking in a Watch answer without news",
			SizeName: "backend servers", Unit: Microseconds, Sizes: fleetSizes(),
			Measure: func(n int) (float64, error) {
				b := newEntryBench(n, 1)
				return CPUMicros(b.renew), nil
			},
		},
		{
			Name: "entry-server-delta-cpu", Role: "entry", Description: "taking in a delta with one changed server",
			SizeName: "backend servers", Unit: Microseconds, Sizes: fleetSizes(),
			Measure: func(n int) (float64, error) {
				b := newEntryBench(n, 1)
				changed := sampleServers(1)
				return CPUMicros(func() { b.delta(changed, nil) }), nil
			},
		},
		{
			Name: "entry-object-delta-cpu", Role: "entry", Description: "taking in a delta with one changed member",
			SizeName: "members", Unit: Microseconds, Sizes: memberSizes(),
			Measure: func(n int) (float64, error) {
				b := newEntryBench(1, n)
				changed := memberDelta(1).Objects
				return CPUMicros(func() { b.delta(nil, changed) }), nil
			},
		},
		{
			Name: "entry-announcement-cpu", Role: "entry", Description: "taking in one announcement",
			SizeName: "backend servers", Unit: Microseconds, Sizes: fleetSizes(),
			Measure: func(n int) (float64, error) {
				b := newEntryBench(n, 1)
				i := 0
				return CPUMicros(func() { b.announce(i % n); i++ }), nil
			},
		},
	}
}

// entryDecisionTimes are what callers' requests cost its reducer.
func entryDecisionTimes() []Slope {
	return []Slope{
		{
			Name: "entry-request-cpu", Role: "entry", Description: "all decisions of one request that is placed and answered",
			SizeName: "backend servers", Unit: Microseconds, Sizes: fleetSizes(),
			Measure: func(n int) (float64, error) {
				b := newEntryBench(n, 1)
				return CPUMicros(b.request), nil
			},
		},
		{
			Name: "entry-arrival-cpu-queued", Role: "entry", Description: "deciding on one arrival behind a queue",
			SizeName: "requests waiting", Unit: Microseconds, Sizes: []int{100, 400, 1600, 3200},
			Measure: func(n int) (float64, error) {
				b := newEntryBench(fleetToday, 1)
				b.open(n)
				return CPUMicros(func() {
					b.now += step
					arrived := b.work()
					b.reducer.Step(b.now, arrived)
					b.reducer.Step(b.now, entry.CallerDisconnected{RequestID: arrived.Work.RequestID})
				}), nil
			},
		},
	}
}
