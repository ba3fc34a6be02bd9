package control

import (
	"testing"

	"google.golang.org/protobuf/proto"
)

// A list of control replicas that changes without the view changing must reach
// the entries: with a stale cached answer they would go on asking a replica
// that was replaced.
func TestCachedViewFollowsVersionAndMembership(t *testing.T) {
	s := NewState()
	var c viewCache
	first := c.get(s, 0, []string{"a"})
	if c.get(s, 0, []string{"b"}) != first {
		t.Fatal("the same version was worked out twice")
	}
	c.reset()
	if got := c.get(s, 0, []string{"b"}).GetControl(); len(got) != 1 || got[0] != "b" {
		t.Fatalf("control %v after reset, want [b]", got)
	}
	s.changes.version = 7
	fresh := c.get(s, 3, nil)
	want := s.View(3)
	want.LeaseMs = fresh.GetLeaseMs()
	if !proto.Equal(fresh, want) {
		t.Fatalf("cached %v, want %v", fresh, want)
	}
}

func TestCachedViewsAreBounded(t *testing.T) {
	s := NewState()
	var c viewCache
	for known := range uint64(3 * maxCachedViews) {
		c.get(s, known, nil)
	}
	if len(c.byKnown) > maxCachedViews {
		t.Fatalf("%d answers kept, at most %d", len(c.byKnown), maxCachedViews)
	}
}
