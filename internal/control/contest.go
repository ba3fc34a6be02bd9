package control

import (
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestseam.dev/goldcrestseam/internal/incarnation"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// holderSilence is the silence after which one report of a new incarnation replaces a record.
	// Servers report about once a second and need longer than this to start again.
	holderSilence = 2 * time.Second
	// confirmingReports is how many reports, none of the holder's between them, replace a record
	// that one report must not.
	confirmingReports = 2
	// minReportSpacing separates two reports that count: what a partition has held back comes at once.
	// Servers report about once a second.
	minReportSpacing = time.Second
)

// rival reports for an address that another one holds: another incarnation, or the same one with
// properties that an incarnation never changes, which is then another writer.
//
// Failure: a report that was delayed until its sender has crashed and a new incarnation runs at
// the address, or one report of another writer, decides over a record that the live server
// confirms each second. The server gets no requests until its record is removed. So what goes on
// reporting holds the address: a rival takes it over with its first report only if the holder is
// silent, and otherwise by reports that go on while the holder sends none. What runs at the address
// decides before that, if it answers (see checkAddress).
type rival struct {
	announcement *pb.Announcement
	source       announcementSource
	reports      int
	at           time.Duration
}

// count counts a report of the rival, unless it is an older or repeated one, or comes together with the last.
func (v *rival) count(source announcementSource, now time.Duration) {
	repeated := source.sequence > 0 && source.sequence <= v.source.sequence
	if v.reports > 0 && (repeated || now-v.at < minReportSpacing) {
		return
	}
	v.reports++
	v.source, v.at = source, now
}

// counted returns how many of the rival's reports count.
func (v *rival) counted() int {
	if v == nil {
		return 0
	}
	return v.reports
}

// holder returns the record of the server that holds an address, as it will be once all
// proposals are committed, or nil.
func (r *Reducer) holder(id string) *pb.BackendServer {
	if t := r.lead.servers[id]; t != nil && t.proposed != nil {
		return t.proposed
	}
	return r.state.servers[id].recorded()
}

// sameVoice reports whether an announcement can come from the server of that record. Entries
// relay only announcements of the native protocol, whose incarnation ids no other writer knows.
func sameVoice(known, info *pb.BackendServer, source announcementSource) bool {
	if known.GetIncarnation() != info.GetIncarnation() {
		return false
	}
	return !source.direct() || known.GetKind() == info.GetKind() && known.GetModel() == info.GetModel() &&
		slices.Equal(known.GetServices(), info.GetServices()) && known.GetDataCentre() == info.GetDataCentre() &&
		known.GetSlots() == info.GetSlots() && known.GetSoftwareVersion() == info.GetSoftwareVersion() && known.GetSpot() == info.GetSpot()
}

// believed reports whether an announcement may change the record of its address.
func (r *Reducer) believed(a *pb.Announcement, source announcementSource) bool {
	info := a.GetServer()
	t, known := r.lead.servers[info.GetId()], r.holder(info.GetId())
	if t == nil || known == nil || sameVoice(known, info, source) {
		return true
	}
	other := known.GetIncarnation() != info.GetIncarnation()
	leaving := other && info.GetState() == pb.ServerState_SERVER_STATE_LEAVING
	if other && !leaving && (t.hasEnded(info.GetIncarnation()) || t.hasEnded(known.GetIncarnation())) {
		return !t.hasEnded(info.GetIncarnation())
	}
	if incarnation.Before(known.GetIncarnation(), info.GetIncarnation()) || other && t.incarnation == info.GetIncarnation() {
		return true
	}
	if other && !leaving && t.silent(known, r.now) && !r.state.servers[info.GetId()].wasReplaced(info.GetIncarnation()) {
		return true
	}
	if t.rival == nil || !sameVoice(t.rival.announcement.GetServer(), info, source) {
		t.rival = &rival{}
	}
	t.rival.announcement = a
	if leaving {
		// What leaves needs no address.
		return false
	}
	t.rival.count(source, r.now)
	return t.rival.reports >= confirmingReports
}

// silent reports whether the holder of an address has ended, or sent nothing for a while.
func (t *trackedServer) silent(known *pb.BackendServer, now time.Duration) bool {
	return known.GetLeft() || known.GetState() == pb.ServerState_SERVER_STATE_LEAVING ||
		known.GetState() == pb.ServerState_SERVER_STATE_GONE || now-t.heardAt >= holderSilence
}

// onDoubted handles an announcement that is not believed. answer replies to the caller.
//
// A leaving that is answered must hold, so that of another incarnation is recorded.
func (r *Reducer) onDoubted(info *pb.BackendServer, source announcementSource, answer func(ok bool, err error)) {
	t := r.lead.servers[info.GetId()]
	ended := t.hasEnded(info.GetIncarnation())
	r.log(slog.LevelWarn, "announcement doubted: another server reports from its address", append(source.fields(),
		Field{"server", info.GetId()}, Field{"incarnation", info.GetIncarnation()}, Field{"state", info.GetState().String()},
		Field{"services", info.GetServices()}, Field{"model", info.GetModel()}, Field{"reports", t.rival.counted()}, Field{"ended", ended},
		Field{"holder", t.incarnation}, Field{"holder_silent_ms", (r.now - t.heardAt).Milliseconds()})...)
	switch {
	case info.GetState() != pb.ServerState_SERVER_STATE_LEAVING:
		if !ended && info.GetIncarnation() != t.incarnation {
			r.checkAddress(t, r.holder(info.GetId()), info)
		}
		answer(true, nil)
	case info.GetIncarnation() == t.incarnation:
		answer(false, invalid("the announcement contradicts those that the server goes on sending"))
	default:
		r.recordDeparted(info.GetIncarnation(), answer)
	}
}

// heard records that the holder of the address has reported.
func (t *trackedServer) heard(now time.Duration) {
	t.heardAt = now
	if t.rival != nil {
		t.rival.reports = 0
	}
}

// twoVoices reports whether another writer has reported of late for the incarnation that holds the address. Its
// heartbeats don't tell which of the two sends them.
func (t *trackedServer) twoVoices(now time.Duration) bool {
	return t.rival != nil && t.rival.announcement.GetServer().GetIncarnation() == t.incarnation && now-t.rival.at < serverLease
}

// replace makes the server that t tracks the holder of its address. The one that held it becomes
// its rival, unless it has ended.
func (t *trackedServer) replace(known *pb.BackendServer) {
	t.sequence, t.low, t.rival = 0, lowReports{}, nil
	if known.GetState() == pb.ServerState_SERVER_STATE_SERVING {
		t.rival = &rival{announcement: &pb.Announcement{Server: known}}
	}
}

// onRivalHeartbeat counts a heartbeat of a rival, which takes over the address if it goes on.
func (r *Reducer) onRivalHeartbeat(t *trackedServer, h *pb.Heartbeat, via string) {
	if t == nil || t.rival == nil {
		return
	}
	info := t.rival.announcement.GetServer()
	if info.GetIncarnation() == t.incarnation || xxhash.Sum64String(info.GetIncarnation()) != h.GetIncarnationHash() {
		return
	}
	if r.believed(t.rival.announcement, announcementSource{via: via}) {
		r.onAnnouncement(announcementSource{via: via}, t.rival.announcement)
	} else if !t.hasEnded(info.GetIncarnation()) {
		r.checkAddress(t, r.holder(info.GetId()), info)
	}
}

// lowReports counts the announcements that were dropped because of their sequence.
type lowReports struct {
	sequence uint64
	reports  int
}

// overtaken reports whether a later announcement of the incarnation was accepted.
//
// Failure: another writer sends one report with a sequence far above the server's own, and all
// of the server's reports count as late until its lease has ended.
func (r *Reducer) overtaken(t *trackedServer, info *pb.BackendServer, source announcementSource) bool {
	if source.sequence >= t.sequence {
		t.low = lowReports{}
		return false
	}
	if info.GetState() == pb.ServerState_SERVER_STATE_LEAVING && !r.hasLeft(info) {
		return false
	}
	if source.sequence > t.low.sequence {
		t.low.sequence = source.sequence
		t.low.reports++
	}
	return t.low.reports < confirmingReports || r.now-t.heardAt < holderSilence
}
