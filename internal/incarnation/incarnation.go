// Package incarnation builds the ids of server incarnations. An incarnation is one run of a
// backend server's process. A server that restarts may keep its name, so the id is the name
// together with the time of the start.
package incarnation

import (
	"strconv"
	"strings"
)

// separator separates the name from the start time. Names don't contain it.
const separator = "~"

// ID returns the id of the incarnation that started at startUnixMS. If that is 0, the start is
// unknown and the id is the name alone.
func ID(name string, startUnixMS int64) string {
	if startUnixMS <= 0 {
		return name
	}
	return name + separator + strconv.FormatInt(startUnixMS, 10)
}

// Name returns the name under which the server announces itself.
func Name(incarnation string) string {
	name, _, _ := strings.Cut(incarnation, separator)
	return name
}

// Valid reports whether a server's name can be part of an incarnation id.
func Valid(name string) bool { return name != "" && !strings.Contains(name, separator) }

// startUnixMS returns the start of the incarnation in Unix milliseconds, or 0 if it is unknown.
func startUnixMS(incarnation string) int64 {
	_, text, _ := strings.Cut(incarnation, separator)
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return ms
}

// Before reports whether a is known to be an earlier incarnation than b of the same server.
func Before(a, b string) bool {
	return Name(a) == Name(b) && startUnixMS(a) > 0 && startUnixMS(a) < startUnixMS(b)
}

// Matches reports whether information about incarnation a applies to b. Without a start time,
// a stands for every incarnation of its server.
func Matches(a, b string) bool { return a == b || a == Name(b) }
