package control

import (
	"fmt"
	"strings"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Two operators write against the same revision. The first to commit wins. The other must
// be told who won and rebase; otherwise its declaration would silently revert the first
// one's change.
func TestSecondOfTwoRacingOperatorsIsRefused(t *testing.T) {
	h := newHarness(t)
	h.apply(testDeclaration(1, 0, "ann", "a"))
	if r := h.apply(testDeclaration(2, 1, "ben", "b")); !r.GetAccepted() {
		t.Fatalf("first on base 1: %v", r)
	}
	r := h.apply(testDeclaration(3, 1, "cyd", "c"))
	if r.GetAccepted() || r.GetCurrentAuthor() != "ben" || !strings.Contains(r.GetRefusal(), "ben") {
		t.Fatalf("second on base 1: %v", r)
	}
	if got := h.State().Revision(); got != 2 {
		t.Fatalf("revision %d in force", got)
	}
}

// An operator loses the answer while others apply further revisions; the repeated call must
// get the first answer. An operator that used the same number for other content must get a
// refusal, even if the number is long past.
func TestResentRevisionGetsItsFirstAnswer(t *testing.T) {
	h := newHarness(t)
	for i := uint64(1); i <= 5; i++ {
		h.apply(testDeclaration(i, i-1, "ann", "a"))
	}
	if r := h.apply(testDeclaration(3, 2, "ann", "a")); !r.GetAccepted() || !r.GetRepeated() || r.GetCurrentRevision() != 5 {
		t.Fatalf("resent: %v", r)
	}
	for _, other := range []*pb.Declaration{testDeclaration(3, 2, "ann", "other"), testDeclaration(3, 2, "ben", "a")} {
		r := h.apply(other)
		if r.GetAccepted() || !strings.Contains(r.GetRefusal(), "taken by ann") {
			t.Fatalf("other content under a taken number: %v", r)
		}
	}
	if got := h.State().Revision(); got != 5 {
		t.Fatalf("revision %d in force", got)
	}
}

// A wrong digest, a missing declaration or author, or another cluster's id must change
// nothing.
func TestBadApplyChangesNothing(t *testing.T) {
	h := newHarness(t)
	before := string(h.State().Snapshot())
	wrongDigest := testDeclaration(1, 0, "ann", "a")
	wrongDigest.Digest = "0"
	for _, req := range []*pb.ApplyRequest{
		{ClusterId: "other", Declaration: testDeclaration(1, 0, "ann", "a")},
		{ClusterId: cluster, Declaration: wrongDigest},
		{ClusterId: cluster},
		{ClusterId: cluster, Declaration: testDeclaration(1, 0, "", "a")},
	} {
		if r := h.replies[h.send(req)]; r.Err == nil {
			t.Errorf("%v was answered %v", req, r.Response)
		}
	}
	if string(h.State().Snapshot()) != before {
		t.Error("the state changed")
	}
}

// Guards against removed objects that stay in force at entries. Thousands are removed, and
// some are added again.
func TestDeltaListsAllRemovedObjects(t *testing.T) {
	const profiles = 4000
	h := newHarness(t)
	h.apply(withProfiles(1, 0, profiles))
	known := h.State().ViewVersion()
	h.apply(testDeclaration(2, 1, "ann", "a"))
	h.apply(withProfiles(3, 2, 10))
	view := h.State().View(known)
	removed := view.GetRemovedObjects()
	if len(removed) != profiles-10 || removed[0].GetName() != "q00010" || removed[len(removed)-1].GetName() != "q03999" {
		t.Errorf("%d objects are reported as removed", len(removed))
	}
	if restored := len(view.GetObjects()); restored < 10 {
		t.Errorf("%d objects are reported as added again", restored)
	}
}

func withProfiles(revision, base uint64, profiles int) *pb.Declaration {
	d := testDeclaration(revision, base, "ann", "a")
	for i := range profiles {
		d.Objects = append(d.Objects, &pb.Object{Kind: "profile", Name: fmt.Sprintf("q%05d", i), Content: []byte(`{}`)})
	}
	declaration.SortObjects(d.Objects)
	d.Digest = declaration.Digest(d.Objects)
	return d
}

// Guards against a declaration that is accepted and takes more memory or disk than control's machines
// have, at each start again.
func TestDeclarationTooLargeForTheMachineIsRefused(t *testing.T) {
	h := newHarness(t)
	h.apply(testDeclaration(1, 0, "ann", "a"))
	h.cfg.MaxDeclarationBytes = 10 << 10
	for _, newestWins := range []bool{false, true} {
		large := withProfiles(2, 1, 10)
		large.Document = make([]byte, h.cfg.MaxDeclarationBytes)
		r := h.replies[h.send(&pb.ApplyRequest{ClusterId: cluster, Declaration: large, NewestWins: newestWins})]
		if r.Err == nil || !strings.Contains(r.Err.Error(), "too large") || h.State().Revision() != 1 {
			t.Errorf("answered %v, %v; revision %d is in force", r.Response, r.Err, h.State().Revision())
		}
	}
	if r := h.apply(withProfiles(2, 1, 10)); !r.GetAccepted() {
		t.Errorf("a declaration within the limit: %v", r)
	}
}

// Guards against an operator who is told that a replica does not lead, and asks others, when it is the
// leader and has too much waiting.
func TestDeclarationBesideAFullLogIsToldSo(t *testing.T) {
	h := newHarness(t)
	h.node.overloaded = true
	r := h.replies[h.send(&pb.ApplyRequest{ClusterId: cluster, Declaration: testDeclaration(1, 0, "ann", "a")})]
	if r.Err == nil || !strings.Contains(r.Err.Error(), "log does not take") {
		t.Errorf("answered %v, %v", r.Response, r.Err)
	}
	h.node.overloaded = false
	if r := h.apply(testDeclaration(1, 0, "ann", "a")); !r.GetAccepted() {
		t.Errorf("later: %v", r)
	}
}
