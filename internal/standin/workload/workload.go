// Package workload generates load from workload files: open-loop arrivals of
// several request classes from several members, with bursts and changes of the
// prompt/output mix. The same seed gives the same arrivals.
package workload

import (
	"os"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/finding"
	"goldcrestseam.dev/goldcrestseam/internal/yamlfile"
)

// Workload is the content of a workload file.
type Workload struct {
	// Seed determines the arrivals, sizes and prompts.
	Seed uint64 `yaml:"seed"`
	// Duration is the length of the arrival period; MaxRequests bounds the number
	// of requests.
	Duration    time.Duration `yaml:"duration"`
	MaxRequests int           `yaml:"max_requests"`
	// RequestTimeout bounds one request including its retries. Default 60s.
	RequestTimeout time.Duration `yaml:"patience"`
	Classes        []Class       `yaml:"classes"`
	Bursts         []Burst       `yaml:"bursts"`
	Shifts         []MixShift    `yaml:"shifts"`
	Members        []Member      `yaml:"members"`
}

// Class is a class of similar requests.
type Class struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	// Rate is the mean number of arrivals per second; inter-arrival times are
	// exponentially distributed.
	Rate float64 `yaml:"rate"`
	// Method and Path are set for calls of a plain service. AtMostOnce adds an
	// idempotency key.
	Method     string `yaml:"method"`
	Path       string `yaml:"path"`
	AtMostOnce bool   `yaml:"once"`
	// PromptTokens and OutputTokens are ranges including both ends.
	PromptTokens Range `yaml:"prompt_tokens"`
	OutputTokens Range `yaml:"output_tokens"`
	// SharedTokens is the number of prompt tokens that all requests of a member
	// and class have in common.
	SharedTokens int `yaml:"shared_tokens"`
}

// Range is a range of token counts.
type Range struct {
	Min int `yaml:"min"`
	Max int `yaml:"max"`
}

// Burst multiplies the rate of a class between two times.
type Burst struct {
	Class  string        `yaml:"class"`
	From   time.Duration `yaml:"from"`
	To     time.Duration `yaml:"to"`
	Factor float64       `yaml:"factor"`
}

// MixShift changes the ratio of prompt to output tokens from a time on. It replaces
// the factors of earlier shifts.
type MixShift struct {
	At           time.Duration `yaml:"at"`
	PromptFactor float64       `yaml:"prompt_factor"`
	OutputFactor float64       `yaml:"output_factor"`
}

// Member is one member. Its share of the requests is proportional to Weight.
type Member struct {
	Name   string  `yaml:"name"`
	Weight float64 `yaml:"weight"`
}

const (
	defaultRequestTimeout = time.Minute
	// maxRequests and maxDuration bound the values in a workload file.
	maxRequests = 1_000_000
	maxDuration = time.Hour
)

// Load reads and validates a workload file.
func Load(path string) (*Workload, finding.List) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, finding.List{{File: path, Problem: err.Error()}}
	}
	w := &Workload{RequestTimeout: defaultRequestTimeout}
	file := yamlfile.Decode(path, data, w)
	w.check(file)
	return w, file.Findings()
}

func (w *Workload) check(file *yamlfile.File) {
	if w.Duration <= 0 || w.Duration > maxDuration {
		file.Add("duration", "%v is not between 0 and %v", w.Duration, maxDuration)
	}
	if w.MaxRequests <= 0 || w.MaxRequests > maxRequests {
		file.Add("max_requests", "%d is not between 1 and %d", w.MaxRequests, maxRequests)
	}
	if len(w.Classes) == 0 {
		file.Add("classes", "is empty")
	}
	if len(w.Members) == 0 {
		file.Add("members", "is empty")
	}
	for _, c := range w.Classes {
		if c.Rate <= 0 || c.Service == "" || c.Name == "" {
			file.Add("classes", "class %q needs a name, a service and a rate above 0", c.Name)
		}
		if c.Path == "" && (c.OutputTokens.Min < 1 || c.OutputTokens.Max < c.OutputTokens.Min) {
			file.Add("classes", "class %q needs output_tokens from 1 on", c.Name)
		}
	}
}
