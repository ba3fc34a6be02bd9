package capacity

import (
	"fmt"
	"strings"
)

// Estimate is one cost of one role at the target size.
type Estimate struct {
	Role string
	What string
	// How shows the sum that Value comes from.
	How   string
	Value float64
	Unit  string
	// Limit is the target's, zero where it names none.
	Limit float64
}

// Reaches tells whether the estimate is within its limit.
func (e Estimate) Reaches() bool { return e.Limit == 0 || e.Value <= e.Limit }

func (e Estimate) verdict() string {
	switch {
	case e.Limit == 0:
		return "no limit named"
	case e.Reaches():
		return fmt.Sprintf("reaches (%.0f%% of the limit)", 100*e.Value/e.Limit)
	default:
		return fmt.Sprintf("DOES NOT REACH (%.1f times the limit)", e.Value/e.Limit)
	}
}

func estimateTable(list []Estimate) string {
	var b strings.Builder
	b.WriteString("| role | what | how | value | limit | verdict |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, e := range list {
		limit := "-"
		if e.Limit > 0 {
			limit = number(e.Limit) + " " + e.Unit
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s %s | %s | %s |\n",
			e.Role, e.What, e.How, number(e.Value), e.Unit, limit, e.verdict())
	}
	return b.String()
}

func estimates(Fits) []Estimate { return nil }
