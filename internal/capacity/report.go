package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Names within the docs directory.
const (
	pageFile = "CAPACITY.md"
	plotsDir = "capacity"
	fitsFile = "slopes.json"
)

// Markers around the generated parts of CAPACITY.md.
const (
	slopesBegin    = "<!-- slopes:begin -->"
	slopesEnd      = "<!-- slopes:end -->"
	estimatesBegin = "<!-- estimates:begin -->"
	estimatesEnd   = "<!-- estimates:end -->"
)

// Progress is called with each slope once it is measured.
type Progress func(Fit)

// Measure measures all slopes.
func Measure(p ProcessOptions, progress Progress) (Fits, error) {
	var fits Fits
	for _, s := range slopes(p) {
		fit, err := s.Run()
		if err != nil {
			return nil, err
		}
		progress(fit)
		fits = append(fits, fit)
	}
	return fits, nil
}

// Fits are the measured slopes.
type Fits []Fit

// Get returns the fit with that name. It panics if there is none, which is a bug in
// the calling code.
func (f Fits) Get(name string) Fit {
	for _, fit := range f {
		if fit.Name == name {
			return fit
		}
	}
	panic("capacity: no slope " + name)
}

// Write rewrites the plots, slopes.json and the generated parts of CAPACITY.md.
func (f Fits) Write(docs string) error {
	dir := filepath.Join(docs, plotsDir)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return Failed.Wrap(err, "plots")
	}
	for _, fit := range f {
		if err := fit.Plot(dir); err != nil {
			return err
		}
	}
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return Failed.Wrap(err, "slopes")
	}
	if err := os.WriteFile(filepath.Join(dir, fitsFile), append(data, '\n'), 0o644); err != nil {
		return Failed.Wrap(err, "slopes")
	}
	return f.writePage(filepath.Join(docs, pageFile))
}

func (f Fits) writePage(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return Failed.Wrap(err, "page")
	}
	page, err := replaceBetween(string(data), slopesBegin, slopesEnd, f.table())
	if err != nil {
		return err
	}
	page, err = replaceBetween(page, estimatesBegin, estimatesEnd, estimateTable(estimates(f)))
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(page), 0o644); err != nil {
		return Failed.Wrap(err, "page")
	}
	return nil
}

func replaceBetween(page, begin, end, text string) (string, error) {
	head, rest, ok := strings.Cut(page, begin)
	if !ok {
		return "", Failed.New("the page has no %s", begin)
	}
	_, tail, ok := strings.Cut(rest, end)
	if !ok {
		return "", Failed.New("the page has no %s", end)
	}
	return head + begin + "\n" + text + end + tail, nil
}

func (f Fits) table() string {
	var b strings.Builder
	b.WriteString("| slope | role | what | measured at | intercept | per unit | R² | plot |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, fit := range f {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s %s | %s per %s | %.3f | [plot](%s/%s.svg) |\n",
			fit.Name, fit.Role, fit.Description, formatSizes(fit), formatNumber(fit.Intercept), fit.Unit,
			formatNumber(fit.PerUnit), fit.SizeName, fit.RSquared, plotsDir, fit.Name)
	}
	return b.String()
}

func formatSizes(fit Fit) string {
	var parts []string
	for _, p := range fit.Points {
		parts = append(parts, fmt.Sprint(p.Size))
	}
	return strings.Join(parts, ", ")
}

// formatNumber formats v with about three significant digits and no exponent.
func formatNumber(v float64) string {
	switch abs := max(v, -v); {
	case abs >= 100:
		return fmt.Sprintf("%.0f", v)
	case abs >= 10:
		return fmt.Sprintf("%.1f", v)
	case abs >= 1:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprintf("%.4f", v)
	}
}
