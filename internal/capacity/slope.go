package capacity

import (
	"gonum.org/v1/gonum/stat"
)

// Unit is what a slope's values are in.
type Unit string

// Units of slopes.
const (
	Bytes        Unit = "bytes"
	Microseconds Unit = "µs"
	// Percent is of one core.
	Percent        Unit = "% of a core"
	Megabytes      Unit = "MB"
	BytesPerSecond Unit = "bytes/s"
)

// Slope is one cost that is measured at several sizes.
type Slope struct {
	// Name is short and stable; plots and the table use it.
	Name string
	// Role is whose cost it is: entry, control replica, operator tool.
	Role string
	// Description says in words what one value is.
	Description string
	// SizeName names the quantity that grows; Unit is the unit of the cost.
	SizeName string
	Unit     Unit
	// Sizes are at least four.
	Sizes []int
	// Measure gives the cost at a size.
	Measure func(size int) (float64, error)
}

// Point is one measurement.
type Point struct {
	Size  int     `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a slope with its measurements and the line through them.
type Fit struct {
	Name        string  `json:"name"`
	Role        string  `json:"role"`
	Description string  `json:"what"`
	SizeName    string  `json:"size"`
	Unit        Unit    `json:"unit"`
	Points      []Point `json:"points"`
	// Intercept and PerUnit are the line's; RSquared tells how well it fits.
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
	RSquared  float64 `json:"r_squared"`
}

// At gives the line's value at a size, which may lie beyond the measured ones.
func (f Fit) At(size float64) float64 { return f.Intercept + f.PerUnit*size }

// Run measures a slope at all its sizes and fits the line.
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
