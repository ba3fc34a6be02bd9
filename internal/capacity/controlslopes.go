package capacity

import (
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// controlRole is the role of all slopes here.
const controlRole = "control replica"

// filled makes the measurement of a leader that is filled first.
func filled(fill func(n int) (*controlBench, error), measure func(b *controlBench, n int) float64) func(int) (float64, error) {
	return func(n int) (float64, error) {
		b, err := fill(n)
		if err != nil {
			return 0, err
		}
		return measure(b, n), nil
	}
}

func byServers(n int) (*controlBench, error) { return filledControl(n, 1, 1) }
func byEntries(n int) (*controlBench, error) { return filledControl(2, n, 1) }
func byMembers(n int) (*controlBench, error) { return filledControl(1, 1, n) }

func byClaims(n int) (*controlBench, error) {
	b, err := filledControl(1, 1, 1)
	if err != nil {
		return nil, err
	}
	for i := range n {
		b.claimOnce(i)
	}
	return b, nil
}

func claimSizes() []int { return []int{1000, 2000, 4000, 8000} }

func controlSlopes() []Slope {
	return append(controlTimes(), controlState()...)
}

func controlTimes() []Slope {
	return []Slope{
		{
			Name: "control-view-change-cpu", Role: controlRole,
			Description: "committing one change of the view and answering the held Watch calls of all entries",
			SizeName:    "entries", Unit: Microseconds, Sizes: entrySizes(),
			Measure: filled(byEntries, func(b *controlBench, n int) float64 {
				change := 0
				return CPUMicros(func() { change++; b.watchRound(n, change) })
			}),
		},
		{
			Name: "control-report-cpu", Role: controlRole,
			Description: "taking in a report of announcements without news",
			SizeName:    "announcements", Unit: Microseconds, Sizes: []int{1, 9, 30, 90},
			Measure: filled(byServers, func(b *controlBench, n int) float64 {
				known := report(0, b.reducer.State().View(0).Servers...)
				return CPUMicros(func() { b.must(known) })
			}),
		},
		{
			Name: "control-tick-cpu", Role: controlRole, Description: "a leader's sweep, every 100 ms",
			SizeName: "backend servers", Unit: Microseconds, Sizes: fleetSizes(),
			Measure: filled(byServers, func(b *controlBench, n int) float64 {
				known := report(0, b.reducer.State().View(0).Servers...)
				return CPUMicros(func() { b.tick(sweepEvery); b.must(known) }) - CPUMicros(func() { b.must(known) })
			}),
		},
		{
			Name: "control-claim-cpu", Role: controlRole,
			Description: "claiming and settling one once-only call, two log entries",
			SizeName:    "claims kept", Unit: Microseconds, Sizes: claimSizes(),
			Measure: filled(byClaims, func(b *controlBench, n int) float64 {
				i := n
				return CPUMicros(func() { i++; b.claimOnce(i) })
			}),
		},
		{
			Name: "control-apply-cpu", Role: controlRole, Description: "accepting a declaration in which one member changed",
			SizeName: "members", Unit: Microseconds, Sizes: memberSizes(),
			Measure: filled(byMembers, func(b *controlBench, n int) float64 {
				d := sampleDeclaration(n)
				return CPUMicros(func() {
					d.Base, d.Revision = d.Revision, d.Revision+1
					d.Members[0].Weight++
					b.must(&pb.ApplyRequest{ClusterId: sampleCluster, Declaration: d.ToProto()})
				})
			}),
		},
	}
}

func controlState() []Slope {
	var list []Slope
	for _, s := range []struct {
		name, size string
		sizes      []int
		fill       func(int) (*controlBench, error)
	}{
		{"server", "backend servers", fleetSizes(), byServers},
		{"entry", "entries", entrySizes(), byEntries},
		{"member", "members", memberSizes(), byMembers},
		{"claim", "claims kept", claimSizes(), byClaims},
	} {
		list = append(list, Slope{
			Name: "control-memory-per-" + s.name, Role: controlRole, Description: "heap of the state and its lately changed log",
			SizeName: s.size, Unit: Bytes, Sizes: s.sizes,
			Measure: func(n int) (float64, error) {
				var failed error
				bytes := HeapBytes(func() any {
					b, err := s.fill(n)
					failed = err
					return b
				})
				return bytes, failed
			},
		}, Slope{
			Name: "snapshot-per-" + s.name, Role: controlRole, Description: "bytes of a snapshot",
			SizeName: s.size, Unit: Bytes, Sizes: s.sizes,
			Measure: filled(s.fill, func(b *controlBench, _ int) float64 {
				return float64(len(b.reducer.State().Snapshot()))
			}),
		})
	}
	return append(list, appendBytes())
}

// appendBytes is what a leader sends to each follower for claims.
func appendBytes() Slope {
	return Slope{
		Name: "append-per-claim", Role: controlRole, Description: "bytes of an append that carries one command with that many claims",
		SizeName: "claims", Unit: Bytes, Sizes: []int{1, 4, 16, 64},
		Measure: func(n int) (float64, error) {
			req := &pb.ClaimRequest{ClusterId: sampleCluster}
			for i := range n {
				req.Claims = append(req.Claims, claim(i))
			}
			data, err := proto.Marshal(&pb.Command{Proposer: 1, Sequence: 1, Op: &pb.Command_Claim{Claim: req}})
			if err != nil {
				return 0, err
			}
			return size(&pb.Message{
				Kind: pb.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 2, Term: 1, LogTerm: 1, Index: 1 << 20, Commit: 1 << 20,
				Entries: []*pb.LogEntry{{Term: 1, Index: 1 << 20, Data: data}},
			}), nil
		},
	}
}
