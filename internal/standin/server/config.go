// Package server implements a stand-in backend server: a simulated model engine
// or plain service that speaks the protocol of package engineapi, writes a
// journal and injects scripted faults. It is for test machines only.
//
// It uses net/http rather than the HTTP library of the entry, so that a library
// bug can't affect both ends of a connection alike and go unnoticed.
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

// Config configures one stand-in server.
type Config struct {
	// Cluster, ID, Region and DataCentre are announced to the entries.
	Cluster    string `yaml:"cluster"`
	ID         string `yaml:"id"`
	Region     string `yaml:"region"`
	DataCentre string `yaml:"data_centre"`
	// Address is the listen address, host:port. AnnouncedAddress is the address
	// announced to the entries, for example that of a forwarder in front of the
	// server. Default: Address.
	Address          string `yaml:"address"`
	AnnouncedAddress string `yaml:"announced_address"`
	// Kind is "model" or "plain".
	Kind string `yaml:"kind"`
	// Services are the names of the plain services that the server runs.
	Services []string `yaml:"services"`
	// Model, Version and Role are the engine's initial model, model version and role.
	Model   string `yaml:"model"`
	Version string `yaml:"version"`
	Role    string `yaml:"role"`
	// SoftwareVersion names the build of the server's software. Default "standin".
	SoftwareVersion string `yaml:"software_version"`
	// Entries are the addresses of the entries to announce to. Answers of
	// entries may add others.
	Entries []string `yaml:"entries"`
	// Fencing says whether fencing tokens of orders are "checked" or "ignored".
	Fencing string `yaml:"fencing"`
	// Journal is the path of the journal file; empty for no journal.
	Journal string `yaml:"journal"`
	// Slots is the maximum number of requests in the batch. Default 32.
	Slots int `yaml:"slots"`
	// PrefillRate is the prefill throughput without concurrent decoding, in
	// prompt tokens per second. Default 10000.
	PrefillRate float64 `yaml:"prefill_rate"`
	// TokenTime is the inter-token latency of a request that runs alone.
	// Default 20ms.
	TokenTime time.Duration `yaml:"token_time"`
	// SlowdownFactor divides all rates of the engine; 1 is a healthy engine.
	// Default 1.
	SlowdownFactor float64 `yaml:"slow"`
	// ChangeTime is the time that an engine needs to carry out an order. Default 5s.
	ChangeTime time.Duration `yaml:"change_time"`
	// CallTime is the service time of a plain call. Default 5ms.
	CallTime time.Duration `yaml:"call_time"`
	// TimeScale is the speed-up of the simulation over the configured times.
	// Default 1.
	TimeScale float64 `yaml:"time_scale"`
	// LoadLag is the age of the reported load figures, in real time.
	// Default 200ms.
	LoadLag time.Duration `yaml:"load_lag"`
	// CacheTokens is the capacity of the prefix cache in tokens. Default 200000.
	CacheTokens int `yaml:"cache_tokens"`
	// LeaveTime is how long a leaving server stays up after its last request
	// has finished, to refuse further requests, in real time. Default 1s.
	LeaveTime time.Duration `yaml:"leave_time"`
}

// Default returns a configuration with every default set.
func Default() Config {
	return Config{
		Kind: engineapi.KindModel, Role: string(engineapi.RoleMixed), SoftwareVersion: "standin",
		Fencing: declaration.FencingChecked, Slots: enginemodel.DefaultSlots,
		PrefillRate: enginemodel.DefaultPrefillRate, TokenTime: enginemodel.DefaultStepBase, SlowdownFactor: 1,
		CacheTokens: enginemodel.DefaultCacheTokens, ChangeTime: 5 * time.Second,
		CallTime: 5 * time.Millisecond, TimeScale: 1, LoadLag: 200 * time.Millisecond,
		LeaveTime: time.Second,
	}
}

// Load reads and validates a configuration file.
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

// advertisedAddress returns the address that the server announces.
func (c *Config) advertisedAddress() string {
	if c.AnnouncedAddress != "" {
		return c.AnnouncedAddress
	}
	return c.Address
}

// realDuration converts a configured duration to real time.
func (c *Config) realDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.TimeScale)
}

// virtualDuration converts a real duration to the engine model's virtual time.
func (c *Config) virtualDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * c.TimeScale)
}

// modelConfig returns the engine model's configuration.
func (c *Config) modelConfig() enginemodel.Config {
	return enginemodel.Config{
		PrefillRate: c.PrefillRate, StepBase: c.TokenTime, Slots: c.Slots, CacheTokens: c.CacheTokens,
		RoleChangeTime: c.ChangeTime, LoadLag: c.virtualDuration(c.LoadLag), Slowdown: c.SlowdownFactor, RecordCacheEvents: true,
	}
}
