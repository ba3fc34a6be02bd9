package declaration

import (
	"bytes"
	"encoding/json"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Reader reads declarations that follow each other. What a declaration shares with the last
// one that was read is not read again.
//
// Failure: one route of thousands changes, and each process stands still for the time that
// it takes to read them all, a fifth of a second on a small VM, while callers wait.
type Reader struct {
	known map[objectKey]readObject
}

type objectKey struct{ kind, name string }

// readObject is an object's content and what was read from it, which is never changed.
type readObject struct {
	content []byte
	item    any
}

// NewReader gives a reader that has read nothing.
func NewReader() *Reader { return &Reader{} }

// Read puts a declaration together. Errors: BadObject; what was known stays then.
func (r *Reader) Read(revision uint64, objects []*pb.Object) (*Declaration, error) {
	d := &Declaration{Revision: revision}
	next := make(map[objectKey]readObject, len(objects))
	for _, o := range objects {
		key := objectKey{o.GetKind(), o.GetName()}
		known, ok := r.known[key]
		if !ok || !bytes.Equal(known.content, o.GetContent()) {
			item, err := readItem(o)
			if err != nil {
				return nil, BadObject.Wrap(err, "%s %q", o.GetKind(), o.GetName())
			}
			known = readObject{content: o.GetContent(), item: item}
		}
		next[key] = known
		d.take(known.item)
	}
	r.known = next
	return d, nil
}

// readItem reads one object's content.
func readItem(o *pb.Object) (any, error) {
	switch o.GetKind() {
	case objectLimits:
		return readAs[Limits](o)
	case objectProfile:
		return readAs[Profile](o)
	case objectModel:
		return readAs[Model](o)
	case objectService:
		return readAs[Service](o)
	case objectRoute:
		return readAs[HostRoute](o)
	case objectMember:
		return readAs[Member](o)
	case objectServers:
		return readAs[[]BackendServerRule](o)
	case objectRoles:
		return readAs[Roles](o)
	default:
		return nil, BadObject.New("unknown kind")
	}
}

func readAs[T any](o *pb.Object) (any, error) {
	var item T
	err := json.Unmarshal(o.GetContent(), &item)
	return item, err
}

// take adds what was read from an object.
func (d *Declaration) take(item any) {
	switch item := item.(type) {
	case Limits:
		d.Limits = item
	case Profile:
		d.Profiles = append(d.Profiles, item)
	case Model:
		d.Models = append(d.Models, item)
	case Service:
		d.Services = append(d.Services, item)
	case HostRoute:
		d.HostRoutes = append(d.HostRoutes, item)
	case Member:
		d.Members = append(d.Members, item)
	case []BackendServerRule:
		d.BackendServers = item
	case Roles:
		d.Roles = item
	}
}
