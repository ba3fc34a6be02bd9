package capacity

import (
	"gonum.org/v1/gonum/stat"
)

// Unit is the unit of a slope's values.
type Unit string

// Units of slopes.
const (
	Bytes        Unit = "bytes"
	Microseconds Unit = "µs"
	// Percent is relative to one core.
	Percent        Unit = "% of a core"
	Megabytes      Unit = "MB"
	BytesPerSecond Unit = "bytes/s"
)

// Slope is one cost that is measured at several sizes to see how it grows.
type Slope struct {
	// Name is short and stable; it names the plot and the row of the table.
	Name string
	// Role is the program that has the cost: entry, control replica, operator tool.
	Role string
	// Description says in words what one value is.
	Description string
	// SizeName names the quantity that grows; Unit is the unit of the cost.
	SizeName string
	Unit     Unit
	// Sizes are the measured sizes, at least four.
	Sizes []int
	// Measure returns the cost at a size.
	Measure func(size int) (float64, error)
}

// Point is the measured value at one size.
type Point struct {
	Size  int     `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a slope with its measurements and the line fitted to them.
type Fit struct {
	Name        string  `json:"name"`
	Role        string  `json:"role"`
	Description string  `json:"what"`
	SizeName    string  `json:"size"`
	Unit        Unit    `json:"unit"`
	Points      []Point `json:"points"`
	// Intercept and PerUnit (the gradient) define the line; RSquared is its coefficient
	// of determination.
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	RSquared  float64 `json:"r_squared"`
}

// At returns the line's value at a size, which may be larger than the measured ones.
func (f Fit) At(size float64) float64 { return f.Intercept + f.PerUnit*size }

// Run measures the slope at all its sizes and fits a line to the values.
func (s Slope) Run() (Fit, error) {
	fit := Fit{Name: s.Name, Role: s.Role, Description: s.Description, SizeName: s.SizeName, Unit: s.Unit}
	xs := make([]float64, 0, len(s.Sizes))
	ys := make([]float64, 0, len(s.Sizes))
	for _, size := range s.Sizes {
		value, err := s.Measure(size)
		if err != nil {
			return Fit{}, Failed.Wrap(err, "%s at %d", s.Name, size)
		}
		fit.Points = append(fit.Points, Point{Size: size, Value: value})
		xs = append(xs, float64(size))
		ys = append(ys, value)
	}
	fit.Intercept, fit.PerUnit = stat.LinearRegression(xs, ys, nil, false)
	fit.RSquared = stat.RSquared(xs, ys, nil, fit.Intercept, fit.PerUnit)
	return fit, nil
}
