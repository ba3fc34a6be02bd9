// Package server is the stand-in backend server: a model engine or a plain
// service that speaks package engineapi, keeps a journal and has scripted
// faults. It runs on test machines only.
//
// It serves with net/http and not with the HTTP library of the entry, so that
// both ends of a connection don't share a library's mistake.
package server

import (
	"os"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/enginemodel"
	"goldcrestseam.dev/goldcrestseam/internal/finding"
	"goldcrestseam.dev/goldcrestseam/internal/yamlfile"
)

// Config is what one stand-in is.
type Config struct {
	// Cluster, ID, Region and DataCentre are announced.
	Cluster    string `yaml:"cluster"`
	ID         string `yaml:"id"`
	Region     string `yaml:"region"`
	DataCentre string `yaml:"data_centre"`
	// Address is where it serves, host:port. AnnouncedAddress is what it tells
	// the entries, for a forwarder in between. Default: Address.
	Address          string `yaml:"address"`
	AnnouncedAddress string `yaml:"announced_address"`
	// Kind is model or plain.
	Kind string `yaml:"kind"`
	// Services are the plain services that it runs.
	Services []string `yaml:"services"`
	// Model, Version and Role are an engine's at its start.
	Model   string `yaml:"model"`
	Version string `yaml:"version"`
	Role    string `yaml:"role"`
	// Entries are the entries that it announces itself to at first.
	Entries []string `yaml:"entries"`
	// Fencing is checked or ignored.
	Fencing string `yaml:"fencing"`
	// Journal is the journal file; empty for none.
	Journal string `yaml:"journal"`
	// Slots is how many requests run at once. Default 32.
	Slots int `yaml:"slots"`
	// PrefillRate is prompt tokens a second of prefill alone. Default 10000.
	PrefillRate float64 `yaml:"prefill_rate"`
	// TokenTime is the time between two tokens of a request that runs alone.
	// Default 20ms.
	TokenTime time.Duration `yaml:"token_time"`
	// SlowdownFactor divides all rates of an engine; 1 is a healthy one. Default 1.
	SlowdownFactor float64 `yaml:"slow"`
	// ChangeTime is how long an order takes the engine away. Default 5s.
	ChangeTime time.Duration `yaml:"change_time"`
	// CallTime is how long a call of a plain service takes. Default 5ms.
	CallTime time.Duration `yaml:"call_time"`
	// TimeScale is how many times faster than these times all goes. Default 1.
	TimeScale float64 `yaml:"time_scale"`
	// LoadLag is how old the load figures are that it reports, in real time.
	// Default 200ms.
	LoadLag time.Duration `yaml:"load_lag"`
	// CacheTokens bounds the prefix cache. Default 200000.
	CacheTokens int `yaml:"cache_tokens"`
	// LeaveTime is how long it still answers, with refusals, after it said
	// that it leaves and nothing runs any more, in real time. Default 1s.
	LeaveTime time.Duration `yaml:"leave_time"`
}

// Default gives a configuration with every default set.
func Default() Config {
	return Config{
		Kind: engineapi.KindModel, Role: string(engineapi.RoleMixed),
		Fencing: declaration.FencingChecked, Slots: enginemodel.DefaultSlots,
		PrefillRate: enginemodel.DefaultPrefillRate, TokenTime: enginemodel.DefaultStepBase, SlowdownFactor: 1,
		CacheTokens: enginemodel.DefaultCacheTokens, ChangeTime: 5 * time.Second,
		CallTime: 5 * time.Millisecond, TimeScale: 1, LoadLag: 200 * time.Millisecond,
		LeaveTime: time.Second,
	}
}

// Load reads and checks a configuration file.
func Load(path string) (*Config, finding.List) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, finding.List{{File: path, Problem: err.Error()}}
	}
	c := Default()
	file := yamlfile.Decode(path, data, &c)
	c.check(file)
	return &c, file.Findings()
}

func (c *Config) check(file *yamlfile.File) {
	for _, f := range []struct{ name, value string }{
		{"cluster", c.Cluster}, {"id", c.ID}, {"address", c.Address},
	} {
		if f.value == "" {
			file.Add(f.name, "is missing")
		}
	}
	if c.Kind != engineapi.KindModel && c.Kind != engineapi.KindPlain {
		file.Add("kind", "%q is neither model nor plain", c.Kind)
	}
	if c.Fencing != declaration.FencingChecked && c.Fencing != declaration.FencingIgnored {
		file.Add("fencing", "%q is neither checked nor ignored", c.Fencing)
	}
	if c.TimeScale <= 0 || c.PrefillRate <= 0 || c.Slots <= 0 || c.TokenTime <= 0 {
		file.Add("time_scale", "time_scale, prefill_rate, slots and token_time must be more than 0")
	}
}

// announced is the address that entries are told.
func (c *Config) announced() string {
	if c.AnnouncedAddress != "" {
		return c.AnnouncedAddress
	}
	return c.Address
}

// real gives the real time of a time of the configuration.
func (c *Config) real(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.TimeScale)
}

// virtual gives the engine model's time of a real time.
func (c *Config) virtual(d time.Duration) time.Duration {
	return time.Duration(float64(d) * c.TimeScale)
}

// model gives the engine model's configuration.
func (c *Config) model() enginemodel.Config {
	return enginemodel.Config{
		PrefillRate: c.PrefillRate, StepBase: c.TokenTime, Slots: c.Slots, CacheTokens: c.CacheTokens,
		ChangeTime: c.ChangeTime, LoadLag: c.virtual(c.LoadLag), Slow: c.SlowdownFactor, RecordCache: true,
	}
}
