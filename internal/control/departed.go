package control

import (
	"maps"
	"slices"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// departedRetention is how long an incarnation that left before control knew of it is
	// remembered: as long as a server that control did know.
	departedRetention = goneRetention
	// maxDeparted bounds these records, so that calls with made-up ids can't fill memory. The
	// whole intended fleet may be told to stop right after its start.
	maxDeparted = 4096
)

// departed holds, for the incarnations that left before control knew of them or that had left
// when another one took their address, the time in Unix milliseconds.
//
// Failure: a server is told to shut down right after its start. Its Leave overtakes its first
// announcement and is confirmed, and the announcement then registers the server as serving, at
// the same leader or the next one: it gets requests although it relies on getting none.
type departed map[string]int64

func (d departed) apply(update *pb.DepartedUpdate, nowMS int64) {
	for _, incarnation := range update.GetIncarnations() {
		d.add(incarnation, nowMS)
	}
}

func (d departed) add(incarnation string, nowMS int64) {
	if _, known := d[incarnation]; !known && len(d) < maxDeparted {
		d[incarnation] = nowMS
	}
}

func (d departed) expired(incarnation string, nowMS int64) bool {
	return nowMS-d[incarnation] >= departedRetention.Milliseconds()
}

func (d departed) anyExpired(nowMS int64) bool {
	for incarnation := range d {
		if d.expired(incarnation, nowMS) {
			return true
		}
	}
	return false
}

func (d departed) expire(nowMS int64) {
	maps.DeleteFunc(d, func(incarnation string, _ int64) bool { return d.expired(incarnation, nowMS) })
}

func (d departed) records() []*pb.DepartedRecord {
	var list []*pb.DepartedRecord
	for _, incarnation := range slices.Sorted(maps.Keys(d)) {
		list = append(list, &pb.DepartedRecord{Incarnation: incarnation, LeftUnixMs: d[incarnation]})
	}
	return list
}

func (d departed) restore(list []*pb.DepartedRecord) {
	for _, record := range list {
		d[record.GetIncarnation()] = record.GetLeftUnixMs()
	}
}

// leftUnknown reports whether the incarnation left before control knew of it: by the committed
// state or by what is being committed.
func (r *Reducer) leftUnknown(incarnation string) bool {
	_, committed := r.state.departed[incarnation]
	return committed || r.lead.departing[incarnation] > 0
}

// recordDeparted records an incarnation that control does not know, and calls answer once
// that is committed.
func (r *Reducer) recordDeparted(incarnation string, answer func(ok bool, err error)) {
	if _, committed := r.state.departed[incarnation]; committed {
		answer(true, nil)
		return
	}
	if len(r.state.departed)+len(r.lead.departing) >= maxDeparted {
		answer(false, twirp.ResourceExhausted.Error("too many unknown servers have left"))
		return
	}
	lead := r.lead
	lead.departing[incarnation]++
	cmd := &pb.Command{Op: &pb.Command_Departed{Departed: &pb.DepartedUpdate{Incarnations: []string{incarnation}}}}
	r.propose(cmd, func(_ proto.Message, ok bool) {
		lead.endDeparting(incarnation)
		answer(ok, nil)
	})
}

func (l *leadership) endDeparting(incarnation string) {
	l.departing[incarnation]--
	if l.departing[incarnation] <= 0 {
		delete(l.departing, incarnation)
	}
}
