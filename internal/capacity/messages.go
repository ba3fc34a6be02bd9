package capacity

import (
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func fleetSizes() []int  { return []int{9, 90, 450, 1350, 2700} }
func memberSizes() []int { return []int{10, 100, 400, 1300} }
func entrySizes() []int  { return []int{9, 55, 110, 330} }

// messageSlopes are the bytes on the wire of what control sends to entries.
func messageSlopes() []Slope {
	return []Slope{
		{
			Name: "full-view-per-server", Role: "control replica",
			Description: "bytes of a full view sent to an entry that starts",
			SizeName:    "backend servers", Unit: Bytes, Sizes: fleetSizes(),
			Measure: func(n int) (float64, error) {
				return size(&pb.WatchResponse{Full: true, Servers: sampleServers(n)}), nil
			},
		},
		{
			Name: "full-view-per-member", Role: "control replica",
			Description: "bytes of the declaration sent to an entry that starts",
			SizeName:    "members", Unit: Bytes, Sizes: memberSizes(),
			Measure: func(n int) (float64, error) {
				objects := sampleDeclaration(n).ToProto().Objects
				return size(&pb.WatchResponse{Full: true, Objects: objects}), nil
			},
		},
		{
			Name: "full-view-per-entry", Role: "control replica",
			Description: "bytes of the list of entries sent to an entry that starts",
			SizeName:    "entries", Unit: Bytes, Sizes: entrySizes(),
			Measure: func(n int) (float64, error) {
				return size(&pb.WatchResponse{Full: true, Entries: sampleEntries(n)}), nil
			},
		},
		{
			Name: "delta-per-server-change", Role: "entry",
			Description: "bytes of a delta when that many servers change at once",
			SizeName:    "servers changed", Unit: Bytes, Sizes: []int{1, 4, 16, 64, 256},
			Measure: func(n int) (float64, error) {
				return size(&pb.WatchResponse{Version: 1 << 20, Servers: sampleServers(n)}), nil
			},
		},
		{
			Name: "delta-per-declaration-object", Role: "entry",
			Description: "bytes of a delta when that many members of a declaration change",
			SizeName:    "objects changed", Unit: Bytes, Sizes: []int{1, 4, 16, 64},
			Measure: func(n int) (float64, error) {
				return size(memberDelta(n)), nil
			},
		},
	}
}

// memberDelta is a delta that carries n members of a declaration.
func memberDelta(n int) *pb.WatchResponse {
	delta := &pb.WatchResponse{Version: 1 << 20, Revision: 2}
	for _, o := range sampleDeclaration(n).ToProto().Objects {
		if o.Kind == "member" {
			delta.Objects = append(delta.Objects, o)
		}
	}
	return delta
}

func size(m proto.Message) float64 { return float64(proto.Size(m)) }
