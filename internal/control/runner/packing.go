package runner

import (
	"bytes"
	"sync"

	"google.golang.org/protobuf/reflect/protoreflect"

	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// minPackedRecords is the number of records from which an answer is packed.
	minPackedRecords = 16
	// maxPackedParts bounds the packed answers that are cached, and the packed objects.
	maxPackedParts = 64
	fieldObjects   = protoreflect.Name("objects")
)

// viewPacker compresses each answer once for all entries that get it. It runs on the
// goroutines of the calls, so that the control goroutine can send its heartbeats.
//
// Failure: a change of thousands of routes, or a view of thousands of servers, is encoded
// separately for each of hundreds of entries and sent uncompressed. This takes the leader's
// processor and network link seconds, in which it loses its leadership and the entries lose
// their leases.
type viewPacker struct {
	mu      sync.Mutex
	version uint64
	views   map[*pb.WatchResponse]*packedPart
	// objects holds the packed objects of one revision by their number. Within a revision
	// the object lists of any two answers are nested, so that lists of equal length are
	// equal.
	revision uint64
	objects  map[int]*packedPart
}

// packedPart is data that is packed by the first goroutine that needs it.
type packedPart struct {
	once sync.Once
	data []byte
	err  error
}

func newViewPacker() *viewPacker {
	return &viewPacker{views: make(map[*pb.WatchResponse]*packedPart), objects: make(map[int]*packedPart)}
}

// pack returns the packed answer. It returns the answer unchanged if it is small or if the
// entry runs an earlier release that can't unpack it. Errors: those of encoding.
func (p *viewPacker) pack(q *pb.WatchRequest, resp *pb.WatchResponse) (*pb.WatchResponse, error) {
	records := len(resp.GetObjects()) + len(resp.GetServers()) + len(resp.GetEntries())
	if !q.GetTakesPacked() || records < minPackedRecords {
		return resp, nil
	}
	view := p.packedView(resp)
	view.once.Do(func() { view.data, view.err = p.packParts(resp) })
	if view.err != nil {
		return nil, view.err
	}
	return &pb.WatchResponse{Packed: view.data}, nil
}

// packedView returns or adds the packed form of an answer. Those of other view versions are
// dropped.
func (p *viewPacker) packedView(resp *pb.WatchResponse) *packedPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	if resp.GetVersion() != p.version || len(p.views) >= maxPackedParts {
		p.version = resp.GetVersion()
		clear(p.views)
	}
	if p.views[resp] == nil {
		p.views[resp] = &packedPart{}
	}
	return p.views[resp]
}

// packParts packs the objects separately from the rest: entries start and stop often while
// the declaration stays the same.
func (p *viewPacker) packParts(resp *pb.WatchResponse) ([]byte, error) {
	objects, rest := splitObjects(resp)
	packedObjects := p.packedObjects(resp)
	packedObjects.once.Do(func() { packedObjects.data, packedObjects.err = rpc.PackPart(objects) })
	if packedObjects.err != nil {
		return nil, packedObjects.err
	}
	packedRest, err := rpc.PackPart(rest)
	if err != nil {
		return nil, err
	}
	return bytes.Join([][]byte{packedObjects.data, packedRest}, nil), nil
}

func (p *viewPacker) packedObjects(resp *pb.WatchResponse) *packedPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	if resp.GetRevision() != p.revision || len(p.objects) >= maxPackedParts {
		p.revision = resp.GetRevision()
		clear(p.objects)
	}
	count := len(resp.GetObjects())
	if p.objects[count] == nil {
		p.objects[count] = &packedPart{}
	}
	return p.objects[count]
}

// splitObjects returns an answer's objects and the rest; both share their content with the
// answer.
func splitObjects(resp *pb.WatchResponse) (objects, rest *pb.WatchResponse) {
	objects, rest = &pb.WatchResponse{}, &pb.WatchResponse{}
	resp.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if field.Name() == fieldObjects {
			objects.ProtoReflect().Set(field, value)
		} else {
			rest.ProtoReflect().Set(field, value)
		}
		return true
	})
	return objects, rest
}
