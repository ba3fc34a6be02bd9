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
	Class            string    `json:"class"`
	Requests         int       `json:"requests"`
	Complete         int       `json:"whole"`
	Retries          int       `json:"retries"`
	Resumes          int       `json:"resumes"`
	TimeToFirstToken Quantiles `json:"first_token_ms"`
	ChunkGap         Quantiles `json:"gap_ms"`
	MaxChunkGap      Quantiles `json:"longest_gap_ms"`
	Elapsed          Quantiles `json:"took_ms"`
}

// Quantiles is a histogram in short.
type Quantiles struct {
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

// Quantiles gives the histogram in short.
func (h *Histogram) Quantiles() Quantiles {
	at := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.h.Max()) / 1000}
}

// NewReport sums up by class.
func (w *Workload) NewReport(counts *audit.Counts, done []audit.FinishedRequest) *Report {
	r := &Report{Counts: counts}
	for _, c := range w.Classes {
		r.Classes = append(r.Classes, classReport(c.Name, done))
	}
	return r
}

func classReport(class string, done []audit.FinishedRequest) ClassReport {
	r := ClassReport{Class: class}
	first, gap, longest, took := NewHistogram(), NewHistogram(), NewHistogram(), NewHistogram()
	for _, d := range done {
		if d.Class != class {
			continue
		}
		res := d.Result
		r.Requests++
		r.Retries += max(res.Attempts-1-res.Resumes, 0)
		r.Resumes += res.Resumes
		if !res.Complete {
			continue
		}
		r.Complete++
		took.Add(res.Elapsed)
		if res.TimeToFirstToken > 0 {
			first.Add(res.TimeToFirstToken)
			longest.Add(res.MaxChunkGap)
		}
		for _, g := range res.ChunkGaps {
			gap.Add(g)
		}
	}
	r.TimeToFirstToken, r.ChunkGap, r.MaxChunkGap, r.Elapsed = first.Quantiles(), gap.Quantiles(), longest.Quantiles(), took.Quantiles()
	return r
}
