package host

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/origin"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// originHolders is how many other entries are told where a stream began. With nine entries of
	// which four end at once, one of them is left for 99 of 100 streams.
	originHolders = 3
	// originsAsked is how many entries are asked. It is more than are told: by the view of the entry
	// that asks, others may have come before the holders.
	originsAsked = 6
	// originTimeout bounds one call that tells origins, originLookupTimeout the search for one.
	originTimeout       = 500 * time.Millisecond
	originLookupTimeout = 250 * time.Millisecond
	// maxUntoldOrigins bounds what waits for one entry that is slow to answer.
	maxUntoldOrigins = 1024
)

// Origins tells where streams began. An entry that ends takes its callers' streams with it, and they
// take them up at any other one, so each origin is held by several entries, which are found by a
// rendezvous hash of the stream's key.
//
// What is not found is not known: an old record must never stand in for a newer one, and there is
// none, since an origin is told only once it is final, with the first event.
type Origins struct {
	host  *Host
	store *origin.Store

	mu     sync.Mutex
	queues map[string]*originQueue
}

// originQueue holds what one entry has still to be told, while a call to it is under way.
type originQueue struct {
	waiting []untoldOrigin
	sending bool
}

// untoldOrigin is an origin with the addresses of those that may hold it instead, best first.
type untoldOrigin struct {
	origin *pb.StreamOrigin
	others []string
}

func newOrigins(h *Host) *Origins {
	return &Origins{host: h, store: origin.NewStore(), queues: make(map[string]*originQueue)}
}

// Began records where a stream began, for as long as it may be resumed. It must be called before the
// first event leaves this entry, and does not wait until the other entries know.
func (o *Origins) Began(k origin.Key, from decision.Origin, keep time.Duration) {
	o.store.Put(k, from, clock.SinceBoot(), keep)
	told := &pb.StreamOrigin{
		Member: k.Member, RequestId: k.RequestID, Pool: from.Pool, SoftwareVersion: from.Version,
		Incarnation: from.Incarnation, KeepMs: uint32(keep.Milliseconds()),
	}
	candidates := o.host.Snapshot().OriginHolders(k.String(), o.host.Settings.Name, false)
	holders := min(originHolders, len(candidates))
	for n, address := range candidates[:holders] {
		o.tell(address, untoldOrigin{origin: told, others: everyNth(candidates[holders:], n, holders)})
	}
}

// everyNth returns the elements at n, n+step, n+2*step and so on.
func everyNth(list []string, n, step int) []string {
	var out []string
	for i := n; i < len(list) && i < originsAsked-originHolders; i += step {
		out = append(out, list[i])
	}
	return out
}

// tell passes an origin to an entry, together with the others that come while a call is under way.
func (o *Origins) tell(address string, u untoldOrigin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[address]
	if q == nil {
		q = &originQueue{}
		o.queues[address] = q
	}
	if len(q.waiting) >= maxUntoldOrigins {
		o.host.Metrics.Scope.Counter("origins_dropped").Inc(1)
		return
	}
	q.waiting = append(q.waiting, u)
	if !q.sending {
		q.sending = true
		o.host.Spawn(func() { o.drain(address, q) })
	}
}

// drain tells an entry all that waits for it. What it does not take goes to the next best entry.
func (o *Origins) drain(address string, q *originQueue) {
	for {
		o.mu.Lock()
		batch := q.waiting
		q.waiting = nil
		if len(batch) == 0 {
			q.sending = false
			delete(o.queues, address)
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		err := o.send(address, batch)
		o.host.Metrics.Scope.Tagged(map[string]string{"ok": okLabel(err)}).Counter("origins_told").Inc(int64(len(batch)))
		if err == nil {
			continue
		}
		o.host.Log.Info("another entry has not taken where streams began", "address", address, "streams", len(batch), "error", err.Error())
		for _, u := range batch {
			if len(u.others) > 0 {
				o.tell(u.others[0], untoldOrigin{origin: u.origin, others: u.others[1:]})
			}
		}
	}
}

func (o *Origins) send(address string, batch []untoldOrigin) error {
	ctx, cancel := context.WithTimeout(o.host.TaskContext, originTimeout)
	defer cancel()
	req := &pb.RememberOriginsRequest{ClusterId: o.host.Settings.Cluster}
	for _, u := range batch {
		req.Origins = append(req.Origins, u.origin)
	}
	_, err := o.host.peers.clientFor(address).RememberOrigins(ctx, req)
	return err
}

// Lookup is what a search for the origin of a stream found.
type Lookup struct {
	// Origin is where the stream began, nil if that is not known.
	Origin *decision.Origin
	// Holder is the address that knew it, empty for this entry itself.
	Holder string
	// Asked is how many were asked, Answered how many of them have said whether they know it.
	Asked, Answered int
	// Took is how long the search took.
	Took time.Duration
}

// Complete reports whether all that may know the origin have answered.
func (l *Lookup) Complete() bool { return l.Origin != nil || l.Answered == l.Asked }

// Attr describes the search in a log line.
func (l *Lookup) Attr() slog.Attr {
	attrs := []any{
		slog.Bool("known", l.Origin != nil), slog.Int("asked", l.Asked), slog.Int("answered", l.Answered),
		slog.Int64("took_ms", l.Took.Milliseconds()),
	}
	if l.Origin != nil {
		attrs = append(attrs, slog.String("holder", l.Holder), slog.String("pool", l.Origin.Pool),
			slog.String("version", l.Origin.Version), slog.String("incarnation", l.Origin.Incarnation))
	}
	return slog.Group("origin", attrs...)
}

// Find searches for the place where a stream began.
func (o *Origins) Find(ctx context.Context, k origin.Key) *Lookup {
	start := clock.SinceBoot()
	if own, known := o.store.Get(k, start); known {
		return &Lookup{Origin: &own}
	}
	l := o.askEntries(ctx, k)
	l.Took = clock.SinceBoot() - start
	return l
}

// askEntries asks those of the other entries that may know the origin.
func (o *Origins) askEntries(ctx context.Context, k origin.Key) *Lookup {
	asked := o.host.Snapshot().OriginHolders(k.String(), o.host.Settings.Name, true)
	asked = asked[:min(originsAsked, len(asked))]
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	answers := make(chan originAnswer, len(asked))
	for _, address := range asked {
		o.host.Spawn(func() { answers <- o.ask(ctx, address, k) })
	}
	l := &Lookup{Asked: len(asked)}
	for range asked {
		a := <-answers
		if a.answered {
			l.Answered++
		}
		if a.origin != nil {
			l.Origin, l.Holder = a.origin, a.address
			return l
		}
	}
	return l
}

// originAnswer is what an entry says of a stream: where it began, nothing, or no answer at all.
type originAnswer struct {
	address  string
	origin   *decision.Origin
	answered bool
}

func (o *Origins) ask(ctx context.Context, address string, k origin.Key) originAnswer {
	found, err := o.host.peers.clientFor(address).FindOrigin(ctx, &pb.FindOriginRequest{
		ClusterId: o.host.Settings.Cluster, Member: k.Member, RequestId: k.RequestID,
	})
	answer := originAnswer{address: address, answered: true}
	var twerr twirp.Error
	switch {
	case err == nil:
		answer.origin = &decision.Origin{Pool: found.GetPool(), Version: found.GetSoftwareVersion(), Incarnation: found.GetIncarnation()}
	case errors.As(err, &twerr) && twerr.Code() == twirp.NotFound:
	case errors.Is(err, syscall.ECONNREFUSED):
		// Its process has ended, and what it alone knew with it.
	case errors.Is(ctx.Err(), context.Canceled):
		// Another entry has answered.
		answer.answered = false
	default:
		answer.answered = false
		o.host.Log.Info("another entry has not said where a stream began", "address", address, "request_id", k.RequestID, "error", err.Error())
	}
	return answer
}

// RememberOrigins stores where streams of another entry began.
func (b *peerExchange) RememberOrigins(_ context.Context, req *pb.RememberOriginsRequest) (*pb.RememberOriginsResponse, error) {
	if req.GetClusterId() != b.host.Settings.Cluster {
		return nil, twirp.InvalidArgument.Error("another cluster")
	}
	now := clock.SinceBoot()
	for _, u := range req.GetOrigins() {
		b.host.Origins.store.Put(origin.Key{Member: u.GetMember(), RequestID: u.GetRequestId()}, decision.Origin{
			Pool: u.GetPool(), Version: u.GetSoftwareVersion(), Incarnation: u.GetIncarnation(),
		}, now, time.Duration(u.GetKeepMs())*time.Millisecond)
	}
	return &pb.RememberOriginsResponse{}, nil
}

// FindOrigin returns where a stream began, as far as this entry knows.
func (b *peerExchange) FindOrigin(_ context.Context, req *pb.FindOriginRequest) (*pb.StreamOrigin, error) {
	from, known := b.host.Origins.store.Get(origin.Key{Member: req.GetMember(), RequestID: req.GetRequestId()}, clock.SinceBoot())
	if !known || req.GetClusterId() != b.host.Settings.Cluster {
		return nil, twirp.NotFoundError("this entry does not know where the stream began")
	}
	return &pb.StreamOrigin{
		Member: req.GetMember(), RequestId: req.GetRequestId(), Pool: from.Pool, SoftwareVersion: from.Version, Incarnation: from.Incarnation,
	}, nil
}
