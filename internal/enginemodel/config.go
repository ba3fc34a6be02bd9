// Package enginemodel is a model of one model engine in virtual time: continuous
// batching with a token-time model, priorities, roles, a prefix cache of limited
// memory, KV cache import and export, and load that is told with a lag.
//
// The policy experiment and the end-to-end tests of the decisions run on it, and
// the stand-in engine serves it over HTTP, so both see the same engine. It reads
// no clock, does no I/O and has no goroutines.
//
// The model: prefill takes prompt tokens one request at a time, the highest
// priority first. Decode gives every running stream one token a step, and a step
// grows with the number of streams. While both go on at a mixed engine they slow
// each other down (chunked prefill shares the steps); an engine with only one
// part runs it at full speed. That is what makes roles worth changing.
package enginemodel

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Config is what one engine can do. The zero value of a field takes its
// default.
type Config struct {
	// PrefillRate is tokens/s of prefill alone.
	PrefillRate float64
	// StepBase and StepPerStream give the time of a decode step.
	StepBase, StepPerStream time.Duration
	// Slots is how many requests run at once; more wait.
	Slots int
	// KVTokens bounds the tokens of running requests.
	KVTokens int
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// KVImportRate is tokens/s of KV cache import.
	KVImportRate float64
	// RoleChangeTime is how long a change of role takes.
	RoleChangeTime time.Duration
	// LoadLag is how old the load is that Load tells.
	LoadLag time.Duration
	// Slowdown divides all rates; 1 is a healthy engine.
	Slowdown float64
	// RecordCacheEvents keeps cache events for CacheEvents.
	RecordCacheEvents bool
}

// Defaults: an engine with one accelerator and a model of some ten thousand
// million parameters, whose full batch of 32 gives each stream a token in 36 ms.
const (
	DefaultPrefillRate   = 10000
	DefaultStepBase      = 20 * time.Millisecond
	DefaultStepPerStream = 500 * time.Microsecond
	DefaultSlots         = 32
	// DefaultKVTokens holds twenty dossiers of 30,000 tokens.
	DefaultKVTokens    = 600000
	DefaultCacheTokens = 200000
	// DefaultKVImportRate is 160 kB a token over 25 Gbit/s.
	DefaultKVImportRate   = 20000
	DefaultRoleChangeTime = 5 * time.Second
	DefaultLoadLag        = time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.PrefillRate, DefaultPrefillRate)
	setDefault(&c.StepBase, DefaultStepBase)
	setDefault(&c.StepPerStream, DefaultStepPerStream)
	setDefault(&c.Slots, DefaultSlots)
	setDefault(&c.KVTokens, DefaultKVTokens)
	setDefault(&c.CacheTokens, DefaultCacheTokens)
	setDefault(&c.KVImportRate, DefaultKVImportRate)
	setDefault(&c.RoleChangeTime, DefaultRoleChangeTime)
	setDefault(&c.LoadLag, DefaultLoadLag)
	setDefault(&c.Slowdown, 1)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// FullDecodeRate is tokens/s of decode alone with all slots in use.
func (c Config) FullDecodeRate() float64 {
	c = c.withDefaults()
	step := c.StepBase + time.Duration(c.Slots)*c.StepPerStream
	return float64(c.Slots) / step.Seconds()
}

// speeds are the parts of the full rates that a role reaches: with only one
// kind of work there, and with both.
type speeds struct {
	prefillAlone, decodeAlone float64
	prefillBoth, decodeBoth   float64
}

// MixedEfficiency is what a mixed engine does of two engines' work when both
// kinds are there, as a part of one engine: prefillBoth + decodeBoth.
const MixedEfficiency = 0.8

// speedsOf: a prefill or decode engine does the other kind badly, because its
// batch sizes and memory are laid out for its own. A mixed engine loses a fifth
// to interference, little when it has only one kind.
func speedsOf(role engineapi.Role) speeds {
	switch role {
	case engineapi.RolePrefill:
		return speeds{prefillAlone: 1, decodeAlone: 0.4, prefillBoth: 0.7, decodeBoth: 0.1}
	case engineapi.RoleDecode:
		return speeds{prefillAlone: 0.4, decodeAlone: 1, prefillBoth: 0.1, decodeBoth: 0.7}
	default:
		return speeds{prefillAlone: 0.95, decodeAlone: 0.95, prefillBoth: 0.4, decodeBoth: 0.4}
	}
}
