package runner

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/rpc"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

const (
	// relayReportInterval is how often the leader gets a report of the servers that
	// repeated their announcement. Servers announce about once a second, and their lease is
	// five seconds.
	relayReportInterval = 500 * time.Millisecond
	// reportValidity is how long after its last accepted report this replica may answer
	// servers itself: three reports may fail.
	reportValidity = 2 * time.Second
	// maxAnnouncementsPerCall bounds the announcements in one call to the leader.
	maxAnnouncementsPerCall = 200
	// maxRelayedServers bounds the servers that are remembered.
	maxRelayedServers = 10_000
)

// announcementRelay handles backend servers' announcements at a replica that does not lead.
// A new or changed announcement is forwarded and answered once the leader has answered. An
// unchanged one is answered at once; the leader only gets the server's id, in one report
// for all servers.
//
// This spreads the load of thousands of servers that announce themselves each second.
// Without it they would use up the leader's processor and file descriptors, and a new
// leader would get all of them at once.
//
// Failure: a replica whose reports don't reach the leader keeps answering servers, and
// their leases expire. So it answers none while its reports are not accepted, and the
// servers switch to another replica.
type announcementRelay struct {
	cluster, name, address string
	auth                   *rpc.Auth
	http                   *http.Client
	log                    *slog.Logger

	mu        sync.Mutex
	confirmed map[string]*confirmedAnnouncement
	// pending holds announcements for the leader, the newest of each server, in order. wake
	// is signaled when one is added.
	pending []*pendingAnnouncement
	wake    chan struct{}
	// leader is the address of the leader that has the confirmed announcements.
	leader string
	// reporters are the other replicas that report to this one, and when each last did.
	reporters map[string]time.Duration
	// lastAcceptedAt is when the last accepted report was sent, zero for never.
	lastAcceptedAt time.Duration
	wasAccepted    bool
}

// pendingAnnouncement is an announcement that waits for the leader's answer.
type pendingAnnouncement struct {
	announcement *pb.Announcement
	sequence     uint64
	leader       string
	// done receives the outcome; it is buffered, so that sending never blocks.
	done chan error
}

// confirmedAnnouncement is the last announcement of a server that the leader has accepted.
type confirmedAnnouncement struct {
	announcement *pb.Announcement
	sequence     uint64
	// repeated is set when the server has announced the same since the last report.
	repeated bool
}

func newAnnouncementRelay(cfg *settings.Control, auth *rpc.Auth, log *slog.Logger) *announcementRelay {
	return &announcementRelay{
		cluster: cfg.Cluster, name: cfg.Name, address: cfg.Address, auth: auth, http: auth.Client(), log: log, confirmed: make(map[string]*confirmedAnnouncement),
		reporters: make(map[string]time.Duration), wake: make(chan struct{}, 1),
	}
}

// announce forwards a server's announcement to the leader, and returns when the leader has
// accepted it. Errors: twirp errors.
//
// Announcements that arrive while a call is in flight are sent together in the next one.
// With one call each, a leader that is slow for a moment, as when thousands of servers
// switch to a new one, would get more calls the slower it answers.
func (r *announcementRelay) announce(ctx context.Context, leader string, a *pb.Announcement, sequence uint64) error {
	if r.recordRepeat(leader, a, sequence) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	pending := &pendingAnnouncement{announcement: a, sequence: sequence, leader: leader, done: make(chan error, 1)}
	r.enqueue(pending)
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
		return twirp.DeadlineExceeded.Error("the leader has not taken it in time")
	}
}

// enqueue replaces an older announcement of the same server, or appends to the queue.
func (r *announcementRelay) enqueue(pending *pendingAnnouncement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.pending {
		if other.announcement.GetServer().GetId() == pending.announcement.GetServer().GetId() {
			other.done <- twirp.Aborted.Error("a later word has come")
			r.pending[i] = pending
			return
		}
	}
	r.pending = append(r.pending, pending)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// sendAnnouncements sends announcements to the leader, one call at a time, until ctx ends.
func (r *announcementRelay) sendAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for batch := r.nextBatch(); len(batch) > 0; batch = r.nextBatch() {
			r.sendBatch(ctx, batch)
		}
	}
}

// nextBatch takes the announcements of the next call, all for the same leader.
func (r *announcementRelay) nextBatch() []*pendingAnnouncement {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for n < len(r.pending) && n < maxAnnouncementsPerCall && r.pending[n].leader == r.pending[0].leader {
		n++
	}
	batch := slices.Clone(r.pending[:n])
	r.pending = slices.Delete(r.pending, 0, n)
	return batch
}

func (r *announcementRelay) sendBatch(ctx context.Context, batch []*pendingAnnouncement) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	req := &pb.AnnounceRequest{ClusterId: r.cluster}
	for _, pending := range batch {
		req.Words = append(req.Words, &pb.AnnouncedWord{Announcement: pending.announcement, Sequence: pending.sequence})
	}
	resp, err := pb.NewControlProtobufClient(r.auth.URL(batch[0].leader), r.http).Announce(ctx, req)
	for _, pending := range batch {
		switch reason, failed := resp.GetFailed()[pending.announcement.GetServer().GetId()]; {
		case err != nil:
			pending.done <- err
		case failed:
			pending.done <- twirp.Unavailable.Error(reason)
		default:
			r.recordConfirmed(pending.leader, pending.announcement, pending.sequence)
			pending.done <- nil
		}
	}
}

// recordRepeat reports whether the leader already has the announcement, and marks it for
// the next report.
func (r *announcementRelay) recordRepeat(leader string, a *pb.Announcement, sequence uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.confirmed[a.GetServer().GetId()]
	if r.leader != leader || c == nil || sequence < c.sequence || !r.acceptedByLeader() || !proto.Equal(c.announcement, a) {
		return false
	}
	c.sequence, c.repeated = sequence, true
	return true
}

// acceptedByLeader reports whether the leader accepts this replica's reports.
func (r *announcementRelay) acceptedByLeader() bool {
	return r.lastAcceptedAt > 0 && clock.SinceBoot() < r.lastAcceptedAt+reportValidity
}

func (r *announcementRelay) recordConfirmed(leader string, a *pb.Announcement, sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.switchLeader(leader)
	if len(r.confirmed) < maxRelayedServers || r.confirmed[a.GetServer().GetId()] != nil {
		r.confirmed[a.GetServer().GetId()] = &confirmedAnnouncement{announcement: a, sequence: sequence}
	}
}

// switchLeader discards what an earlier leader confirmed.
func (r *announcementRelay) switchLeader(leader string) {
	if r.leader != leader {
		r.leader, r.lastAcceptedAt = leader, 0
		clear(r.confirmed)
	}
}

// runReports reports to the leader until ctx ends.
func (r *announcementRelay) runReports(ctx context.Context, currentLeader func() (string, bool)) {
	ticker := time.NewTicker(relayReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if leader, self := currentLeader(); !self && leader != "" {
				r.report(ctx, leader)
			}
		}
	}
}

// report sends the leader the servers that repeated their announcement.
func (r *announcementRelay) report(ctx context.Context, leader string) {
	heartbeats := r.takeRepeated(leader)
	sent := clock.SinceBoot()
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	client := pb.NewControlProtobufClient(r.auth.URL(leader), r.http)
	resp, err := client.Report(ctx, &pb.ReportRequest{
		ClusterId: r.cluster, Entry: &pb.EntryIdentity{Name: r.name}, Replica: r.address, Heartbeats: heartbeats,
	})
	r.onReportAnswered(leader, sent, heartbeats, resp, err)
}

func (r *announcementRelay) takeRepeated(leader string) []*pb.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.switchLeader(leader)
	var heartbeats []*pb.Heartbeat
	for id, c := range r.confirmed {
		if c.repeated {
			c.repeated = false
			heartbeats = append(heartbeats, &pb.Heartbeat{
				Server: id, IncarnationHash: xxhash.Sum64String(c.announcement.GetServer().GetIncarnation()),
			})
		}
	}
	slices.SortFunc(heartbeats, func(a, b *pb.Heartbeat) int { return cmp.Compare(a.GetServer(), b.GetServer()) })
	return heartbeats
}

// onReportAnswered handles the answer to a report that was sent at that time. Servers that
// the leader requests are forwarded in full with their next announcement.
func (r *announcementRelay) onReportAnswered(leader string, sent time.Duration, heartbeats []*pb.Heartbeat, resp *pb.ReportResponse, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader != leader {
		return
	}
	if err == nil {
		r.lastAcceptedAt = sent
		for _, id := range resp.GetTellInFull() {
			delete(r.confirmed, id)
		}
	} else {
		for _, h := range heartbeats {
			if c := r.confirmed[h.GetServer()]; c != nil {
				c.repeated = true
			}
		}
	}
	if accepted := r.acceptedByLeader(); accepted != r.wasAccepted {
		r.wasAccepted = accepted
		r.log.Info("relaying of backend servers' announcements changed", "taken_here", accepted, "leader", leader, "servers", len(r.confirmed), "error", errorCode(err))
	}
}

func errorCode(err error) string {
	if twerr, ok := err.(twirp.Error); ok {
		return string(twerr.Code())
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// recordReporter records that another replica relays servers' announcements to this one.
func (r *announcementRelay) recordReporter(address string) {
	if address == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reporters[address] = clock.SinceBoot()
}

// replicaFor returns the replica that should take a server's next announcements. A follower
// chooses itself. The leader chooses by rendezvous hash among itself and the replicas that
// report to it, so that servers that switched to a new leader are spread again.
func (r *announcementRelay) replicaFor(server string, isLeader bool) string {
	chosen := r.address
	if !isLeader {
		return chosen
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, at := range r.reporters {
		if clock.SinceBoot() >= at+reportValidity {
			delete(r.reporters, address)
			continue
		}
		if xxhash.Sum64String(address+server) > xxhash.Sum64String(chosen+server) {
			chosen = address
		}
	}
	return chosen
}
