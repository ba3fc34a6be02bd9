package traffic

import (
	"bytes"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"

	"github.com/gofiber/fiber/v2"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

const (
	// validityJitter is the largest share by which the validity of an address
	// answer is shortened at random. Without it, callers whose answers expire
	// together would all refresh at the same time.
	validityJitter = 0.3
	// maxNameBytes bounds the length of names in announcements.
	maxNameBytes = 128
	// maxListItems bounds the services and the adapters in an announcement.
	maxListItems = 64
	// maxSlots bounds the slots in an announcement. No engine runs as many
	// requests at once.
	maxSlots = 1 << 16
)

// entriesAnswer is the body of GET /v1/entries.
type entriesAnswer struct {
	Entries []entryAnswer `json:"entries"`
	// KeepSeconds is how long the answer may be cached.
	KeepSeconds float64 `json:"keep_seconds"`
}

type entryAnswer struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	Weight     float64 `json:"weight"`
}

// getEntries returns the entries to which callers should connect. Callers may
// name their own data centre; the default is the entry's data centre.
func (s *Server) getEntries(c *fiber.Ctx) error {
	dataCentre := c.Query("data_centre", s.host.Settings.DataCentre)
	answer := entriesAnswer{Entries: []entryAnswer{}}
	for _, e := range s.host.Snapshot().AddressesFor(dataCentre) {
		answer.Entries = append(answer.Entries, entryAnswer{
			Name: e.Name, Address: e.Address, DataCentre: e.DataCentre,
			Weight: math.Round(e.Weight*1000) / 1000,
		})
	}
	validSeconds := s.host.Settings.EntryListTTL.Seconds() * (1 - validityJitter*rand.Float64())
	answer.KeepSeconds = math.Round(validSeconds*10) / 10
	s.setCommonHeaders(c, outcome.Ran)
	return c.JSON(answer)
}

// postAnnounce handles the announcement of a backend server. A malformed one,
// or one for another cluster, has no effect.
func (s *Server) postAnnounce(c *fiber.Ctx) error {
	body, refusal := s.readBody(c, maxAnnouncementBytes)
	if refusal != nil {
		return refusal
	}
	defer body.Release()
	var a engineapi.Announcement
	decoder := json.NewDecoder(bytes.NewReader(body.Bytes()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil || decoder.More() {
		return invalid("the announcement is not the JSON that is expected")
	}
	if a.Cluster != s.host.Settings.Cluster {
		return &outcome.Refusal{
			Status: fiber.StatusForbidden, Code: outcome.CodeForbidden, Outcome: outcome.NotRun,
			Message: "the announcement is for another cluster",
		}
	}
	if problem := checkAnnouncement(&a); problem != "" {
		return invalid(problem)
	}
	s.host.Post(entry.Announced{Announcement: a})
	s.setCommonHeaders(c, outcome.Ran)
	return c.JSON(s.host.Snapshot().AnnounceAnswer(a.ID))
}

// checkAnnouncement validates an announcement. It returns a description of the
// first problem, or "" if there is none.
func checkAnnouncement(a *engineapi.Announcement) string {
	for _, name := range []string{a.ID, a.Incarnation, a.DataCentre} {
		if name == "" || len(name) > maxNameBytes {
			return "id, incarnation and data_centre must have 1 to 128 bytes"
		}
	}
	if host, port, err := net.SplitHostPort(a.Address); err != nil || net.ParseIP(host) == nil || port == "" {
		return "address must be IP:port"
	}
	switch a.State {
	case engineapi.StateServing, engineapi.StateLeaving, engineapi.StateChanging:
	default:
		return "state must be serving, leaving or changing"
	}
	if len(a.Services) > maxListItems || len(a.Adapters) > maxListItems || a.Slots > maxSlots {
		return "too many services, adapters or slots"
	}
	return checkKind(a)
}

func checkKind(a *engineapi.Announcement) string {
	switch a.Kind {
	case engineapi.KindPlain:
		if len(a.Services) == 0 {
			return "a plain service must name its services"
		}
	case engineapi.KindModel:
		if a.Model == "" {
			return "a model engine must name its model"
		}
		if a.Role != engineapi.RolePrefill && a.Role != engineapi.RoleDecode && a.Role != engineapi.RoleMixed {
			return "role must be prefill, decode or mixed"
		}
	default:
		return "kind must be model or plain"
	}
	return ""
}
