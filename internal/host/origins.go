package host

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// originLookupTimeout bounds each half of the search for an origin: at entries, and at control.
	originLookupTimeout = 250 * time.Millisecond
	// controlAskedAfter is how long entries have to answer before control is asked, too. Those that have ended with
	// their machines give no answer at all.
	controlAskedAfter = 50 * time.Millisecond
)

// Origins tells where streams began. An entry that ends takes its callers' streams with it, and they
// take them up at any other one, so each origin is held by several entries, which are found by a
// rendezvous hash of the stream's key, and by two of control's replicas, for the case that all entries
// end.
//
// Entries are told with the first event, when an origin is final. Control is told earlier, with the choice of
// the engine, as all entries may end right after the first event. Where another attempt then begins the stream at
// other software, the first event waits until control knows.
//
// What is not found is not known: an old record must never stand in for a newer one.
type Origins struct {
	host  *Host
	store *origin.Store
	// outbox holds what other processes have still to be told.
	outbox outbox[originHolder, untoldOrigin]
}

func newOrigins(h *Host) *Origins {
	o := &Origins{host: h, store: origin.NewStore()}
	o.outbox = outbox[originHolder, untoldOrigin]{
		send: o.sendBatch, pause: originHolder.pause, dropped: func() { h.Metrics.Scope.Counter("origins_dropped").Inc(1) },
		spawn: h.Spawn, stopped: h.TaskContext, capacity: maxUntoldOrigins,
	}
	return o
}

// ExpectedOrigin is where control was told that a stream will begin.
type ExpectedOrigin struct {
	key  origin.Key
	from decision.Origin
}

// Expect tells control where a stream is expected to begin, for as long as it may be resumed.
func (o *Origins) Expect(k origin.Key, from decision.Origin, keep time.Duration) *ExpectedOrigin {
	expected, snap := origin.ToWire(k, from, keep), o.host.Snapshot()
	expected.Expected = true
	candidates := snap.OriginHolders(k.String(), o.host.Settings.Name, false)
	if len(candidates) == 0 || snap.TellsControl(o.host.Settings.Name) {
		o.tellControl(expected)
		return &ExpectedOrigin{key: k, from: from}
	}
	expected.TellControl = true
	o.tell(originHolder{address: candidates[0]}, untoldOrigin{origin: expected, others: everyNth(candidates[1:], 0, 1)})
	return &ExpectedOrigin{key: k, from: from}
}

// Began records where a stream began, for as long as it may be resumed. It must be called before the
// first event leaves this entry, and does not wait until the others know, unless control expects the stream at
// software that doesn't fit. expected is what control was told with Expect, nil for nothing.
//
// It returns false if control may still say that the stream began where it was expected. The first event must not leave then:
// whoever takes the stream up while this entry is cut off would be led astray.
func (o *Origins) Began(k origin.Key, from decision.Origin, keep time.Duration, expected *ExpectedOrigin) bool {
	told, snap := origin.ToWire(k, from, keep), o.host.Snapshot()
	misled := expected != nil && expected.key == k && !origin.Fit(expected.from, from)
	if misled && !o.replaceAtControl(told) {
		return false
	}
	o.store.Put(k, from, clock.SinceBoot(), keep)
	candidates := snap.OriginHolders(k.String(), o.host.Settings.Name, false)
	holders := min(originHolders, len(candidates))
	passOn := holders > 0 && !snap.TellsControl(o.host.Settings.Name)
	for n, address := range candidates[:holders] {
		u := untoldOrigin{origin: told, others: everyNth(candidates[holders:], n, holders)}
		if n == 0 && passOn {
			u.origin = origin.ToWire(k, from, keep)
			u.origin.TellControl = true
		}
		o.tell(originHolder{address: address}, u)
	}
	if !passOn {
		o.tellControl(told)
	}
	return true
}

// everyNth returns the elements at n, n+step, n+2*step and so on.
func everyNth(list []string, n, step int) []string {
	var out []string
	for i := n; i < len(list) && i < originsAsked-originHolders; i += step {
		out = append(out, list[i])
	}
	return out
}

// controlReplicas returns the addresses of control's replicas, in an order that differs between entries.
func (o *Origins) controlReplicas() []string {
	list := slices.Clone(o.host.Snapshot().Control)
	if len(list) == 0 {
		list = o.host.Control.Addresses()
	}
	hash := func(address string) uint64 { return xxhash.Sum64String(o.host.Settings.Name + "\x00" + address) }
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(hash(a), hash(b)) })
	return list
}

// Lookup is what a search for the origin of a stream found.
type Lookup struct {
	// Origin is where the stream began, nil if that is not known.
	Origin *decision.Origin
	// Holder is the address that knew it, empty for this entry itself.
	Holder string
	// Asked is how many were asked, Answered how many of them have said whether they know it.
	Asked, Answered int
	// Complete is set if enough have answered to say that nobody knows it.
	Complete bool
	// Took is how long the search took.
	Took time.Duration
	// expected are the answers of those that know only where the stream was expected to begin.
	expected []originAnswer
}

// take takes an answer, and returns true once the origin is known. What was expected is taken for it if enough have
// answered and nobody says otherwise: those who were told of another one would.
func (l *Lookup) take(a originAnswer, enough int) bool {
	if a.answered {
		l.Answered++
	}
	l.Complete = l.Answered >= enough
	switch {
	case a.origin != nil && a.expected:
		l.expected = append(l.expected, a)
	case a.origin != nil:
		l.Origin, l.Holder = a.origin, a.address
		return true
	}
	if !l.Complete || len(l.expected) == 0 {
		return false
	}
	first := l.expected[0]
	for _, other := range l.expected[1:] {
		if !origin.Fit(*first.origin, *other.origin) {
			return false
		}
	}
	l.Origin, l.Holder = first.origin, first.address
	return true
}

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

// add adds the answers of others that were asked.
func (l *Lookup) add(others *Lookup) {
	l.Origin, l.Holder = others.Origin, others.Holder
	l.Asked, l.Answered, l.Complete = l.Asked+others.Asked, l.Answered+others.Answered, l.Complete && others.Complete
}

// Find searches for the place where a stream began: at the entries, and, unless these know it at once, at
// control's replicas, which know it also if all entries have ended since.
func (o *Origins) Find(ctx context.Context, k origin.Key) *Lookup {
	start := clock.SinceBoot()
	if own, known := o.store.Get(k, start); known {
		return &Lookup{Origin: &own}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, found, pending := &Lookup{Complete: true}, make(chan *Lookup, 2), 1
	o.host.Spawn(func() { found <- o.askEntries(ctx, k) })
	select {
	case entries := <-found:
		l.add(entries)
		pending = 0
	case <-time.After(controlAskedAfter):
	}
	if l.Origin == nil {
		o.host.Spawn(func() { found <- o.askControl(ctx, k) })
		pending++
	}
	for ; pending > 0 && l.Origin == nil; pending-- {
		l.add(<-found)
	}
	l.Took = clock.SinceBoot() - start
	return l
}

// askEntries asks those of the other entries that may know the origin.
func (o *Origins) askEntries(ctx context.Context, k origin.Key) *Lookup {
	asked := o.host.Snapshot().OriginHolders(k.String(), o.host.Settings.Name, true)
	asked = asked[:min(originsAsked, len(asked))]
	return o.askAll(ctx, asked, len(asked), func(ctx context.Context, address string, q *pb.FindOriginRequest) (*pb.StreamOrigin, error) {
		return o.host.peers.clientFor(address).FindOrigin(ctx, q)
	}, k)
}

// askControl asks control's replicas. Without one of them the search is complete all the same: each
// origin is told to two.
func (o *Origins) askControl(ctx context.Context, k origin.Key) *Lookup {
	replicas := o.controlReplicas()
	enough := max(1, len(replicas)-controlHolders+1)
	return o.askAll(ctx, replicas, enough, func(ctx context.Context, address string, q *pb.FindOriginRequest) (*pb.StreamOrigin, error) {
		return o.controlClient(address).FindOrigin(ctx, q)
	}, k)
}

// findCall asks the process at an address for an origin.
type findCall func(ctx context.Context, address string, q *pb.FindOriginRequest) (*pb.StreamOrigin, error)

// askAll asks all addresses at once, until one knows the origin, or enough have answered and some of them know
// where it was expected.
func (o *Origins) askAll(ctx context.Context, addresses []string, enough int, find findCall, k origin.Key) *Lookup {
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	answers := make(chan originAnswer, len(addresses))
	for _, address := range addresses {
		o.host.Spawn(func() { answers <- o.ask(ctx, address, find, k) })
	}
	l := &Lookup{Asked: len(addresses), Complete: enough == 0}
	for range addresses {
		if l.take(<-answers, enough) {
			return l
		}
	}
	return l
}

// originAnswer is what a process says of a stream: where it began, nothing, or no answer at all.
type originAnswer struct {
	address  string
	origin   *decision.Origin
	answered bool
	// expected is set if the process knows only where the stream was expected to begin.
	expected bool
}

func (o *Origins) ask(ctx context.Context, address string, find findCall, k origin.Key) originAnswer {
	found, err := find(ctx, address, &pb.FindOriginRequest{
		ClusterId: o.host.Settings.Cluster, Member: k.Member, RequestId: k.RequestID,
	})
	answer := originAnswer{address: address, answered: true}
	var twerr twirp.Error
	switch {
	case err == nil:
		from := origin.FromWire(found)
		answer.origin, answer.expected = &from, found.GetExpected()
	case errors.As(err, &twerr) && (twerr.Code() == twirp.NotFound || twerr.Code() == twirp.BadRoute):
		// A process of an earlier build, which has no such call, was told nothing.
	case errors.Is(err, syscall.ECONNREFUSED):
		// Its process has ended, and what it alone knew with it.
	case errors.Is(ctx.Err(), context.Canceled):
		// Another one has answered.
		answer.answered = false
	default:
		answer.answered = false
		o.host.Log.Info("origin of a stream not answered", "address", address, "request_id", k.RequestID, "error", err.Error())
	}
	return answer
}

// RememberOrigins stores where streams of another entry began.
func (b *peerExchange) RememberOrigins(_ context.Context, req *pb.RememberOriginsRequest) (*pb.RememberOriginsResponse, error) {
	if req.GetClusterId() != b.host.Settings.Cluster {
		return nil, twirp.InvalidArgument.Error("another cluster")
	}
	for _, told := range req.GetOrigins() {
		if !told.GetExpected() {
			b.host.Origins.store.Remember([]*pb.StreamOrigin{told}, clock.SinceBoot())
		}
		if told.GetTellControl() {
			b.host.Origins.tellControl(told)
		}
	}
	return &pb.RememberOriginsResponse{}, nil
}

// FindOrigin returns where a stream began, as far as this entry knows.
func (b *peerExchange) FindOrigin(_ context.Context, req *pb.FindOriginRequest) (*pb.StreamOrigin, error) {
	found := b.host.Origins.store.Find(req, clock.SinceBoot())
	if found == nil || req.GetClusterId() != b.host.Settings.Cluster {
		return nil, twirp.NotFoundError("this entry does not know where the stream began")
	}
	return found, nil
}
