package host

import (
	"context"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

// Guards against a revision that counts in another deployment: an address can be used again, and
// the revisions of two deployments can't be compared.
func TestRevisionIsNotToldToAnotherDeployment(t *testing.T) {
	h := &Host{Settings: &settings.Entry{Common: settings.Common{Cluster: "test"}}}
	h.loop = newLoop(nil, nil)
	h.loop.publish(&entry.Snapshot{Revision: 7})
	for cluster, want := range map[string]uint64{"test": 7, "other": 0, "": 0} {
		answer, err := (&peerExchange{host: h}).Revision(context.Background(), &pb.RevisionRequest{ClusterId: cluster})
		if answer.GetRevision() != want || (err == nil) != (want > 0) {
			t.Errorf("cluster %q: revision %d, error %v", cluster, answer.GetRevision(), err)
		}
	}
}
