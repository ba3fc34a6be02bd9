package workload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcrestseam.dev/goldcrestseam/internal/standin/audit"
)

// Report is what callers saw, class by class, in order of the workload file.
type Report struct {
	Counts  *audit.Counts `json:"counts"`
	Classes []ClassReport `json:"classes"`
}

// ClassReport is what the callers of one class saw. Times are in milliseconds.
type ClassReport struct {
	Class      string   `json:"class"`
	Requests   int      `json:"requests"`
	Whole      int      `json:"whole"`
	Retries    int      `json:"retries"`
	Resumes    int      `json:"resumes"`
	FirstToken Quantile `json:"first_token_ms"`
	Gap        Quantile `json:"gap_ms"`
	LongestGap Quantile `json:"longest_gap_ms"`
	Took       Quantile `json:"took_ms"`
}

// Quantile is a histogram in short.
type Quantile struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// The histograms go from 1 microsecond to 10 minutes with three digits.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// Histogram collects times.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram gives an empty one.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(lowestMicros, highestMicros, digits)}
}

// Add takes a time in; one out of range counts as the nearest in range.
func (h *Histogram) Add(d time.Duration) {
	_ = h.h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// Quantile gives the histogram in short.
func (h *Histogram) Quantile() Quantile {
	at := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / 1000 }
	return Quantile{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.h.Max()) / 1000}
}

// NewReport sums up by class.
func (w *Workload) NewReport(counts *audit.Counts, done []audit.Done) *Report {
	r := &Report{Counts: counts}
	for _, c := range w.Classes {
		r.Classes = append(r.Classes, classReport(c.Name, done))
	}
	return r
}

func classReport(class string, done []audit.Done) ClassReport {
	r := ClassReport{Class: class}
	first, gap, longest, took := NewHistogram(), NewHistogram(), NewHistogram(), NewHistogram()
	for _, d := range done {
		if d.Class != class {
			continue
		}
		res := d.Result
		r.Requests++
		r.Retries += max(res.Tries-1-res.Resumes, 0)
		r.Resumes += res.Resumes
		if !res.Whole {
			continue
		}
		r.Whole++
		took.Add(res.Took)
		if res.FirstToken > 0 {
			first.Add(res.FirstToken)
			longest.Add(res.LongestGap)
		}
		for _, g := range res.Gaps {
			gap.Add(g)
		}
	}
	r.FirstToken, r.Gap, r.LongestGap, r.Took = first.Quantile(), gap.Quantile(), longest.Quantile(), took.Quantile()
	return r
}
