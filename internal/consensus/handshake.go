package consensus

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// maxHelloBackoff is the longest interval between HELLOs, in ElectionTimeouts. The
// interval doubles from one HeartbeatInterval, since a peer that does not answer
// may be down for long. While a replica that needs a majority has not met one, it is
// maxFormingBackoff: the group waits for the answer.
const (
	maxHelloBackoff   = 4
	maxFormingBackoff = 1
)

// handshake is how replicas learn each other's incarnation and boot.
//
// A bootstrap list names ids and addresses, but no incarnations. Without the
// handshake a replica could vote, lose its disk, restart empty under its id, and
// vote differently together with a peer that never learned its first incarnation.
// So each replica sends HELLO until every other one has answered; then it is formed
// and may vote. The host of the receiver records the sender's incarnation, synced,
// before it steps on the HELLO. From then on a replica with an emptied folder meets
// a peer that refuses it, and never gets all answers. The cost: a new group can
// elect a leader only once all its replicas have been in contact.
//
// With Config.BootstrapOnce no second incarnation ever speaks under a bootstrap id.
// A replica that has lost its votes is then the same as one that is down for good,
// which Raft bears, and the answers of a majority suffice. The handshake stays
// against a broken promise: an emptied replica that is started with its first
// settings can't vote where a majority remembers it.
//
// A formed replica also sends HELLO, at each start, after each snapshot and to each
// new member, but waits for no answer. Thus peers that receive nothing else from it
// learn its boot, and detect a folder that was restored from an older copy.
type handshake struct {
	// formed is true once this replica may vote; see HardState.formed.
	formed bool
	// answered lists the peers that have answered in this boot.
	answered map[uint64]bool
	// unconfirmed holds why the latest answer of a peer does not count, until one does.
	unconfirmed map[uint64]AwaitReason
	// nextHelloAt is when HELLO is sent again; helloBackoff is the interval
	// after that.
	nextHelloAt  time.Duration
	helloBackoff time.Duration
	// token distinguishes answers to this boot's HELLO from those to earlier
	// ones.
	token uint64
}

func newHandshake(init InitialState) handshake {
	joining := len(init.Membership.GetMembers()) == 0
	return handshake{
		formed:   init.HardState.GetFormed() || joining,
		answered: map[uint64]bool{}, unconfirmed: map[uint64]AwaitReason{},
		token: init.Identity.GetBootNonce(),
	}
}

// unansweredPeers lists the members that have not answered, in member list order,
// and a leader that is not in the list: a learner that restarts before it has any
// list must send its HELLO to the leader, or its responses would be refused
// forever. An unformed replica uses the committed list, since a pending change that
// removes a member may be undone and must not exempt the replica from waiting for
// that member.
func (n *Node) unansweredPeers() []uint64 {
	members := n.members.current()
	if !n.handshake.formed {
		members = n.CommittedMembership()
	}
	var ids []uint64
	for _, m := range members.Members {
		if id := m.Identity.Id; id != n.cfg.ID && !n.handshake.answered[id] {
			ids = append(ids, id)
		}
	}
	unlisted := n.leader != n.cfg.ID && findMember(members, n.leader) == nil
	if n.leader != 0 && unlisted && !n.handshake.answered[n.leader] {
		ids = append(ids, n.leader)
	}
	return ids
}

func (n *Node) continueHandshake() {
	h := &n.handshake
	n.markFormedIfMet()
	unanswered := n.unansweredPeers()
	if len(unanswered) == 0 || n.now < h.nextHelloAt {
		return
	}
	h.helloBackoff = max(n.cfg.HeartbeatInterval, min(2*h.helloBackoff, n.longestHelloBackoff()))
	h.nextHelloAt = n.now + h.helloBackoff
	for _, id := range unanswered {
		m := n.message(pb.MessageKind_MESSAGE_KIND_HELLO, id)
		m.Context = h.token
		n.send(m)
	}
}

func (n *Node) longestHelloBackoff() time.Duration {
	if n.cfg.BootstrapOnce && !n.handshake.formed {
		return maxFormingBackoff * n.cfg.ElectionTimeout
	}
	return maxHelloBackoff * n.cfg.ElectionTimeout
}

// markFormedIfMet completes the handshake once enough replicas have answered.
func (n *Node) markFormedIfMet() {
	if len(n.unansweredPeers()) == 0 || n.cfg.BootstrapOnce && n.hasMetQuorum() {
		n.markFormed()
	}
}

// hasMetQuorum reports whether this replica and the voters that have answered are a quorum of the
// committed list.
func (n *Node) hasMetQuorum() bool {
	return isQuorum(n.CommittedMembership(), func(id uint64) bool { return id == n.cfg.ID || n.handshake.answered[id] })
}

// onHello handles HELLO and HELLO_RESPONSE, and returns true if m is one of them.
// Their terms are ignored.
func (n *Node) onHello(m *pb.Message, incarnation string) bool {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_HELLO:
		resp := n.message(pb.MessageKind_MESSAGE_KIND_HELLO_RESPONSE, m.From)
		resp.Context = m.Context
		resp.Reject = !n.isExpectedVoter(m.From, incarnation)
		n.send(resp)
	case pb.MessageKind_MESSAGE_KIND_HELLO_RESPONSE:
		n.onHelloResponse(m)
	default:
		return false
	}
	return true
}

// isExpectedVoter reports whether an unformed replica may count this answer: only
// if the sender of the HELLO is a voter of the committed list, with the listed
// incarnation if there is one.
//
// A removed id may return with a new incarnation. If such a replica counted, two
// replicas that were emptied and replaced, but restart with their original
// bootstrap settings, would confirm each other, be confirmed by the remaining ones,
// and elect a leader of their own.
func (n *Node) isExpectedVoter(id uint64, incarnation string) bool {
	member := findMember(n.CommittedMembership(), id)
	expected := member.GetIdentity().GetIncarnation()
	return votes(member.GetRole()) && (expected == "" || expected == incarnation)
}

func (n *Node) onHelloResponse(m *pb.Message) {
	if m.Context != n.handshake.token {
		n.handshake.unconfirmed[m.From] = AwaitEarlierBoot
		return
	}
	if m.Reject && !n.handshake.formed {
		n.handshake.unconfirmed[m.From] = AwaitNotExpected
		return
	}
	n.handshake.answered[m.From] = true
	delete(n.handshake.unconfirmed, m.From)
	n.markFormedIfMet()
}

// restrictToMembers forgets the answers of replicas that are not members, so that
// one that returns under its id counts as new. The next tick sends HELLO to new
// members.
func (h *handshake) restrictToMembers(m *pb.Membership) {
	answered := map[uint64]bool{}
	if len(m.Members) == 0 {
		answered = h.answered
	}
	for _, member := range m.Members {
		id := member.Identity.Id
		answered[id] = h.answered[id]
	}
	h.answered, h.nextHelloAt, h.helloBackoff = answered, 0, 0
}

// restartHandshake sends HELLO to every peer for a new boot.
func (n *Node) restartHandshake() {
	h := &n.handshake
	*h = handshake{
		formed: h.formed, answered: map[uint64]bool{}, unconfirmed: map[uint64]AwaitReason{}, token: h.token + 1,
	}
	n.continueHandshake()
}

func (n *Node) markFormed() {
	if n.handshake.formed {
		return
	}
	n.handshake.formed = true
	n.persist.hardStateDirty = true
}

// markFormedIfListed also completes the handshake when a committed member list
// names this replica's incarnation: then every later leader knows it. This helps a
// replica that has a peer which was lost permanently before it answered.
func (n *Node) markFormedIfListed(m *pb.Membership) {
	expected := findMember(m, n.cfg.ID).GetIdentity().GetIncarnation()
	if expected != "" && expected == n.identity.GetIncarnation() {
		n.markFormed()
	}
}
