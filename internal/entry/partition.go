package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// partition divides the servers of each data centre and role among the entry groups there, so
// that each group has servers that it prefers. Groups learn of each other's dispatches with a
// delay. If all of them chose from all servers alike, they would pick the same idle ones at the
// same time.
type partition struct {
	group *group
	// ownGroup is the name of this entry's aggregator.
	ownGroup string
	assigned map[partitionKey]int
}

type partitionKey struct {
	dataCentre string
	roleKey
}

func (g *group) partition(now time.Duration) partition {
	p := partition{group: g, ownGroup: g.ownName, assigned: make(map[partitionKey]int)}
	if a := g.aggregator(now); a != nil {
		p.ownGroup = a.name
	}
	return p
}

// preferredByOthers reports whether another group prefers the server. It has to be called exactly
// once for each server, in order of id, since each call advances the round-robin assignment.
func (a *partition) preferredByOthers(p *pb.BackendServer) bool {
	group := a.groupOf(p)
	return group != "" && group != a.ownGroup && p.Kind == pb.ServerKind_SERVER_KIND_MODEL
}

// groupOf returns the aggregator of the group that the server is assigned to, or an empty name
// if there are no groups.
func (a *partition) groupOf(p *pb.BackendServer) string {
	groups := a.group.aggregatorsByDataCentre[p.DataCentre]
	if len(groups) == 0 {
		groups = a.group.allAggregators
	}
	if len(groups) == 0 {
		return ""
	}
	key := partitionKey{p.DataCentre, roleOf(p)}
	index := a.assigned[key]
	a.assigned[key]++
	return groups[index%len(groups)]
}
