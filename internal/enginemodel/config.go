// Package enginemodel simulates one language model engine in virtual time: continuous
// batching with a time per token, priorities, roles, a prefix cache of limited
// size, KV cache import and export, and load reports with a lag.
//
// The comparison of routing policies (package policy) and the end-to-end tests of the
// decisions run on it, and the stand-in engine serves it over HTTP, so that all of them
// use the same model. It reads no clock, does no I/O and starts no goroutines.
//
// Prefill processes the prompt tokens of one request at a time, the highest priority
// first. Decode gives every running stream one token per step, and a step takes longer
// the more streams there are. When both run on a mixed engine they slow each other
// down, since chunked prefill shares the steps. An engine that does only one of them
// runs it at full speed, which is why role changes pay off.
package enginemodel

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Config describes the capacity and speed of one engine. Fields that are zero get their
// defaults.
type Config struct {
	// PrefillRate is the speed of prefill without decode, in tokens/s.
	PrefillRate float64
	// StepBase and StepPerStream determine the duration of a decode step: StepBase plus
	// StepPerStream for each stream.
	StepBase, StepPerStream time.Duration
	// Slots is how many requests run at once. Others are queued.
	Slots int
	// KVTokens limits the KV cache of all running requests together.
	KVTokens int
	// CacheTokens limits the prefix cache.
	CacheTokens int
	// KVImportRate is the speed of KV cache import, in tokens/s.
	KVImportRate float64
	// RoleChangeTime is how long a role change takes.
	RoleChangeTime time.Duration
	// LoadLag is how old the load returned by Load is.
	LoadLag time.Duration
	// Slowdown divides all rates. It is 1 for a healthy engine.
	Slowdown float64
	// RecordCacheEvents makes the engine keep cache events for CacheEvents.
	RecordCacheEvents bool
}

// Defaults of Config. They describe an engine with one accelerator and a model of about
// ten billion parameters, on which a full batch of 32 gives each stream a token in 36 ms.
const (
	DefaultPrefillRate   = 10000
	DefaultStepBase      = 20 * time.Millisecond
	DefaultStepPerStream = 500 * time.Microsecond
	DefaultSlots         = 32
	// DefaultKVTokens holds twenty requests of 30,000 tokens.
	DefaultKVTokens    = 600000
	DefaultCacheTokens = 200000
	// DefaultKVImportRate is the rate at 160 kB per token over 25 Gbit/s.
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

// FullDecodeRate returns the speed of decode without prefill and with all slots in use, in
// tokens/s.
func (c Config) FullDecodeRate() float64 {
	c = c.withDefaults()
	step := c.StepBase + time.Duration(c.Slots)*c.StepPerStream
	return float64(c.Slots) / step.Seconds()
}

// roleSpeeds are the fractions of the full rates that a role reaches: Alone if only
// prefill or only decode runs, Concurrent if both run.
type roleSpeeds struct {
	prefillAlone, decodeAlone           float64
	prefillConcurrent, decodeConcurrent float64
}

// MixedEfficiency is the throughput of a mixed engine that runs prefill and decode
// together, as a fraction of that of an engine that runs only one of them:
// prefillConcurrent + decodeConcurrent.
const MixedEfficiency = 0.8

// speedsOfRole returns the speeds of a role. A prefill or decode engine is slow at the
// other kind of work, since its batch sizes and memory are set up for its own. A mixed
// engine loses a fifth to interference if both kinds run, and 5% if only one does.
func speedsOfRole(role engineapi.Role) roleSpeeds {
	switch role {
	case engineapi.RolePrefill:
		return roleSpeeds{prefillAlone: 1, decodeAlone: 0.4, prefillConcurrent: 0.7, decodeConcurrent: 0.1}
	case engineapi.RoleDecode:
		return roleSpeeds{prefillAlone: 0.4, decodeAlone: 1, prefillConcurrent: 0.1, decodeConcurrent: 0.7}
	default:
		return roleSpeeds{prefillAlone: 0.95, decodeAlone: 0.95, prefillConcurrent: 0.4, decodeConcurrent: 0.4}
	}
}
