package capacity

import "slices"

// slopes are all slopes that the page is worked out from.
func slopes(p ProcessOptions) []Slope {
	return slices.Concat(
		messageSlopes(),
		entrySlopes(),
		controlSlopes(),
		p.slopes(),
	)
}
