package control

import (
	"fmt"
	"log/slog"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/consensus"
)

// leaderlessLogInterval is how often a replica logs that it still knows no leader.
const leaderlessLogInterval = 5 * time.Second

// standing is this replica's part in the group as last observed. Without it, a replica that
// refuses calls looks the same whether it waits as a spare, elects, or has lost the others.
type standing struct {
	part   consensus.Standing
	role   consensus.Role
	leader uint64
	since  time.Duration
	// loggedAt is when the standing was last logged.
	loggedAt time.Duration
}

// describe returns the standing and its age in one phrase.
func (s standing) describe(now time.Duration) string {
	leader := "knows a leader"
	if s.leader == 0 {
		leader = "knows no leader"
	}
	return fmt.Sprintf("%s, %s, %s, for %d ms", s.part, s.role, leader, (now - s.since).Milliseconds())
}

// observeStanding logs each change of the standing, and at intervals one without a leader.
func (r *Reducer) observeStanding() {
	st := r.node.Status()
	now := standing{part: st.Standing, role: st.Role, leader: st.Leader, since: r.now, loggedAt: r.now}
	last := r.standing
	changed := now.part != last.part || now.role != last.role || now.leader != last.leader
	if !changed {
		if now.leader != 0 || r.now < last.loggedAt+leaderlessLogInterval {
			return
		}
		now.since = last.since
	}
	r.standing = now
	r.log(slog.LevelInfo, "replica's standing", Field{"standing", string(now.part)}, Field{"role", now.role.String()},
		Field{"leader", now.leader}, Field{"term", st.Term}, Field{"since_ms", (r.now - now.since).Milliseconds()},
		Field{"before", string(last.part)}, Field{"before_role", last.role.String()}, Field{"before_ms", (r.now - last.since).Milliseconds()},
		Field{"votes", st.Election.VotesGranted}, Field{"votes_needed", st.Election.VotesNeeded}, Field{"refused_by", st.Election.RefusedBy},
		Field{"awaited_replicas", r.describeAwaited(st.AwaitedPeers)}, Field{"members", len(r.members.GetMembers())}, Field{"last_index", st.LastIndex})
}

// describeAwaited names the replicas that have not confirmed this one, with the reason.
func (r *Reducer) describeAwaited(peers []consensus.AwaitedPeer) []string {
	described := make([]string, 0, len(peers))
	for _, p := range peers {
		described = append(described, fmt.Sprintf("%d at %s: %s", p.ID, r.addressOf(p.ID), p.Reason))
	}
	return described
}
