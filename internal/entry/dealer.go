package entry

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// dealer deals the servers of each data centre and role out to the groups there, so that
// each group has some to which it sends first. Groups learn of each other's sends late: if
// all of them chose from all servers alike, they would take the same idle ones at once.
type dealer struct {
	group *group
	// own is the name of this entry's aggregator.
	own   string
	dealt map[dealKey]int
}

type dealKey struct {
	dataCentre string
	roleKey
}

func (g *group) dealer(now time.Duration) dealer {
	d := dealer{group: g, own: g.self, dealt: make(map[dealKey]int)}
	if a := g.aggregator(now); a != nil {
		d.own = a.name
	}
	return d
}

// othersFirst tells whether another group sends to the server first. It is asked once for
// each server, in order of id.
func (d *dealer) othersFirst(p *pb.BackendServer) bool {
	group := d.groupOf(p)
	return group != "" && group != d.own && p.Kind == pb.ServerKind_SERVER_KIND_MODEL
}

// groupOf gives the aggregator that a server is dealt to; empty where there are no groups.
func (d *dealer) groupOf(p *pb.BackendServer) string {
	groups := d.group.inDataCentre[p.DataCentre]
	if len(groups) == 0 {
		groups = d.group.all
	}
	if len(groups) == 0 {
		return ""
	}
	key := dealKey{p.DataCentre, roleOf(p)}
	turn := d.dealt[key]
	d.dealt[key]++
	return groups[turn%len(groups)]
}
