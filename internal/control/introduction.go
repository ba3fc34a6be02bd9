package control

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// introduceInterval is how often a leader introduces itself to replicas that may not know
	// the group.
	introduceInterval = 500 * time.Millisecond
	// heardLeaderValidity is how long a replica names a leader that it has heard of: several
	// introductions may be lost.
	heardLeaderValidity = 3 * time.Second
	// askedRecently is how long a replica that has asked to join counts as knowing the leader:
	// two requests may be lost.
	askedRecently = 1500 * time.Millisecond
	// rememberAsked is how long a leader introduces itself to a replica that has stopped asking
	// to join, longer than a restart.
	rememberAsked = time.Minute
	// maxAsked bounds the replicas that are remembered.
	maxAsked = 64
	// lateIntroduceInterval is introduceInterval for recorded replicas that have not been heard from for
	// rememberAsked: most of them are gone for good.
	lateIntroduceInterval = 10 * time.Second
)

// heardLeader is a leader that a replica has heard of without following it, and the addresses of
// the members then.
type heardLeader struct {
	address  string
	term     uint64
	replicas []string
	at       time.Duration
}

// introductions is what a leader knows of replicas that may not know the group.
type introductions struct {
	// sentAt is when the last introductions were sent, zero for never.
	sentAt time.Duration
	// last is the addressees of the last introductions.
	last []string
	// recordedAt is when the last introductions to recorded replicas were sent.
	recordedAt time.Duration
	// askedAt is when a replica outside of the group last asked to join, by address.
	askedAt map[string]time.Duration
}

func (i *introductions) recordAsked(address string, now time.Duration) {
	maps.DeleteFunc(i.askedAt, func(_ string, at time.Duration) bool { return now-at > rememberAsked })
	if _, known := i.askedAt[address]; known || len(i.askedAt) < maxAsked {
		i.askedAt[address] = now
	}
}

// introduce tells replicas that may not know the group who leads it.
//
// Only members keep the group's addresses on disk. All others know the seeds at their start, and
// no more. Once the seeds are spares or have lost their disks, a group that returns after a loss
// of power would lead and nobody could find it. So whoever is asked first must have been told. The
// seeds of two processes may differ; see knownReplicas.
func (r *Reducer) introduce() {
	in := &r.lead.introductions
	first := in.sentAt == 0
	if !first && r.now < in.sentAt+introduceInterval || !r.hasQuorumLease() {
		return
	}
	in.sentAt = r.now
	to := r.strangers(first)
	if !slices.Equal(to, in.last) {
		r.log(slog.LevelInfo, "introducing the leader", Field{"to", to}, Field{"before", in.last}, Field{"seeds", r.seeds})
	}
	in.last = to
	if len(to) == 0 {
		return
	}
	r.emit(Introduce{To: to, Request: &pb.IntroduceRequest{
		ClusterId: r.cfg.Cluster, Leader: r.cfg.Address, Term: r.term, Replicas: memberAddresses(r.members),
	}})
}

// strangers returns the addresses of the seeds, members, former joiners and recorded replicas that this
// leader has not heard from of late; with allSeeds also those of seeds that it has.
func (r *Reducer) strangers(allSeeds bool) []string {
	informed := r.informedAddresses()
	addresses := slices.Concat(r.seeds, memberAddresses(r.members), slices.Collect(maps.Keys(r.lead.introductions.askedAt)), r.recordedReplicas())
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool {
		return a == r.cfg.Address || informed[a] && !(allSeeds && slices.Contains(r.seeds, a))
	})
}

// recordedReplicas returns the recorded addresses if introductions to them are due.
func (r *Reducer) recordedReplicas() []string {
	in := &r.lead.introductions
	if r.now >= r.lead.startedAt+rememberAsked && r.now < in.recordedAt+lateIntroduceInterval {
		return nil
	}
	in.recordedAt = r.now
	return r.state.replicas
}

// informedAddresses returns the replicas that know this leader: members that answer it, and
// replicas that ask it to be added.
func (r *Reducer) informedAddresses() map[string]bool {
	informed := make(map[string]bool)
	for _, s := range r.node.Status().Replicas {
		if s.Active {
			informed[r.addressOf(s.ID)] = true
		}
	}
	for address, at := range r.lead.introductions.askedAt {
		if r.now-at < askedRecently {
			informed[address] = true
		}
	}
	return informed
}

func memberAddresses(m *pb.Membership) []string {
	var addresses []string
	for _, member := range m.GetMembers() {
		addresses = append(addresses, member.GetAddress())
	}
	return addresses
}

func (r *Reducer) onIntroduce(id uint64, req *pb.IntroduceRequest) {
	r.hear(req.GetLeader(), req.GetTerm(), req.GetReplicas())
	r.reply(id, &pb.IntroduceResponse{}, nil)
}

// hear records a leader that this replica does not follow. What its own group tells it counts
// more, and of two leaders the one of the later term.
func (r *Reducer) hear(leader string, term uint64, replicas []string) {
	fresh := r.now < r.heard.at+heardLeaderValidity
	if leader == "" || leader == r.cfg.Address || r.addressOf(r.leader) != "" || fresh && term < r.heard.term {
		return
	}
	if leader != r.heard.address {
		r.log(slog.LevelInfo, "heard of a leader", Field{"leader", leader}, Field{"term", term},
			Field{"before", r.heard.address}, Field{"before_term", r.heard.term}, Field{"before_ms", (r.now - r.heard.at).Milliseconds()})
	}
	r.heard = heardLeader{address: leader, term: term, replicas: replicas, at: r.now}
	r.emitMembers()
}

// leaderAddress returns the address of the leader that this replica follows, else of the one that
// it has heard of; empty if it knows none.
func (r *Reducer) leaderAddress() string {
	if address := r.addressOf(r.leader); address != "" {
		return address
	}
	if r.now < r.heard.at+heardLeaderValidity {
		return r.heard.address
	}
	return ""
}

func (r *Reducer) onSeedsChanged(e SeedsChanged) {
	r.log(slog.LevelInfo, "seeds changed", Field{"seeds", e.Seeds}, Field{"before", r.seeds})
	r.seeds = e.Seeds
	if r.lead != nil {
		r.lead.introductions.sentAt = 0
	}
}
