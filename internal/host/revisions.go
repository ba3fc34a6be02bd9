package host

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// revisionTimeout bounds a question for another entry's revision. It leaves time on a link that a
// large view fills, and ends before the next question.
const revisionTimeout = 400 * time.Millisecond

// askRevision asks another entry for its revision and passes it to the reducer. An entry of an
// earlier build fails the call, as one that can't be reached does.
func (b *peerExchange) askRevision(e entry.AskRevision) {
	ctx, cancel := context.WithTimeout(b.host.TaskContext, revisionTimeout)
	defer cancel()
	answer, err := b.clientFor(e.Address).Revision(ctx, &pb.RevisionRequest{ClusterId: b.host.Settings.Cluster})
	b.host.Metrics.Scope.Tagged(map[string]string{"ok": okLabel(err)}).Counter("revision_questions").Inc(1)
	if err == nil {
		b.host.Post(entry.RevisionHeard{Revision: answer.GetRevision()})
	}
}

// Revision answers with the revision that this entry has in force.
func (b *peerExchange) Revision(_ context.Context, req *pb.RevisionRequest) (*pb.RevisionAnswer, error) {
	if req.GetClusterId() != b.host.Settings.Cluster {
		return nil, twirp.InvalidArgumentError("cluster_id", "is not that of this entry")
	}
	return &pb.RevisionAnswer{Revision: b.host.Snapshot().Revision}, nil
}
