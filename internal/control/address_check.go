package control

import (
	"log/slog"
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/incarnation"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// minCheckInterval separates two checks of one address.
	minCheckInterval = 500 * time.Millisecond
	// checkTimeout bounds a check: reports go on to be counted without its result.
	checkTimeout = 500 * time.Millisecond
)

// CheckAddress asks what runs at an address which incarnation it is. The result is an AddressChecked.
type CheckAddress struct {
	Server  string
	Address string
	// HealthPath is the path of the server's health check, empty if its service declares none.
	HealthPath string
	// Candidates are the incarnations that have reported for the address.
	Candidates []string
	Timeout    time.Duration
}

// AddressChecked reports which incarnation answered a CheckAddress.
type AddressChecked struct {
	Server     string
	Candidates []string
	// Incarnation is empty if none answered; Reason then says why.
	Incarnation string
	Reason      string
}

func (CheckAddress) isEffect()  {}
func (AddressChecked) isEvent() {}

// checkAddress asks the address of a server which of two incarnations that report for it runs there.
//
// Failure: reports of both arrive in turn, some of them late, and their order does not tell which
// one started last. Whichever holds the address would keep it for as long as late reports go on.
// No incarnation comes back: the one that answers runs, and the other, which had reported
// before the question, has ended.
func (r *Reducer) checkAddress(t *trackedServer, known, info *pb.BackendServer) {
	if t.checkedAt != 0 && r.now-t.checkedAt < minCheckInterval {
		return
	}
	t.checkedAt = r.now
	r.emit(CheckAddress{
		Server: info.GetId(), Address: info.GetAddress(), HealthPath: r.state.healthPath(info),
		Candidates: []string{known.GetIncarnation(), info.GetIncarnation()}, Timeout: checkTimeout,
	})
}

// checkReplacement checks an address that another incarnation has taken without a proof that it started later.
func (r *Reducer) checkReplacement(t *trackedServer, known, info *pb.BackendServer) {
	unordered := known.GetIncarnation() != info.GetIncarnation() && !incarnation.Before(known.GetIncarnation(), info.GetIncarnation())
	if unordered && !known.GetLeft() && !t.hasEnded(known.GetIncarnation()) {
		r.checkAddress(t, known, info)
	}
}

// healthPath returns the health check of the server's service, empty if none is declared.
func (s *State) healthPath(info *pb.BackendServer) string {
	if s.declared.parsed == nil {
		return ""
	}
	for i := range s.declared.parsed.Services {
		service := &s.declared.parsed.Services[i]
		runs := slices.Contains(info.GetServices(), service.Name) || info.GetModel() != "" && service.Model == info.GetModel()
		if runs && service.HealthPath != "" {
			return service.HealthPath
		}
	}
	return ""
}

// onAddressChecked gives the address to the incarnation that answered. The other candidates have ended.
func (r *Reducer) onAddressChecked(e AddressChecked) {
	fields := []Field{{"server", e.Server}, {"candidates", e.Candidates}, {"answered", e.Incarnation}, {"reason", e.Reason}}
	running := slices.IndexFunc(e.Candidates, func(id string) bool { return e.Incarnation != "" && incarnation.Matches(e.Incarnation, id) })
	if r.lead == nil || running < 0 || r.lead.servers[e.Server] == nil {
		r.log(slog.LevelInfo, "address check decides nothing", fields...)
		return
	}
	r.log(slog.LevelInfo, "address checked", fields...)
	t := r.lead.servers[e.Server]
	for n, id := range e.Candidates {
		if n != running && !t.hasEnded(id) {
			t.ended = appendIncarnation(t.ended, id)
		}
	}
	switch {
	case t.rival == nil:
	case t.hasEnded(t.rival.incarnation()):
		t.rival = nil
	case t.rival.incarnation() == e.Candidates[running] && t.hasEnded(t.incarnation):
		r.onAnnouncement(t.rival.checkedSource(), t.rival.announcement)
	}
}

// hasEnded reports whether another incarnation answered at the address after that one had reported.
func (t *trackedServer) hasEnded(incarnationID string) bool {
	return slices.Contains(t.ended, incarnationID)
}

func (v *rival) incarnation() string { return v.announcement.GetServer().GetIncarnation() }

// checkedSource is the source of the rival's last announcement, which the check of its address confirms.
func (v *rival) checkedSource() announcementSource {
	return announcementSource{via: "address check", sequence: max(v.source.sequence, v.announcement.GetServer().GetSequence())}
}
