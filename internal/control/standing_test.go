package control

import (
	"strings"
	"testing"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Guards against a refusal from which nobody can tell a spare from a voter that elects, or how
// long that has lasted.
func TestRefusalNamesStandingAndAge(t *testing.T) {
	h := newHarness(t)
	h.node.standing = consensus.StandingSpare
	h.stepDown(2)
	h.advance(3 * time.Second)
	err := h.replies[h.send(&pb.StatusRequest{ClusterId: cluster})].Err
	if err == nil || !strings.Contains(err.Error(), "spare, follower, knows no leader, for 3") {
		t.Errorf("refused with %v", err)
	}
}
