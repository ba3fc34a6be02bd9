package store

import (
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// BenchmarkSave measures one synced transaction with one and with 100 entries of
// 200 bytes (group commit).
func BenchmarkSave(b *testing.B) {
	for name, size := range map[string]uint64{"entries=1": 1, "entries=100": 100} {
		b.Run(name, func(b *testing.B) {
			s, _, err := Open(options(b.TempDir()))
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			data := make([]byte, 200)
			last := uint64(0)
			for b.Loop() {
				p := consensus.Persist{HardState: &pb.HardState{Term: 1, Commit: last}}
				for range size {
					last++
					p.Entries = append(p.Entries, &pb.LogEntry{Index: last, Term: 1, Data: data})
				}
				if err := s.Save(p); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
