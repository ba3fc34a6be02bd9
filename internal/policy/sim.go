package policy

import (
	"fmt"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/roles"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
)

// reportEvery is how often each engine's load reaches the entries.
const reportEvery = 500 * time.Millisecond

// planEvery is how often the role policy is asked.
const planEvery = time.Second

// maxTail bounds the time after the last arrival.
const maxTail = 30 * time.Minute

// node is one engine with what the experiment knows of it.
type node struct {
	id       string
	model    *enginemodel.Engine
	next     time.Duration // NextAt of model
	lost     bool
	leaving  bool // being emptied or changing
	target   engineapi.Role
	requests map[string]*request
}

// stage is where a request is.
type stage int

const (
	queued stage = iota
	prefilling
	running
	ended
)

// request is one request's life.
type request struct {
	work    decision.Work
	entry   *entry
	stage   stage
	prefill int // node, -1 for none
	server  int // node
	// onPrefill and onServer are what is accounted there.
	onPrefill, onServer decision.RequestTokens
	// urgent is the prefill that it waits for at a server, as noted there.
	urgent   int
	urgentAt int
	// handed is the tokens of the answer so far from earlier attempts, got all
	// of them.
	handed, got int
	attempt     int
	firstAt     time.Duration
	sentAt      time.Duration
}

// sim is one run.
type sim struct {
	scenario *Scenario
	trace    *Trace
	policy   rolePolicy
	now      time.Duration
	nodes    []*node
	entries  []*entry
	requests int // not ended
	tally    tally
	// offered since the last plan, in tokens.
	offeredPrefill, offeredDecode float64
	losses                        []Loss
	changes                       int
	onChange                      func(now time.Duration, c roles.Change)
}

// initialSplit is the split that every policy starts from: balanced.
func initialSplit(s *Scenario) roles.Split {
	mixed := minMixed(s)
	rest := s.Engines - mixed
	return roles.Split{Prefill: rest / 2, Mixed: mixed, Decode: rest - rest/2}
}

func minMixed(s *Scenario) int {
	return int(float64(s.Engines)*s.Roles.MinMixedShare + 0.999)
}

func newSim(s *Scenario, trace *Trace, policy rolePolicy, split roles.Split) *sim {
	m := &sim{scenario: s, trace: trace, policy: policy, losses: trace.Losses}
	m.tally.scenario = s
	for i := range s.Engines {
		role := engineapi.RoleMixed
		if i < split.Prefill {
			role = engineapi.RolePrefill
		} else if i >= s.Engines-split.Decode {
			role = engineapi.RoleDecode
		}
		n := &node{id: fmt.Sprintf("engine-%d", i), next: enginemodel.Never, requests: make(map[string]*request)}
		n.model = enginemodel.New(0, enginemodel.Config{ChangeTime: s.Roles.ChangeTime}, role)
		m.nodes = append(m.nodes, n)
	}
	for i := range s.Entries {
		m.entries = append(m.entries, newEntry(m, i))
	}
	return m
}

// run plays the trace to its end and gives the tally.
func (m *sim) run() *tally {
	arrival := 0
	nextTick := time.Duration(0)
	for arrival < len(m.trace.Requests) || (m.requests > 0 && m.now < m.trace.Length+maxTail) {
		at := nextTick
		if arrival < len(m.trace.Requests) {
			at = min(at, m.trace.Requests[arrival].Arrived)
		}
		for _, n := range m.nodes {
			at = min(at, n.next)
		}
		m.now = max(m.now, at)
		m.advanceDue()
		if m.now >= nextTick {
			m.tick()
			nextTick = m.now + reportEvery
		}
		for arrival < len(m.trace.Requests) && m.trace.Requests[arrival].Arrived <= m.now {
			m.arrive(&m.trace.Requests[arrival], arrival)
			arrival++
		}
	}
	m.tally.changes = m.changes
	m.tally.unfinished = m.requests
	return &m.tally
}

func (m *sim) advanceDue() {
	for i, n := range m.nodes {
		if n.next <= m.now {
			m.advance(i)
		}
	}
}

// advance brings one engine to now and takes in what it produced.
func (m *sim) advance(i int) {
	n := m.nodes[i]
	if n.lost {
		return
	}
	for _, p := range n.model.Advance(m.now) {
		if r := n.requests[p.ID]; r != nil {
			r.entry.progress(i, r, p)
		}
	}
	n.next = n.model.NextAt()
}

func (m *sim) tick() {
	for i, n := range m.nodes {
		m.advance(i)
		if n.leaving && !n.lost && !n.model.Changing() && n.model.Role() == n.target {
			n.leaving = false
		}
	}
	for len(m.losses) > 0 && m.losses[0].At <= m.now {
		m.lose(m.losses[0].Engine)
		m.losses = m.losses[1:]
	}
	for _, e := range m.entries {
		e.report()
	}
	if m.now%planEvery == 0 {
		m.plan()
	}
	for _, e := range m.entries {
		e.drain()
	}
}

func (m *sim) arrive(w *decision.Work, index int) {
	m.offeredPrefill += float64(w.PromptTokens)
	m.offeredDecode += float64(w.OutputTokens)
	m.entries[index%len(m.entries)].arrive(w)
}

// plan asks the role policy and begins the changes.
func (m *sim) plan() {
	o := m.observation()
	m.offeredPrefill, m.offeredDecode = 0, 0
	if m.now >= m.trace.Length {
		return
	}
	for _, c := range m.policy.plan(m.now, o) {
		m.begin(c)
	}
}

func (m *sim) observation() roles.Observation {
	o := roles.Observation{
		Interval: planEvery, PrefillTokens: m.offeredPrefill, DecodeTokens: m.offeredDecode,
		Rates: roles.Rates{MixedEfficiency: enginemodel.MixedEfficiency},
		Bounds: roles.Bounds{
			MaxUnavailable: m.scenario.Roles.MaxAway, MinMixedShare: m.scenario.Roles.MinMixedShare,
			ChangeTime: m.scenario.Roles.ChangeTime,
		},
		Price: roles.ChangePrice{
			PerChange:     m.scenario.price(),
			GoodputWeight: m.scenario.Roles.GoodputWeight, ChangeWeight: m.scenario.Roles.ChangeWeight,
		},
	}
	for _, n := range m.nodes {
		if n.lost {
			continue
		}
		l := n.model.Load(m.now)
		o.Engines = append(o.Engines, roles.Engine{
			ID: n.id, Role: n.model.Role(), TargetRole: n.target, Changing: n.leaving, Usable: !n.leaving,
			PendingTokens: float64(l.QueuedPrefillTokens) + decision.OutputTokenCost*float64(l.RunningDecodeTokens),
		})
	}
	return o
}

// begin takes an engine out of use, moves its requests and orders the change.
func (m *sim) begin(c roles.Change) {
	for i, n := range m.nodes {
		if n.id != c.Engine || n.leaving || n.lost {
			continue
		}
		m.advance(i)
		n.leaving, n.target = true, c.To
		m.moveAll(i, true)
		if err := n.model.SetRole(m.now, c.To); err != nil {
			panic(err) // all its requests were just moved
		}
		n.next = n.model.NextAt()
		m.changes++
		if m.onChange != nil {
			m.onChange(m.now, c)
		}
	}
}

func (m *sim) lose(i int) {
	n := m.nodes[i]
	n.lost, n.leaving, n.next = true, true, enginemodel.Never
	m.moveAll(i, false)
}

// moveAll gives the engine's requests back to their entries, with their KV cache
// when it can still be exported.
func (m *sim) moveAll(i int, export bool) {
	n := m.nodes[i]
	for _, id := range sortedKeys(n.requests) {
		r := n.requests[id]
		kv, has := n.model.KVTokens(id)
		n.model.Cancel(id)
		n.model.Release(id)
		if !export || !has {
			kv = 0
		}
		r.entry.moved(i, r, kv)
	}
}
