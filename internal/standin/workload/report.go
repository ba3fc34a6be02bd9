package workload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcrestseam.dev/goldcrestseam/internal/standin/audit"
)

// Report summarizes the results of callers by class, in the order of the workload
// file.
type Report struct {
	Counts  *audit.Counts `json:"counts"`
	Classes []ClassReport `json:"classes"`
}

// ClassReport summarizes the results of one class. Times are in milliseconds.
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

// Quantiles summarizes a histogram, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Histograms range from 1 microsecond to 10 minutes with three significant digits.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Histogram is a histogram of durations.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Add records a duration; one out of range is clamped to the range.
func (h *Histogram) Add(d time.Duration) {
	_ = h.h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// Quantiles returns the quantiles of the histogram.
func (h *Histogram) Quantiles() Quantiles {
	at := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.h.Max()) / 1000}
}

// NewReport summarizes the results by class.
func (w *Workload) NewReport(counts *audit.Counts, results []audit.FinishedRequest) *Report {
	r := &Report{Counts: counts}
	for _, c := range w.Classes {
		r.Classes = append(r.Classes, classReport(c.Name, results))
	}
	return r
}

func classReport(class string, results []audit.FinishedRequest) ClassReport {
	r := ClassReport{Class: class}
	timeToFirstToken, chunkGap, maxChunkGap, elapsed := NewHistogram(), NewHistogram(), NewHistogram(), NewHistogram()
	for _, d := range results {
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
		elapsed.Add(res.Elapsed)
		if res.TimeToFirstToken > 0 {
			timeToFirstToken.Add(res.TimeToFirstToken)
			maxChunkGap.Add(res.MaxChunkGap)
		}
		for _, g := range res.ChunkGaps {
			chunkGap.Add(g)
		}
	}
	r.TimeToFirstToken, r.ChunkGap, r.MaxChunkGap, r.Elapsed = timeToFirstToken.Quantiles(), chunkGap.Quantiles(), maxChunkGap.Quantiles(), elapsed.Quantiles()
	return r
}
