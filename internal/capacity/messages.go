package capacity

import (
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func serverCounts() []int { return []int{9, 90, 450, 1350, 2700} }
func memberCounts() []int { return []int{10, 100, 400, 1300} }
func entryCounts() []int  { return []int{9, 55, 110, 330} }

// messageSlopes measure the encoded size of the messages from control to entries.
func messageSlopes() []Slope {
	return []Slope{
		{
			Name: "full-view-per-server", Role: "control replica",
			Description: "bytes of a full view sent to an entry that starts",
			SizeName:    "backend servers", Unit: Bytes, Sizes: serverCounts(),
			Measure: func(n int) (float64, error) {
				return encodedSize(&pb.WatchResponse{Full: true, Servers: sampleServers(n)}), nil
			},
		},
		{
			Name: "full-view-per-member", Role: "control replica",
			Description: "bytes of the declaration sent to an entry that starts",
			SizeName:    "members", Unit: Bytes, Sizes: memberCounts(),
			Measure: func(n int) (float64, error) {
				objects := sampleDeclaration(n).ToProto().Objects
				return encodedSize(&pb.WatchResponse{Full: true, Objects: objects}), nil
			},
		},
		{
			Name: "full-view-per-entry", Role: "control replica",
			Description: "bytes of the list of entries sent to an entry that starts",
			SizeName:    "entries", Unit: Bytes, Sizes: entryCounts(),
			Measure: func(n int) (float64, error) {
				return encodedSize(&pb.WatchResponse{Full: true, Entries: sampleEntries(n)}), nil
			},
		},
		{
			Name: "delta-per-server-change", Role: "entry",
			Description: "bytes of a delta when that many servers change at once",
			SizeName:    "servers changed", Unit: Bytes, Sizes: []int{1, 4, 16, 64, 256},
			Measure: func(n int) (float64, error) {
				return encodedSize(&pb.WatchResponse{Version: 1 << 20, Servers: sampleServers(n)}), nil
			},
		},
		{
			Name: "delta-per-declaration-object", Role: "entry",
			Description: "bytes of a delta when that many members of a declaration change",
			SizeName:    "objects changed", Unit: Bytes, Sizes: []int{1, 4, 16, 64},
			Measure: func(n int) (float64, error) {
				return encodedSize(memberDelta(n)), nil
			},
		},
	}
}

// memberDelta returns a view delta with n members of a declaration.
func memberDelta(n int) *pb.WatchResponse {
	delta := &pb.WatchResponse{Version: 1 << 20, Revision: 2}
	for _, o := range sampleDeclaration(n).ToProto().Objects {
		if o.Kind == "member" {
			delta.Objects = append(delta.Objects, o)
		}
	}
	return delta
}

func encodedSize(m proto.Message) float64 { return float64(proto.Size(m)) }
