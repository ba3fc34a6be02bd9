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
	// keepSpread shortens the keep time by up to this share at random: callers
	// whose answers ran out together would come back together.
	keepSpread = 0.3
	// maxName bounds names in announcements.
	maxName = 128
	// maxNames bounds lists in announcements.
	maxNames = 64
	// maxSlots is more than any engine runs at once.
	maxSlots = 1 << 16
)

// entriesAnswer is the body of GET /v1/entries.
type entriesAnswer struct {
	Entries []entryAnswer `json:"entries"`
	// KeepSeconds is how long the answer may be used.
	KeepSeconds float64 `json:"keep_seconds"`
}

type entryAnswer struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	Weight     float64 `json:"weight"`
}

// getEntries tells callers where to connect. They may name their own data
// centre; else the entry's counts.
func (s *Server) getEntries(c *fiber.Ctx) error {
	dataCentre := c.Query("data_centre", s.host.Settings.DataCentre)
	answer := entriesAnswer{Entries: []entryAnswer{}}
	for _, e := range s.host.Snapshot().AddressesFor(dataCentre) {
		answer.Entries = append(answer.Entries, entryAnswer{
			Name: e.Name, Address: e.Address, DataCentre: e.DataCentre,
			Weight: math.Round(e.Weight*1000) / 1000,
		})
	}
	keep := s.host.Settings.EntryListTTL.Seconds() * (1 - keepSpread*rand.Float64())
	answer.KeepSeconds = math.Round(keep*10) / 10
	s.head(c, outcome.Ran)
	return c.JSON(answer)
}

// postAnnounce takes a backend server's word. One that is malformed or of
// another cluster changes nothing.
func (s *Server) postAnnounce(c *fiber.Ctx) error {
	var a engineapi.Announcement
	decoder := json.NewDecoder(bytes.NewReader(c.Request().Body()))
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
	s.head(c, outcome.Ran)
	return c.JSON(s.host.Snapshot().AnnounceAnswer(a.ID))
}

// checkAnnouncement gives what is wrong, or "".
func checkAnnouncement(a *engineapi.Announcement) string {
	for _, name := range []string{a.ID, a.Incarnation, a.DataCentre} {
		if name == "" || len(name) > maxName {
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
	if len(a.Services) > maxNames || len(a.Adapters) > maxNames || a.Slots > maxSlots {
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
