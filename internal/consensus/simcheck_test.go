package consensus

import (
	"fmt"
	"time"
)

func (c *cluster) checkState(h *host) {
	known, ok := c.states[h.applied]
	if ok && known != h.state {
		c.fault("replica %d: another state at %d", h.id, h.applied)
	}
	c.states[h.applied] = h.state
	c.applied = max(c.applied, h.applied)
}

// check tests what must hold after each step of a replica.
func (c *cluster) check(h *host) {
	n := h.node
	if n.role == leader {
		c.checkLeader(h)
	}
	if lease := n.LeaseUntil(); lease > 0 {
		h.leaseUntil = max(h.leaseUntil, time.Duration(float64(lease)/h.rate))
	}
	for _, id := range c.ids {
		if o := c.hosts[id]; o != h && min(o.leaseUntil, h.leaseUntil) > c.now {
			c.fault("replicas %d and %d both hold a lease", h.id, o.id)
		}
	}
}

// checkLeader tests election safety and, when a term later than any before has
// its leader, that the leader's log holds whatever was applied anywhere.
func (c *cluster) checkLeader(h *host) {
	n := h.node
	other, ok := c.leaders[n.term]
	if ok && other != h.id {
		c.fault("term %d has leaders %d and %d", n.term, other, h.id)
	}
	c.leaders[n.term] = h.id
	if n.term <= c.term {
		return
	}
	c.term = n.term
	if n.log.lastIndex() < c.applied {
		c.fault("leader %d of term %d ends at %d, applied is %d", h.id, n.term, n.log.lastIndex(), c.applied)
	}
}

// checkLogs tests log matching: an entry of one index and term is the same
// everywhere, and so is the one before it.
func (c *cluster) checkLogs() {
	for _, id := range c.ids {
		n := c.hosts[id].node
		if n == nil {
			continue
		}
		prev := n.log.baseTerm
		for _, e := range n.log.entries {
			at := position{e.Index, e.Term}
			content := fmt.Sprintf("%d %d %x", prev, e.Kind, e.Data)
			if known, ok := c.entries[at]; ok && known != content {
				c.fault("replica %d: entry %v is %q, elsewhere %q", id, at, content, known)
			}
			c.entries[at] = content
			prev = e.Term
		}
	}
}

func (c *cluster) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}
