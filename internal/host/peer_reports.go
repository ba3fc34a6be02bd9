package host

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// peerReportTimeout bounds the sending of one report to another entry. The next report
// replaces it.
const peerReportTimeout = 150 * time.Millisecond

// peerExchange exchanges backlog reports, sums of backlogs and permits with other entries. It
// implements pb.PeerLoad.
type peerExchange struct {
	host *Host
	http *http.Client

	mu         sync.Mutex
	clients    map[string]*peerClient
	aggregator aggregatorState
	// sumRequests, permitRequests and viewRequests are requests of other entries that wait for the
	// reducer.
	sumRequests    pendingRequests[pb.PeerSum]
	permitRequests pendingRequests[pb.PermitAnswer]
	viewRequests   pendingRequests[pb.WatchResponse]
	notices        *noticeSender
}

// peerClient sends reports to one other entry, one at a time. A report is skipped while the
// previous one is still being sent, so that a peer that does not answer blocks one goroutine
// and not twenty more each second.
type peerClient struct {
	pb.PeerLoad
	sending bool
}

func newPeerExchange(h *Host) *peerExchange {
	b := &peerExchange{
		host: h, http: h.Auth.Client(), clients: make(map[string]*peerClient),
	}
	b.notices = newNoticeSender(b.host.TaskContext, b.host.Spawn, b.sendNotice, func(a entry.NoticeAnswered) { b.host.Post(a) },
		func() { b.host.Metrics.Scope.Counter("suspect_notices_dropped").Inc(1) })
	return b
}

// clientFor returns a client for the entry at an address.
func (b *peerExchange) clientFor(address string) pb.PeerLoad {
	return pb.NewPeerLoadProtobufClient(b.host.Auth.URL(address), b.http)
}

// Report receives the report of another entry.
func (b *peerExchange) Report(_ context.Context, req *pb.PeerReport) (*pb.PeerReportAnswer, error) {
	if req.GetEntry() == "" {
		return nil, twirp.RequiredArgumentError("entry")
	}
	b.host.Post(entry.PeerReported{Request: req})
	return &pb.PeerReportAnswer{}, nil
}

// sendAll sends a report to all of its addresses and drops the clients of all other addresses.
func (b *peerExchange) sendAll(e entry.ReportToPeers) {
	b.mu.Lock()
	defer b.mu.Unlock()
	clients := make(map[string]*peerClient, len(e.Addresses))
	for _, address := range e.Addresses {
		c := b.clients[address]
		if c == nil {
			c = &peerClient{PeerLoad: b.clientFor(address)}
		}
		clients[address] = c
		if !c.sending {
			c.sending = true
			b.host.Spawn(func() { b.send(c, e.Request) })
		}
	}
	b.clients = clients
}

// send sends the report to one peer. A lost report is not retried: the next one is newer, and
// without any report the peer falls back on estimates.
func (b *peerExchange) send(c *peerClient, req *pb.PeerReport) {
	ctx, cancel := context.WithTimeout(b.host.TaskContext, peerReportTimeout)
	defer cancel()
	_, err := c.Report(ctx, req)
	b.host.Metrics.Scope.Tagged(map[string]string{"ok": okLabel(err)}).Counter("peer_reports").Inc(1)
	b.mu.Lock()
	c.sending = false
	b.mu.Unlock()
}

func okLabel(err error) string {
	if err != nil {
		return "false"
	}
	return "true"
}
