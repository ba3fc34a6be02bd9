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

// peerReportTry bounds one report to another entry: the next one replaces it.
const peerReportTry = 150 * time.Millisecond

// peerReports carries entries' reports on their backlogs. It implements pb.PeerLoad.
type peerReports struct {
	host *Host
	http *http.Client

	mu      sync.Mutex
	clients map[string]*peerClient
	sums    sumSource
	// questions are the others' for sums, permits those for permits.
	questions questions[pb.PeerSum]
	permits   questions[pb.PermitAnswer]
}

// peerClient calls one other entry, one call at a time: a report for an entry that is slow
// to take the last one is left out, so that a silent peer costs one goroutine and not
// twenty a second.
type peerClient struct {
	pb.PeerLoad
	busy bool
}

func newPeerReports(h *Host) *peerReports {
	return &peerReports{
		host: h, http: h.Auth.Client(), clients: make(map[string]*peerClient),
	}
}

// peer calls the entry at an address.
func (b *peerReports) peer(address string) pb.PeerLoad {
	return pb.NewPeerLoadProtobufClient(b.host.Auth.URL(address), b.http)
}

// Report takes another entry's report.
func (b *peerReports) Report(_ context.Context, req *pb.PeerReport) (*pb.PeerReportAnswer, error) {
	if req.GetEntry() == "" {
		return nil, twirp.RequiredArgumentError("entry")
	}
	b.host.Post(entry.PeerReported{Request: req})
	return &pb.PeerReportAnswer{}, nil
}

// sendAll sends a report to all of its addresses and forgets clients of others.
func (b *peerReports) sendAll(e entry.ReportToPeers) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := make(map[string]*peerClient, len(e.Addresses))
	for _, address := range e.Addresses {
		c := b.clients[address]
		if c == nil {
			c = &peerClient{PeerLoad: b.peer(address)}
		}
		kept[address] = c
		if !c.busy {
			c.busy = true
			b.host.Spawn(func() { b.send(c, e.Request) })
		}
	}
	b.clients = kept
}

// send gives one peer the report. One that is lost is not sent again: the next is newer, and
// without any the peer falls back on estimates.
func (b *peerReports) send(c *peerClient, req *pb.PeerReport) {
	ctx, cancel := context.WithTimeout(b.host.TaskContext, peerReportTry)
	defer cancel()
	_, err := c.Report(ctx, req)
	b.host.Metrics.Scope.Tagged(map[string]string{"ok": okWord(err)}).Counter("peer_reports").Inc(1)
	b.mu.Lock()
	c.busy = false
	b.mu.Unlock()
}

func okWord(err error) string {
	if err != nil {
		return "false"
	}
	return "true"
}
