package consensus

import (
	"fmt"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

func (c *cluster) checkState(h *host) {
	known, ok := c.stateHashAt[h.applied]
	if ok && known != h.stateHash {
		c.violation("replica %d: state differs at index %d", h.id, h.applied)
	}
	c.stateHashAt[h.applied] = h.stateHash
	c.maxApplied = max(c.maxApplied, h.applied)
}

// checkInvariants checks what must hold after each step of a replica.
func (c *cluster) checkInvariants(h *host) {
	n := h.node
	if n.role == leader {
		c.checkLeader(h)
	}
	if lease := n.LeaseUntil(); lease > 0 {
		h.leaseUntil = max(h.leaseUntil, time.Duration(float64(lease)/h.clockRate))
	}
	for _, id := range c.ids {
		if o := c.hosts[id]; o != h && min(o.leaseUntil, h.leaseUntil) > c.now {
			c.violation("replicas %d and %d both hold a lease", h.id, o.id)
		}
	}
}

// checkVote checks that a replica id votes once a term, also under another incarnation. A request for
// votes is a vote for its sender.
func (c *cluster) checkVote(m *pb.Message) {
	candidate := m.From
	switch {
	case m.Kind == pb.MessageKind_MESSAGE_KIND_VOTE_RESPONSE && !m.Reject:
		candidate = m.To
	case m.Kind != pb.MessageKind_MESSAGE_KIND_VOTE:
		return
	}
	vote := voteOf{m.From, m.Term}
	if earlier, voted := c.votesCast[vote]; voted && earlier != candidate {
		c.violation("replica %d votes for %d and %d in term %d", m.From, earlier, candidate, m.Term)
	}
	c.votesCast[vote] = candidate
}

// checkLeader checks election safety and, for the first leader of a new highest
// term, that its log contains every entry applied anywhere.
func (c *cluster) checkLeader(h *host) {
	n := h.node
	other, ok := c.leaderOfTerm[n.term]
	if ok && other != h.id {
		c.violation("term %d has leaders %d and %d", n.term, other, h.id)
	}
	c.leaderOfTerm[n.term] = h.id
	if n.term <= c.maxLeaderTerm {
		return
	}
	c.maxLeaderTerm = n.term
	if n.log.lastIndex() < c.maxApplied {
		c.violation("log of leader %d of term %d ends at %d, but %d is applied", h.id, n.term, n.log.lastIndex(), c.maxApplied)
	}
}

// checkLogs checks log matching: an entry of one index and term is the same on
// every replica, and so is the one before it.
func (c *cluster) checkLogs() {
	for _, id := range c.ids {
		n := c.hosts[id].node
		if n == nil {
			continue
		}
		prev := n.log.baseTerm
		for _, e := range n.log.entries {
			at := entryPosition{e.Index, e.Term}
			content := fmt.Sprintf("%d %d %x", prev, e.Kind, e.Data)
			if known, ok := c.seenEntries[at]; ok && known != content {
				c.violation("replica %d: entry %v is %q, on another replica %q", id, at, content, known)
			}
			c.seenEntries[at] = content
			prev = e.Term
		}
	}
}

func (c *cluster) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}
