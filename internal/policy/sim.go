package policy

import (
	"fmt"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/decision/roles"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
)

// reportEvery is the interval at which the engines' loads reach the entries.
const reportEvery = 500 * time.Millisecond

// planEvery is the interval at which the role policy is called.
const planEvery = time.Second

// maxTail bounds the time after the last arrival.
const maxTail = 30 * time.Minute

// simEngine is one simulated engine and its state.
type simEngine struct {
	id          string
	engine      *enginemodel.Engine
	nextEventAt time.Duration // as given by engine.NextEventAt
	lost        bool
	leaving     bool // being drained or changing its role
	targetRole  engineapi.Role
	requests    map[string]*simRequest
}

// requestStage is the state of a request.
type requestStage int

const (
	queued requestStage = iota
	prefilling
	running
	finished
)

// simRequest is the state of one request from its arrival to its end.
type simRequest struct {
	work          decision.Work
	entry         *simEntry
	stage         requestStage
	prefillEngine int // index of the engine that runs only the prefill; -1 if none
	mainEngine    int // index of the engine that runs the request or only its decode; -1 if none
	// prefillLoad and mainLoad are the tokens counted at prefillEngine and mainEngine.
	prefillLoad, mainLoad decision.RequestTokens
	// urgentTokens is the urgent prefill counted at urgentEngine until the first token.
	urgentTokens int
	urgentEngine int
	// earlierTokens is how many tokens of the answer came from earlier attempts, tokens how many
	// in total.
	earlierTokens, tokens int
	attempt               int
	firstTokenAt          time.Duration
	sentAt                time.Duration
}

// sim is the state of one run.
type sim struct {
	scenario   *Scenario
	trace      *Trace
	policy     rolePolicy
	now        time.Duration
	engines    []*simEngine
	entries    []*simEntry
	unfinished int // requests that have not ended
	stats      runStats
	// Tokens offered since the last plan.
	offeredPrefill, offeredDecode float64
	losses                        []Loss
	changes                       int
	onChange                      func(now time.Duration, c roles.Change)
}

// initialSplit returns the split that every policy starts from: the smallest allowed number of
// mixed engines, the others divided evenly.
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
	m.stats.scenario = s
	for i := range s.Engines {
		role := engineapi.RoleMixed
		if i < split.Prefill {
			role = engineapi.RolePrefill
		} else if i >= s.Engines-split.Decode {
			role = engineapi.RoleDecode
		}
		n := &simEngine{id: fmt.Sprintf("engine-%d", i), nextEventAt: enginemodel.Never, requests: make(map[string]*simRequest)}
		n.engine = enginemodel.New(0, enginemodel.Config{RoleChangeTime: s.Roles.ChangeTime}, role)
		m.engines = append(m.engines, n)
	}
	for i := range s.Entries {
		m.entries = append(m.entries, newEntry(m, i))
	}
	return m
}

// run simulates the trace to its end and returns the statistics.
func (m *sim) run() *runStats {
	arrival := 0
	nextTick := time.Duration(0)
	for arrival < len(m.trace.Requests) || (m.unfinished > 0 && m.now < m.trace.Length+maxTail) {
		next := nextTick
		if arrival < len(m.trace.Requests) {
			next = min(next, m.trace.Requests[arrival].Arrived)
		}
		for _, n := range m.engines {
			next = min(next, n.nextEventAt)
		}
		m.now = max(m.now, next)
		m.advanceDueEngines()
		if m.now >= nextTick {
			m.tick()
			nextTick = m.now + reportEvery
		}
		for arrival < len(m.trace.Requests) && m.trace.Requests[arrival].Arrived <= m.now {
			m.arrive(&m.trace.Requests[arrival], arrival)
			arrival++
		}
	}
	m.stats.changes = m.changes
	m.stats.unfinished = m.unfinished
	return &m.stats
}

func (m *sim) advanceDueEngines() {
	for i, n := range m.engines {
		if n.nextEventAt <= m.now {
			m.advance(i)
		}
	}
}

// advance brings one engine to the current time and processes what it produced.
func (m *sim) advance(i int) {
	n := m.engines[i]
	if n.lost {
		return
	}
	for _, p := range n.engine.Advance(m.now) {
		if r := n.requests[p.ID]; r != nil {
			r.entry.recordProgress(i, r, p)
		}
	}
	n.nextEventAt = n.engine.NextEventAt()
}

func (m *sim) tick() {
	for i, n := range m.engines {
		m.advance(i)
		if n.leaving && !n.lost && !n.engine.ChangingRole() && n.engine.Role() == n.targetRole {
			n.leaving = false
		}
	}
	for len(m.losses) > 0 && m.losses[0].At <= m.now {
		m.loseEngine(m.losses[0].Engine)
		m.losses = m.losses[1:]
	}
	for _, e := range m.entries {
		e.updateLoads()
	}
	if m.now%planEvery == 0 {
		m.plan()
	}
	for _, e := range m.entries {
		e.dispatchQueue()
	}
}

func (m *sim) arrive(w *decision.Work, index int) {
	m.offeredPrefill += float64(w.PromptTokens)
	m.offeredDecode += float64(w.OutputTokens)
	m.entries[index%len(m.entries)].arrive(w)
}

// plan calls the role policy and starts the changes.
func (m *sim) plan() {
	o := m.observation()
	m.offeredPrefill, m.offeredDecode = 0, 0
	if m.now >= m.trace.Length {
		return
	}
	for _, c := range m.policy.plan(m.now, o) {
		m.startChange(c)
	}
}

func (m *sim) observation() roles.Observation {
	o := roles.Observation{
		Interval: planEvery, PrefillTokens: m.offeredPrefill, DecodeTokens: m.offeredDecode,
		Rates: roles.Rates{MixedEfficiency: enginemodel.MixedEfficiency},
		Bounds: roles.Bounds{
			MaxUnavailable: m.scenario.Roles.MaxUnavailable, MinMixedShare: m.scenario.Roles.MinMixedShare,
			ChangeTime: m.scenario.Roles.ChangeTime,
		},
		Price: roles.ChangePrice{
			PerChange:     m.scenario.price(),
			GoodputWeight: m.scenario.Roles.GoodputWeight, ChangeWeight: m.scenario.Roles.ChangeWeight,
		},
	}
	for _, n := range m.engines {
		if n.lost {
			continue
		}
		l := n.engine.Load(m.now)
		o.Engines = append(o.Engines, roles.Engine{
			ID: n.id, Role: n.engine.Role(), TargetRole: n.targetRole, Changing: n.leaving, Usable: !n.leaving,
			PendingTokens: float64(l.QueuedPrefillTokens) + decision.OutputTokenCost*float64(l.RunningDecodeTokens),
		})
	}
	return o
}

// startChange makes an engine unavailable, moves its requests and starts its role change.
func (m *sim) startChange(c roles.Change) {
	for i, n := range m.engines {
		if n.id != c.Engine || n.leaving || n.lost {
			continue
		}
		m.advance(i)
		n.leaving, n.targetRole = true, c.To
		m.requeueAll(i, true)
		if err := n.engine.SetRole(m.now, c.To); err != nil {
			panic(err) // cannot happen: the engine has no requests left
		}
		n.nextEventAt = n.engine.NextEventAt()
		m.changes++
		if m.onChange != nil {
			m.onChange(m.now, c)
		}
	}
}

func (m *sim) loseEngine(i int) {
	n := m.engines[i]
	n.lost, n.leaving, n.nextEventAt = true, true, enginemodel.Never
	m.requeueAll(i, false)
}

// requeueAll returns the engine's requests to their entries, with their KV cache if it can still
// be exported.
func (m *sim) requeueAll(i int, exportKV bool) {
	n := m.engines[i]
	for _, id := range sortedKeys(n.requests) {
		r := n.requests[id]
		kvTokens, hasKV := n.engine.KVTokens(id)
		n.engine.Cancel(id)
		n.engine.ReleaseKV(id)
		if !exportKV || !hasKV {
			kvTokens = 0
		}
		r.entry.requeue(i, r, kvTokens)
	}
}
