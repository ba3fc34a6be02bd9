// Package roles decides when which engine changes its role between prefill,
// decode and mixed.
//
// It answers a prompt-to-output ratio that swings within minutes and drifts over
// a day on a fleet that can't grow. Mixed engines form a band that soaks up
// swings without any change; a change is made only when what it would have won
// lately outweighs the engine-seconds that it costs and the profile's price.
//
// Without it either the fleet stays split for a mix that is gone, or it follows
// each swing and has engines away just when they are needed.
//
// docs/design/roles.md has the ways weighed and the figures.
package roles

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Engine is one engine as control knows it.
type Engine struct {
	ID   string
	Role engineapi.Role
	// TargetRole is the role that it changes to; Role when it does not change.
	TargetRole engineapi.Role
	// Changing: away for a change of role, version or adapter.
	Changing bool
	// Usable is false while it is leaving, gone or changing.
	Usable bool
	// Age is how long its life is known; of engines that are known as long as the planner all
	// count alike.
	Age time.Duration
	// PendingTokens is the tokens that it has to move or finish before it can change,
	// as Work.Cost weighs them.
	PendingTokens float64
}

// Rates are what one engine does in each role, in tokens/s. Zero fields take
// their defaults.
type Rates struct {
	// Prefill and Decode are of engines with that role.
	Prefill, Decode float64
	// MixedEfficiency is the part of both that a mixed engine does, 0 to 1.
	MixedEfficiency float64
}

// Bounds are what the operators allow.
type Bounds struct {
	// MaxUnavailable is how many engines may be away at once.
	MaxUnavailable int
	// MinMixedShare is the smallest share of mixed engines, 0 to 1.
	MinMixedShare float64
	// ChangeTime is how long a change takes an engine away.
	ChangeTime time.Duration
}

// ChangePrice is what a change must win beyond its own cost.
type ChangePrice struct {
	// PerChange is in engine-seconds (Profile.RoleChangePrice, weighed over the
	// profiles by their part of the work).
	PerChange time.Duration
	// GoodputWeight and ChangeWeight are the deployment's; only their ratio
	// counts.
	GoodputWeight, ChangeWeight float64
}

// Observation is what is known of one model's engines and its offered work.
type Observation struct {
	// Interval is the time over which tokens were counted.
	Interval time.Duration
	// PrefillTokens and DecodeTokens were offered in the interval, refused work
	// included: what was refused for lack of a role is just what calls for it.
	PrefillTokens, DecodeTokens float64
	// Engines are all engines of the model, in order of id.
	Engines []Engine
	Rates   Rates
	Bounds  Bounds
	Price   ChangePrice
}

// Change is a role change to be ordered.
type Change struct {
	Engine   string
	From, To engineapi.Role
	Reason   string
	Figures  []decision.Figure
}

// Planner plans for one model. It is not safe for concurrent use.
type Planner struct{ regrets regrets }

// NewPlanner gives a planner without history.
func NewPlanner() *Planner { return &Planner{} }
