package consensus

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxHelloPause is the longest pause between HELLOs, in ElectionTimeouts. The
// pause grows from a HeartbeatInterval on: a peer that does not answer may be
// gone for long.
const maxHelloPause = 4

// formation is how replicas get to know each other's lives.
//
// A bootstrap list names ids and addresses, but no incarnations. Without this a
// replica could vote, lose its disk, come back empty under its id, and vote
// another way with a peer that had never heard its first life. So each replica
// says HELLO until every other one has answered; the host of each remembers the
// sender's life, synced, before it steps on the HELLO. From then on an emptied
// folder meets a peer that refuses it, and never gets all answers, wherever it
// asks. The price: a new group starts once all its replicas have met.
//
// A formed replica says HELLO as well, at each start, after each snapshot and to
// each new member, but waits for nobody: so peers learn its boot that never hear
// it otherwise, and notice a folder put back from an older copy.
type formation struct {
	// formed is true once this replica's word may count; see HardState.formed.
	formed bool
	// met lists the peers that have answered in this boot.
	met map[uint64]bool
	// askAt is when HELLO is said again, pause how long to wait after that.
	askAt time.Duration
	pause time.Duration
	// token tells the answers to this boot's HELLO from those to earlier ones.
	token uint64
}

func newFormation(init InitialState) formation {
	joins := len(init.Membership.GetMembers()) == 0
	return formation{
		formed: init.HardState.GetFormed() || joins,
		met:    map[uint64]bool{},
		token:  init.Identity.GetBootNonce(),
	}
}

// unmet lists the members that have not answered, in the order of the list, and
// the leader that a replica hears before it has any list: a learner that restarts
// then must be introduced too, or its answers would be refused for good. An
// unformed replica goes by the committed list: a change that is undone later
// must not spare it a member.
func (n *Node) unmet() []uint64 {
	members := n.members.current()
	if !n.formation.formed {
		members = n.CommittedMembership()
	}
	var ids []uint64
	for _, m := range members.Members {
		if id := m.Identity.Id; id != n.cfg.ID && !n.formation.met[id] {
			ids = append(ids, id)
		}
	}
	unlisted := n.leader != n.cfg.ID && findMember(members, n.leader) == nil
	if n.leader != 0 && unlisted && !n.formation.met[n.leader] {
		ids = append(ids, n.leader)
	}
	return ids
}

func (n *Node) driveFormation() {
	f := &n.formation
	waiting := n.unmet()
	if len(waiting) == 0 {
		n.setFormed()
		return
	}
	if n.now < f.askAt {
		return
	}
	f.pause = max(n.cfg.HeartbeatInterval, min(2*f.pause, maxHelloPause*n.cfg.ElectionTimeout))
	f.askAt = n.now + f.pause
	for _, id := range waiting {
		m := n.message(pb.MessageKind_MESSAGE_KIND_HELLO, id)
		m.Context = f.token
		n.send(m)
	}
}

// onHello handles both kinds; true if m is one. They carry no news of a term.
func (n *Node) onHello(m *pb.Message, incarnation string) bool {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_HELLO:
		answer := n.message(pb.MessageKind_MESSAGE_KIND_HELLO_RESPONSE, m.From)
		answer.Context = m.Context
		answer.Reject = !n.vouchesFor(m.From, incarnation)
		n.send(answer)
	case pb.MessageKind_MESSAGE_KIND_HELLO_RESPONSE:
		n.onHelloResponse(m)
	default:
		return false
	}
	return true
}

// vouchesFor tells whether an unformed replica may count this answer: only if it is
// a voter by the committed list, under that life as far as it is named.
//
// An id that was removed may speak again under a new life. If that counted, two
// replicas that were emptied and replaced, but start with their first settings,
// would vouch for each other, be vouched for by the rest, and elect a leader of
// their own.
func (n *Node) vouchesFor(id uint64, incarnation string) bool {
	member := findMember(n.CommittedMembership(), id)
	bound := member.GetIdentity().GetIncarnation()
	voter := member.GetRole() == pb.ReplicaRole_REPLICA_ROLE_VOTER
	return voter && (bound == "" || bound == incarnation)
}

func (n *Node) onHelloResponse(m *pb.Message) {
	if m.Context != n.formation.token {
		// It answers an earlier boot's.
		return
	}
	if m.Reject && !n.formation.formed {
		return
	}
	n.formation.met[m.From] = true
	if len(n.unmet()) == 0 {
		n.setFormed()
	}
}

// forgetLeft makes a replica that comes back under its id count as new, and has
// new members asked at the next tick.
func (f *formation) forgetLeft(m *pb.Membership) {
	met := map[uint64]bool{}
	if len(m.Members) == 0 {
		met = f.met
	}
	for _, member := range m.Members {
		id := member.Identity.Id
		met[id] = f.met[id]
	}
	f.met, f.askAt, f.pause = met, 0, 0
}

// introduceAgain tells every peer of a new boot.
func (n *Node) introduceAgain() {
	f := &n.formation
	*f = formation{formed: f.formed, met: map[uint64]bool{}, token: f.token + 1}
	n.driveFormation()
}

func (n *Node) setFormed() {
	if n.formation.formed {
		return
	}
	n.formation.formed = true
	n.persist.hardDirty = true
}

// noteBound ends the formation also when a committed member list names this
// replica's incarnation: then every later leader knows it. That helps a replica
// whose peer was lost for good before it had answered.
func (n *Node) noteBound(m *pb.Membership) {
	bound := findMember(m, n.cfg.ID).GetIdentity().GetIncarnation()
	if bound != "" && bound == n.identity.GetIncarnation() {
		n.setFormed()
	}
}
