package capacity

import (
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// controlRole is the Slope.Role of this file's slopes.
const controlRole = "control replica"

// measureFilled returns a Slope.Measure that fills a leader and then measures it.
func measureFilled(fill func(n int) (*controlBench, error), measure func(b *controlBench, n int) float64) func(int) (float64, error) {
	return func(n int) (float64, error) {
		b, err := fill(n)
		if err != nil {
			return 0, err
		}
		return measure(b, n), nil
	}
}

func controlWithServers(n int) (*controlBench, error) { return newFilledControl(n, 1, 1) }
func controlWithEntries(n int) (*controlBench, error) { return newFilledControl(2, n, 1) }
func controlWithMembers(n int) (*controlBench, error) { return newFilledControl(1, 1, n) }

func controlWithClaims(n int) (*controlBench, error) {
	b, err := newFilledControl(1, 1, 1)
	if err != nil {
		return nil, err
	}
	for i := range n {
		b.claimAndSettle(i)
	}
	return b, nil
}

func claimCounts() []int { return []int{1000, 2000, 4000, 8000} }

func controlSlopes() []Slope {
	return append(controlCPUSlopes(), controlMemorySlopes()...)
}

func controlCPUSlopes() []Slope {
	return []Slope{
		{
			Name: "control-view-change-cpu", Role: controlRole,
			Description: "committing one change of the view and answering the held Watch calls of all entries",
			SizeName:    "entries", Unit: Microseconds, Sizes: entryCounts(),
			Measure: measureFilled(controlWithEntries, func(b *controlBench, n int) float64 {
				change := 0
				return CPUMicros(func() { change++; b.publishViewChange(n, change) })
			}),
		},
		{
			Name: "control-report-cpu", Role: controlRole,
			Description: "taking in a report of announcements without news",
			SizeName:    "announcements", Unit: Microseconds, Sizes: []int{1, 9, 30, 90},
			Measure: measureFilled(controlWithServers, func(b *controlBench, n int) float64 {
				knownReport := reportRequest(0, b.reducer.State().View(0).Servers...)
				return CPUMicros(func() { b.mustCall(knownReport) })
			}),
		},
		{
			Name: "control-tick-cpu", Role: controlRole, Description: "a leader's sweep, every 100 ms",
			SizeName: "backend servers", Unit: Microseconds, Sizes: serverCounts(),
			Measure: measureFilled(controlWithServers, func(b *controlBench, n int) float64 {
				knownReport := reportRequest(0, b.reducer.State().View(0).Servers...)
				return CPUMicros(func() { b.tick(sweepInterval); b.mustCall(knownReport) }) - CPUMicros(func() { b.mustCall(knownReport) })
			}),
		},
		{
			Name: "control-claim-cpu", Role: controlRole,
			Description: "claiming and settling one once-only call, two log entries",
			SizeName:    "claims kept", Unit: Microseconds, Sizes: claimCounts(),
			Measure: measureFilled(controlWithClaims, func(b *controlBench, n int) float64 {
				i := n
				return CPUMicros(func() { i++; b.claimAndSettle(i) })
			}),
		},
		{
			Name: "control-apply-cpu", Role: controlRole, Description: "accepting a declaration in which one member changed",
			SizeName: "members", Unit: Microseconds, Sizes: memberCounts(),
			Measure: measureFilled(controlWithMembers, func(b *controlBench, n int) float64 {
				d := sampleDeclaration(n)
				return CPUMicros(func() {
					d.Base, d.Revision = d.Revision, d.Revision+1
					d.Members[0].Weight++
					b.mustCall(&pb.ApplyRequest{ClusterId: sampleCluster, Declaration: d.ToProto()})
				})
			}),
		},
	}
}

func controlMemorySlopes() []Slope {
	var list []Slope
	for _, s := range []struct {
		name, size string
		sizes      []int
		fill       func(int) (*controlBench, error)
	}{
		{"server", "backend servers", serverCounts(), controlWithServers},
		{"entry", "entries", entryCounts(), controlWithEntries},
		{"member", "members", memberCounts(), controlWithMembers},
		{"claim", "claims kept", claimCounts(), controlWithClaims},
	} {
		list = append(list, Slope{
			Name: "control-memory-per-" + s.name, Role: controlRole, Description: "heap of the state and its lately changed log",
			SizeName: s.size, Unit: Bytes, Sizes: s.sizes,
			Measure: func(n int) (float64, error) {
				var fillErr error
				bytes := HeapBytes(func() any {
					b, err := s.fill(n)
					fillErr = err
					return b
				})
				return bytes, fillErr
			},
		}, Slope{
			Name: "snapshot-per-" + s.name, Role: controlRole, Description: "bytes of a snapshot",
			SizeName: s.size, Unit: Bytes, Sizes: s.sizes,
			Measure: measureFilled(s.fill, func(b *controlBench, _ int) float64 {
				return float64(len(b.reducer.State().Snapshot()))
			}),
		})
	}
	return append(list, appendSizeSlope())
}

// appendSizeSlope is the size of the message that a leader sends to each follower for
// claims.
func appendSizeSlope() Slope {
	return Slope{
		Name: "append-per-claim", Role: controlRole, Description: "bytes of an append that carries one command with that many claims",
		SizeName: "claims", Unit: Bytes, Sizes: []int{1, 4, 16, 64},
		Measure: func(n int) (float64, error) {
			req := &pb.ClaimRequest{ClusterId: sampleCluster}
			for i := range n {
				req.Claims = append(req.Claims, newClaim(i))
			}
			data, err := proto.Marshal(&pb.Command{Proposer: 1, Sequence: 1, Op: &pb.Command_Claim{Claim: req}})
			if err != nil {
				return 0, err
			}
			return encodedSize(&pb.Message{
				Kind: pb.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 2, Term: 1, LogTerm: 1, Index: 1 << 20, Commit: 1 << 20,
				Entries: []*pb.LogEntry{{Term: 1, Index: 1 << 20, Data: data}},
			}), nil
		},
	}
}
