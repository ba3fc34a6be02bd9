package capacity

import "slices"

// slopes returns all slopes that CAPACITY.md shows or derives estimates from.
func slopes(p ProcessOptions) []Slope {
	return slices.Concat(
		messageSlopes(),
		entrySlopes(),
		controlSlopes(),
		p.slopes(),
	)
}
