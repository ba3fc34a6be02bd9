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
	// wordsEvery is how often the leader is told which servers were heard: servers tell
	// themselves about once a second, and their lease is five.
	wordsEvery = 500 * time.Millisecond
	// wordsTrusted is how long after the leader last took such a report servers may rely on
	// this replica: three reports may fail.
	wordsTrusted = 2 * time.Second
	// maxWords bounds the words of one call to the leader.
	maxWords = 200
	// maxRelayed bounds the servers that are remembered.
	maxRelayed = 10_000
)

// wordRelay takes backend servers' words at a replica that does not lead. What is new goes
// to the leader, and is answered when the leader has answered; of a word that the leader has
// already, only that it came again, in one report for all servers.
//
// It answers thousands of servers that announce themselves each second: at the leader alone
// they take its processor and its descriptors, and a new leader gets all of them at once.
//
// Failure: a replica that the leader does not hear would go on answering servers whose leases
// run out. It answers none once its reports are not taken: they move on to another replica.
type wordRelay struct {
	cluster, name, address string
	auth                   *rpc.Auth
	http                   *http.Client
	log                    *slog.Logger

	mu   sync.Mutex
	told map[string]*toldWord
	// waiting are words for the leader, the newest of each server, in order; wake is told of
	// the first one.
	waiting []*waitingWord
	wake    chan struct{}
	// leader is the one that has taken the words.
	leader string
	// reporters are the other replicas that report here, and when each last did.
	reporters map[string]time.Duration
	// takenAt is when it last took a report, zero for never.
	takenAt time.Duration
	trusted bool
}

// waitingWord is a server's word on its way to the leader.
type waitingWord struct {
	word     *pb.Announcement
	sequence uint64
	leader   string
	// done gets the outcome; it has room for it.
	done chan error
}

// toldWord is the last word of a server that the leader has taken.
type toldWord struct {
	word     *pb.Announcement
	sequence uint64
	// again is set once the server has said the same since the last report.
	again bool
}

func newWordRelay(cfg *settings.Control, auth *rpc.Auth, log *slog.Logger) *wordRelay {
	return &wordRelay{
		cluster: cfg.Cluster, name: cfg.Name, address: cfg.Address, auth: auth, http: auth.Client(), log: log, told: make(map[string]*toldWord),
		reporters: make(map[string]time.Duration), wake: make(chan struct{}, 1),
	}
}

// announce takes a server's word for the leader at an address, and returns when the leader has
// taken it. Errors: twirp errors.
//
// Words that come while a call is under way go together in the next one. With a call each a
// leader that is slow for a moment, as when thousands of servers turn to a new one, gets more
// calls the slower it answers.
func (w *wordRelay) announce(ctx context.Context, leader string, a *pb.Announcement, sequence uint64) error {
	if w.knows(leader, a, sequence) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callersWait)
	defer cancel()
	waits := &waitingWord{word: a, sequence: sequence, leader: leader, done: make(chan error, 1)}
	w.enqueue(waits)
	select {
	case err := <-waits.done:
		return err
	case <-ctx.Done():
		return twirp.DeadlineExceeded.Error("the leader has not taken it in time")
	}
}

// enqueue puts a word in the place of an older one of its server, or behind all others.
func (w *wordRelay) enqueue(word *waitingWord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.waiting {
		if other.word.GetServer().GetId() == word.word.GetServer().GetId() {
			other.done <- twirp.Aborted.Error("a later word has come")
			w.waiting[i] = word
			return
		}
	}
	w.waiting = append(w.waiting, word)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// sendWords sends words to the leader, one call after the other, until ctx ends.
func (w *wordRelay) sendWords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for list := w.nextWords(); len(list) > 0; list = w.nextWords() {
			w.sendTogether(ctx, list)
		}
	}
}

// nextWords takes the words of the next call: all for one leader.
func (w *wordRelay) nextWords() []*waitingWord {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for n < len(w.waiting) && n < maxWords && w.waiting[n].leader == w.waiting[0].leader {
		n++
	}
	list := slices.Clone(w.waiting[:n])
	w.waiting = slices.Delete(w.waiting, 0, n)
	return list
}

func (w *wordRelay) sendTogether(ctx context.Context, list []*waitingWord) {
	ctx, cancel := context.WithTimeout(ctx, callersWait)
	defer cancel()
	req := &pb.AnnounceRequest{ClusterId: w.cluster}
	for _, word := range list {
		req.Words = append(req.Words, &pb.AnnouncedWord{Announcement: word.word, Sequence: word.sequence})
	}
	resp, err := pb.NewControlProtobufClient(w.auth.URL(list[0].leader), w.http).Announce(ctx, req)
	for _, word := range list {
		switch reason, failed := resp.GetFailed()[word.word.GetServer().GetId()]; {
		case err != nil:
			word.done <- err
		case failed:
			word.done <- twirp.Unavailable.Error(reason)
		default:
			w.taken(word.leader, word.word, word.sequence)
			word.done <- nil
		}
	}
}

// knows tells whether the leader has the word already, and notes that it came again.
func (w *wordRelay) knows(leader string, a *pb.Announcement, sequence uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.told[a.GetServer().GetId()]
	if w.leader != leader || t == nil || sequence < t.sequence || !w.heardByLeader() || !proto.Equal(t.word, a) {
		return false
	}
	t.sequence, t.again = sequence, true
	return true
}

// heardByLeader tells whether the leader takes this replica's reports.
func (w *wordRelay) heardByLeader() bool {
	return w.takenAt > 0 && clock.SinceBoot() < w.takenAt+wordsTrusted
}

func (w *wordRelay) taken(leader string, a *pb.Announcement, sequence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turnTo(leader)
	if len(w.told) < maxRelayed || w.told[a.GetServer().GetId()] != nil {
		w.told[a.GetServer().GetId()] = &toldWord{word: a, sequence: sequence}
	}
}

// turnTo forgets what another leader was told.
func (w *wordRelay) turnTo(leader string) {
	if w.leader != leader {
		w.leader, w.takenAt = leader, 0
		clear(w.told)
	}
}

// run reports to the leader until ctx ends.
func (w *wordRelay) run(ctx context.Context, leads func() (string, bool)) {
	ticker := time.NewTicker(wordsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if leader, self := leads(); !self && leader != "" {
				w.report(ctx, leader)
			}
		}
	}
}

// report tells the leader which servers were heard again.
func (w *wordRelay) report(ctx context.Context, leader string) {
	heard := w.heardAgain(leader)
	sent := clock.SinceBoot()
	ctx, cancel := context.WithTimeout(ctx, callersWait)
	defer cancel()
	client := pb.NewControlProtobufClient(w.auth.URL(leader), w.http)
	resp, err := client.Report(ctx, &pb.ReportRequest{
		ClusterId: w.cluster, Entry: &pb.EntryIdentity{Name: w.name}, Replica: w.address, Heartbeats: heard,
	})
	w.reported(leader, sent, heard, resp, err)
}

func (w *wordRelay) heardAgain(leader string) []*pb.Heartbeat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turnTo(leader)
	var heard []*pb.Heartbeat
	for id, t := range w.told {
		if t.again {
			t.again = false
			heard = append(heard, &pb.Heartbeat{
				Server: id, IncarnationHash: xxhash.Sum64String(t.word.GetServer().GetIncarnation()),
			})
		}
	}
	slices.SortFunc(heard, func(a, b *pb.Heartbeat) int { return cmp.Compare(a.GetServer(), b.GetServer()) })
	return heard
}

// reported notes how the leader has taken a report that was sent at that time. Servers that
// it knows too little of are told in full with their next word.
func (w *wordRelay) reported(leader string, sent time.Duration, heard []*pb.Heartbeat, resp *pb.ReportResponse, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leader != leader {
		return
	}
	if err == nil {
		w.takenAt = sent
		for _, id := range resp.GetTellInFull() {
			delete(w.told, id)
		}
	} else {
		for _, h := range heard {
			if t := w.told[h.GetServer()]; t != nil {
				t.again = true
			}
		}
	}
	if trusted := w.heardByLeader(); trusted != w.trusted {
		w.trusted = trusted
		w.log.Info("words of backend servers", "taken_here", trusted, "leader", leader, "servers", len(w.told), "error", errorOf(err))
	}
}

func errorOf(err error) string {
	if twerr, ok := err.(twirp.Error); ok {
		return string(twerr.Code())
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// noteReporter notes that another replica takes servers' words for this one.
func (w *wordRelay) noteReporter(address string) {
	if address == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reporters[address] = clock.SinceBoot()
}

// replicaFor gives the replica that is to take a server's next words: this one, but where it
// leads the first by a hash among it and those that report to it, so that what turned to a
// new leader spreads again.
func (w *wordRelay) replicaFor(server string, leads bool) string {
	best := w.address
	if !leads {
		return best
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, at := range w.reporters {
		if clock.SinceBoot() >= at+wordsTrusted {
			delete(w.reporters, address)
			continue
		}
		if xxhash.Sum64String(address+server) > xxhash.Sum64String(best+server) {
			best = address
		}
	}
	return best
}
