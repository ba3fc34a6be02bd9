// Package roles decides when which engine changes its role between prefill, decode and mixed.
//
// It serves fleets of fixed size whose ratio of prompt to output tokens swings within minutes and
// drifts over a day. Mixed engines absorb swings without any change. A role is changed only when
// the work that the change would have saved recently outweighs the engine-seconds that it costs
// and the price set in the profiles.
//
// Without such a rule the fleet either stays split for a mix that has passed, or follows every
// swing and has engines unavailable just when they are needed.
//
// docs/design/roles.md describes the alternatives considered and the measurements.
package roles

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Engine is the state of one engine as the control process sees it.
type Engine struct {
	ID   string
	Role engineapi.Role
	// SoftwareVersion is the build of the engine's software. Engines of different builds don't
	// take over each other's KV caches.
	SoftwareVersion string
	// TargetRole is the role that the engine is changing to; equal to Role if it is not changing.
	TargetRole engineapi.Role
	// Changing tells that the engine is unavailable during a change of role, version or adapter.
	Changing bool
	// Usable is false while the engine is leaving, gone or changing.
	Usable bool
	// Expected tells that the engine is gone, but for so short a time that it may be back. It counts with
	// its last role.
	Expected bool
	// Age is how long the engine's incarnation has been known. Engines that were there when the
	// planner started all have the same age.
	Age time.Duration
	// PendingTokens are the tokens that the engine must move or finish before it can change its
	// role. Output tokens are weighted by their cost relative to prompt tokens.
	PendingTokens float64
}

// Rates are the rates of one engine in each role, in tokens/s. Zero fields take their defaults.
type Rates struct {
	// Prefill and Decode are the rates of engines with that role.
	Prefill, Decode float64
	// MixedEfficiency is the share of both rates that a mixed engine achieves, 0 to 1.
	MixedEfficiency float64
}

// Bounds are the limits that operators set.
type Bounds struct {
	// MaxUnavailable is how many engines may be unavailable at once.
	MaxUnavailable int
	// MinMixedShare is the smallest share of mixed engines, 0 to 1.
	MinMixedShare float64
	// ChangeTime is how long a role change makes an engine unavailable.
	ChangeTime time.Duration
}

// ChangePrice is what a change must gain beyond its own cost.
type ChangePrice struct {
	// PerChange is in engine-seconds: Profile.RoleChangePrice, averaged over the profiles by
	// their share of the work.
	PerChange time.Duration
	// GoodputWeight and ChangeWeight are settings of the deployment; only their ratio matters.
	GoodputWeight, ChangeWeight float64
}

// Observation is the state of one model's engines and its offered work.
type Observation struct {
	// Interval is the time over which the tokens were counted.
	Interval time.Duration
	// PrefillTokens and DecodeTokens were offered in the interval. Refused work is included,
	// because work refused for lack of engines of a role is the reason to change roles.
	PrefillTokens, DecodeTokens float64
	// Engines are all engines of the model, ordered by id.
	Engines []Engine
	Rates   Rates
	Bounds  Bounds
	Price   ChangePrice
	// Loaded tells that work was offered of late.
	Loaded bool
}

// Change is a role change to order.
type Change struct {
	Engine   string
	From, To engineapi.Role
	Reason   string
	Figures  []decision.Figure
}

// Planner plans the role changes of one model. It is not safe for concurrent use.
type Planner struct{ regrets regretTracker }

// NewPlanner returns a planner without history.
func NewPlanner() *Planner { return &Planner{} }
