package declaration

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("declaration")

// BadObject is the type of errors about objects that cannot be decoded.
var BadObject = Namespace.NewType("bad_object")

// The object kinds. Limits, Roles and the rules of backend servers are one object each, with an
// empty name.
const (
	objectLimits      = "limits"
	objectProfile     = "profile"
	objectModel       = "model"
	objectService     = "service"
	objectRoute       = "host_route"
	objectMember      = "member"
	objectServerRules = "backend_servers"
	objectRoles       = "roles"
)

// ToProto returns the declaration as objects in sorted order, with their digest.
func (d *Declaration) ToProto() *pb.Declaration {
	b := &objectBuilder{revision: d.Revision}
	b.add(objectLimits, "", d.Limits)
	for _, p := range d.Profiles {
		b.add(objectProfile, p.Name, p)
	}
	for _, m := range d.Models {
		b.add(objectModel, m.Name, m)
	}
	for _, s := range d.Services {
		b.add(objectService, s.Name, s)
	}
	for _, r := range d.HostRoutes {
		b.add(objectRoute, r.Name, r)
	}
	for _, m := range d.Members {
		b.add(objectMember, m.Name, m)
	}
	b.add(objectServerRules, "", d.BackendServers)
	b.add(objectRoles, "", d.Roles)
	SortObjects(b.objects)
	return &pb.Declaration{
		Revision: d.Revision, Base: d.Base, Author: d.Author,
		Digest: Digest(b.objects), Objects: b.objects,
	}
}

type objectBuilder struct {
	revision uint64
	objects  []*pb.Object
}

func (b *objectBuilder) add(kind, name string, content any) {
	data, err := json.Marshal(content)
	if err != nil {
		// Only channels, functions, NaN and infinities cannot be marshalled. The structs have no such
		// fields, and the checks bound the numbers.
		panic("declaration: " + err.Error())
	}
	b.objects = append(b.objects, &pb.Object{Kind: kind, Name: name, Content: data, Revision: b.revision})
}

// SortObjects sorts objects by kind and name, the order that Digest requires.
func SortObjects(objects []*pb.Object) {
	slices.SortFunc(objects, func(a, b *pb.Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

// Digest returns the hex SHA-256 over sorted objects without their revisions.
func Digest(objects []*pb.Object) string {
	hash := sha256.New()
	for _, o := range objects {
		for _, part := range [][]byte{[]byte(o.Kind), []byte(o.Name), o.Content} {
			sum := sha256.Sum256(part)
			hash.Write(sum[:])
		}
	}
	return hex.EncodeToString(hash.Sum(nil))
}
