package consensus

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// formation is how a new group's replicas get to know each other's incarnations
// before any of them votes.
//
// A bootstrap list names ids and addresses, but no incarnations. Without this a
// replica could vote, lose its disk, come back empty under its id, and vote
// another way with a peer that had never heard its first life. So each replica
// says HELLO until every other one has answered; the host of each remembers the
// sender's life, synced, before it steps on the HELLO. From then on an emptied
// folder meets a peer that refuses it, and never gets all answers, wherever it
// asks. The price: a new group starts once all its replicas have met.
type formation struct {
	// formed is true once this replica's word may count; see HardState.formed.
	formed bool
	// waiting lists the bootstrap replicas that have not answered, in order.
	waiting []uint64
	askedAt time.Duration
}

func newFormation(cfg Config, init Initial) formation {
	if init.HardState.GetFormed() || len(init.Membership.GetMembers()) == 0 {
		return formation{formed: true}
	}
	f := formation{}
	for _, m := range init.Membership.Members {
		if m.Identity.Id != cfg.ID {
			f.waiting = append(f.waiting, m.Identity.Id)
		}
	}
	f.formed = len(f.waiting) == 0
	return f
}

func (n *Node) driveFormation() {
	f := &n.formation
	if f.formed || f.askedAt != 0 && n.now < f.askedAt+n.cfg.HeartbeatInterval {
		return
	}
	f.askedAt = n.now
	for _, id := range f.waiting {
		n.send(n.message(pb.MessageKind_MESSAGE_KIND_HELLO, id))
	}
}

// onHello handles both kinds; true if m is one. They carry no news of a term.
func (n *Node) onHello(m *pb.Message) bool {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_HELLO:
		n.send(n.message(pb.MessageKind_MESSAGE_KIND_HELLO_RESPONSE, m.From))
	case pb.MessageKind_MESSAGE_KIND_HELLO_RESPONSE:
		n.onHelloResponse(m.From)
	default:
		return false
	}
	return true
}

func (n *Node) onHelloResponse(from uint64) {
	f := &n.formation
	if f.formed {
		return
	}
	kept := f.waiting[:0]
	for _, id := range f.waiting {
		if id != from {
			kept = append(kept, id)
		}
	}
	f.waiting = kept
	if len(kept) == 0 {
		n.setFormed()
	}
}

func (n *Node) setFormed() {
	if n.formation.formed {
		return
	}
	n.formation = formation{formed: true}
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
