package settings

import "strconv"

// elementPath returns the path of element i of the list at path.
func elementPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
