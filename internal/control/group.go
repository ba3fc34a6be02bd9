package control

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision/replicas"
)

const (
	// notableSilence is how long a voter may be silent before it is reported: longer than a
	// heartbeat and its answer take on a busy machine.
	notableSilence = 500 * time.Millisecond
	// groupLogInterval is how often a leader logs that its group still lacks a voter.
	groupLogInterval = time.Second
)

// groupCondition is what a leader sees of its group. Without it, a group that has a leader looks the
// same whether it bears the next loss or not.
type groupCondition struct {
	voters, learners, joiners int
	// silent lists the voters that don't answer.
	silent []uint64
	wait   replicas.Wait
	// since is when the group was last whole, as this leader has seen it.
	since, loggedAt time.Duration
}

// whole reports whether the group bears as many losses as it is configured to.
func (c groupCondition) whole(wanted int) bool { return c.voters == wanted && len(c.silent) == 0 }

func (c groupCondition) equal(o groupCondition) bool {
	return c.voters == o.voters && c.learners == o.learners && c.joiners == o.joiners && c.wait == o.wait && slices.Equal(c.silent, o.silent)
}

// observeGroup logs each change of a group that is not whole, and that it is whole again.
func (r *Reducer) observeGroup(g replicas.Group) {
	c := groupCondition{joiners: len(g.Joiners), since: r.now, loggedAt: r.now}
	var silence []string
	for _, m := range g.Members {
		switch {
		case !m.Voter:
			c.learners++
		case m.SilentFor >= notableSilence:
			c.voters++
			c.silent = append(c.silent, m.ID)
			silence = append(silence, fmt.Sprintf("%d at %s for %d ms", m.ID, m.Address, m.SilentFor.Milliseconds()))
		default:
			c.voters++
		}
	}
	c.wait = replicas.Waiting(g, len(c.silent))
	last := r.lead.group
	whole, wasWhole := c.whole(g.TargetVoters), last.whole(g.TargetVoters)
	if last.loggedAt == 0 {
		last.since = r.lead.startedAt
	}
	if !whole && !wasWhole {
		c.since = last.since
	}
	if whole && wasWhole || !whole && c.equal(last) && r.now < last.loggedAt+groupLogInterval {
		return
	}
	r.lead.group = c
	msg := "control group lacks a voter"
	if whole {
		msg, c.since = "control group is whole", last.since
	}
	r.log(slog.LevelInfo, msg, Field{"voters", c.voters}, Field{"wanted", g.TargetVoters}, Field{"silent", silence},
		Field{"learners", c.learners}, Field{"joiners", c.joiners}, Field{"waits_for", string(c.wait)},
		Field{"since_ms", (r.now - c.since).Milliseconds()}, Field{"leads_for_ms", (r.now - r.lead.startedAt).Milliseconds()})
}
