// Package workload plays workload files: open-loop arrivals of several classes
// by several members, with bursts and mix shifts, the same for the same seed.
package workload

import (
	"os"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/finding"
	"goldcrestseam.dev/goldcrestseam/internal/yamlfile"
)

// Workload is a workload file.
type Workload struct {
	// Seed makes arrivals, sizes and prompts; the same seed gives the same.
	Seed uint64 `yaml:"seed"`
	// Duration is how long requests arrive; MaxRequests bounds their number.
	Duration    time.Duration `yaml:"duration"`
	MaxRequests int           `yaml:"max_requests"`
	// RequestTimeout bounds one request with its retries. Default 60s.
	RequestTimeout time.Duration `yaml:"patience"`
	Classes        []Class       `yaml:"classes"`
	Bursts         []Burst       `yaml:"bursts"`
	Shifts         []MixShift    `yaml:"shifts"`
	Members        []Member      `yaml:"members"`
}

// Class is one kind of request.
type Class struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	// Rate is arrivals a second, exponentially apart.
	Rate float64 `yaml:"rate"`
	// Method and Path make it a call of a plain service; AtMostOnce gives it a key.
	Method     string `yaml:"method"`
	Path       string `yaml:"path"`
	AtMostOnce bool   `yaml:"once"`
	// PromptTokens and OutputTokens are ranges, both ends included.
	PromptTokens Range `yaml:"prompt_tokens"`
	OutputTokens Range `yaml:"output_tokens"`
	// SharedTokens is how much of a prompt is the same for all requests of a
	// member and class.
	SharedTokens int `yaml:"shared_tokens"`
}

// Range is a range of tokens.
type Range struct {
	Min int `yaml:"min"`
	Max int `yaml:"max"`
}

// Burst multiplies a class's rate for a while.
type Burst struct {
	Class  string        `yaml:"class"`
	From   time.Duration `yaml:"from"`
	To     time.Duration `yaml:"to"`
	Factor float64       `yaml:"factor"`
}

// MixShift changes the ratio of prompt to output tokens from a time on.
type MixShift struct {
	At           time.Duration `yaml:"at"`
	PromptFactor float64       `yaml:"prompt_factor"`
	OutputFactor float64       `yaml:"output_factor"`
}

// Member is one member; a heavy one has a large Weight.
type Member struct {
	Name   string  `yaml:"name"`
	Weight float64 `yaml:"weight"`
}

const (
	defaultPatience = time.Minute
	// maxRequests and maxDuration bound what one file may ask for.
	maxRequests = 1_000_000
	maxDuration = time.Hour
)

// Load reads and checks a workload file.
func Load(path string) (*Workload, finding.List) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, finding.List{{File: path, Problem: err.Error()}}
	}
	w := &Workload{RequestTimeout: defaultPatience}
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
