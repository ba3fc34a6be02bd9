package capacity

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Plot writes the measurements and the fitted line to dir/NAME.svg, where NAME is the
// slope's name.
func (f Fit) Plot(dir string) error {
	p := plot.New()
	p.Title.Text = f.Name
	p.X.Label.Text = f.SizeName
	p.Y.Label.Text = string(f.Unit)
	points := make(plotter.XYs, 0, len(f.Points))
	for _, m := range f.Points {
		points = append(points, plotter.XY{X: float64(m.Size), Y: m.Value})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return Failed.Wrap(err, "plot %s", f.Name)
	}
	line := plotter.NewFunction(f.At)
	line.XMin, line.XMax = points[0].X, points[len(points)-1].X
	p.Add(plotter.NewGrid(), line, scatter)
	if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, f.Name+".svg")); err != nil {
		return Failed.Wrap(err, "plot %s", f.Name)
	}
	return nil
}
