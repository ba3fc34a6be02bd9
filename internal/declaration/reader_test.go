package declaration

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// sampleDeclaration returns a declaration with one object of each kind and that many host routes.
func sampleDeclaration(routes int) *Declaration {
	d := &Declaration{
		Revision: 3, Limits: Limits{QuarantineCrashes: 2},
		Profiles:       []Profile{{Name: "urgent", Deadline: time.Second}},
		Models:         []Model{{Name: "m", Version: "1"}},
		Services:       []Service{{Name: "portal", Kind: KindPlain}},
		Members:        []Member{{Name: "hotels", CredentialsSHA256: []string{"hash"}}},
		BackendServers: []BackendServerRule{{Prefix: "checks", Fencing: FencingChecked}},
		Roles:          Roles{MaxUnavailable: 1},
	}
	for i := range routes {
		d.HostRoutes = append(d.HostRoutes, HostRoute{
			Name: fmt.Sprintf("r-%05d", i), Host: "h.example", Prefix: fmt.Sprintf("/%05d/", i), Profile: "urgent",
			Targets: []RouteTarget{{Service: "portal", Weight: 1}},
		})
	}
	return d
}

// Guards against a Reader that returns outdated values after objects have been changed, removed or
// added again.
func TestReaderFollowsEachChange(t *testing.T) {
	r := NewReader()
	check := func(step string, d *Declaration) {
		t.Helper()
		objects := d.ToProto().GetObjects()
		got, err := r.Read(d.Revision, objects)
		if err != nil {
			t.Fatal(err)
		}
		want, err := NewReader().Read(d.Revision, objects)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, want %+v", step, got, want)
		}
	}
	d := sampleDeclaration(10)
	check("first", d)
	d.HostRoutes[3].Targets[0].Weight, d.Limits.QuarantineCrashes, d.Roles.MaxUnavailable = 5, 7, 9
	check("changed", d)
	d.HostRoutes, d.BackendServers = d.HostRoutes[5:], nil
	check("taken out", d)
	check("put back", sampleDeclaration(10))
}

// Guards against a Reader that keeps a part of a declaration that cannot be decoded.
func TestUndecodableDeclarationLeavesReaderUnchanged(t *testing.T) {
	r, objects := NewReader(), sampleDeclaration(3).ToProto().GetObjects()
	if _, err := r.Read(3, objects); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []*pb.Object{{Kind: "none"}, {Kind: objectRoute, Name: "x", Content: []byte("{")}} {
		if _, err := r.Read(4, append([]*pb.Object{bad}, objects...)); err == nil {
			t.Errorf("decoded %v", bad)
		}
	}
	if got, err := r.Read(3, objects); err != nil || len(got.HostRoutes) != 3 {
		t.Errorf("after the error: %v, %v", got, err)
	}
}

// Guards against a change of one route that costs as much as decoding thousands of them.
func TestOnlyChangedObjectIsDecoded(t *testing.T) {
	r := NewReader()
	objects := sampleDeclaration(2000).ToProto().GetObjects()
	allAllocs := testing.AllocsPerRun(1, func() { _, _ = NewReader().Read(3, objects) })
	if _, err := r.Read(3, objects); err != nil {
		t.Fatal(err)
	}
	changed := proto.CloneOf(&pb.Declaration{Objects: objects}).GetObjects()
	for _, o := range changed {
		if o.GetKind() == objectRoute {
			o.Content = []byte(`{"name":"r-00000","host":"other.example"}`)
			break
		}
	}
	changeAllocs := testing.AllocsPerRun(1, func() { _, _ = r.Read(4, changed) })
	if changeAllocs > allAllocs/20 {
		t.Errorf("%v allocations for one change, %v for all objects", changeAllocs, allAllocs)
	}
}
