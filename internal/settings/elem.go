package settings

import "strconv"

// elem is the path of element i of the list at path.
func elem(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
