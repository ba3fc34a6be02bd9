package runner

import (
	"bytes"
	"sync"

	"google.golang.org/protobuf/reflect/protoreflect"

	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// packFrom is from how many records on an answer is packed.
	packFrom = 16
	// maxPackings bounds the packed answers that are kept.
	maxPackings  = 64
	fieldObjects = protoreflect.Name("objects")
)

// viewPacker compresses the answers that many entries get, each one once. It does so on the
// calls' goroutines: the control goroutine has heartbeats to send meanwhile.
//
// Failure: a change of thousands of routes, or a view of thousands of servers, was encoded
// anew for each of hundreds of entries and sent as it was. The leader's processor and link
// took seconds for it, in which it lost its leadership and the entries their leases.
type viewPacker struct {
	mu      sync.Mutex
	version uint64
	views   map[*pb.WatchResponse]*packing
	// objects holds the packed objects of one revision, by how many they are: of what
	// entries lack of a revision, one answer's objects include the next one's.
	revision uint64
	objects  map[int]*packing
}

// packing is something that is packed by the first who needs it.
type packing struct {
	once sync.Once
	data []byte
	err  error
}

func newViewPacker() *viewPacker {
	return &viewPacker{views: make(map[*pb.WatchResponse]*packing), objects: make(map[int]*packing)}
}

// answer gives the answer to a call packed, or as it is where that is not worth it or the
// entry is of a release that reads no packed ones. Errors: those of encoding.
func (p *viewPacker) answer(q *pb.WatchRequest, resp *pb.WatchResponse) (*pb.WatchResponse, error) {
	records := len(resp.GetObjects()) + len(resp.GetServers()) + len(resp.GetEntries())
	if !q.GetTakesPacked() || records < packFrom {
		return resp, nil
	}
	view := p.view(resp)
	view.once.Do(func() { view.data, view.err = p.packParts(resp) })
	if view.err != nil {
		return nil, view.err
	}
	return &pb.WatchResponse{Packed: view.data}, nil
}

// view finds or makes the packing of an answer. Those of other versions of the view are let go.
func (p *viewPacker) view(resp *pb.WatchResponse) *packing {
	p.mu.Lock()
	defer p.mu.Unlock()
	if resp.GetVersion() != p.version || len(p.views) >= maxPackings {
		p.version = resp.GetVersion()
		clear(p.views)
	}
	if p.views[resp] == nil {
		p.views[resp] = &packing{}
	}
	return p.views[resp]
}

// packParts packs the objects apart from the rest: entries come and go while the declaration
// stays as it is.
func (p *viewPacker) packParts(resp *pb.WatchResponse) ([]byte, error) {
	objects, rest := split(resp)
	known := p.objectsOf(resp)
	known.once.Do(func() { known.data, known.err = rpc.PackPart(objects) })
	if known.err != nil {
		return nil, known.err
	}
	packed, err := rpc.PackPart(rest)
	if err != nil {
		return nil, err
	}
	return bytes.Join([][]byte{known.data, packed}, nil), nil
}

func (p *viewPacker) objectsOf(resp *pb.WatchResponse) *packing {
	p.mu.Lock()
	defer p.mu.Unlock()
	if resp.GetRevision() != p.revision || len(p.objects) >= maxPackings {
		p.revision = resp.GetRevision()
		clear(p.objects)
	}
	count := len(resp.GetObjects())
	if p.objects[count] == nil {
		p.objects[count] = &packing{}
	}
	return p.objects[count]
}

// split gives an answer's objects and all else; both share what they hold with it.
func split(resp *pb.WatchResponse) (objects, rest *pb.WatchResponse) {
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
