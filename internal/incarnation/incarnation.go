// Package incarnation names the lives of backend servers. A server that starts again
// may keep its name, so that a life is the name with the time of its start.
package incarnation

import (
	"strconv"
	"strings"
)

// separator stands between a name and a start; names have none.
const separator = "~"

// ID names the life of a server that started at that Unix millisecond; 0: not told, and
// the name alone tells lives apart.
func ID(name string, startedMS int64) string {
	if startedMS <= 0 {
		return name
	}
	return name + separator + strconv.FormatInt(startedMS, 10)
}

// Name is the name that the server gave itself.
func Name(life string) string {
	name, _, _ := strings.Cut(life, separator)
	return name
}

// Valid tells whether a server's name can be part of a life.
func Valid(name string) bool { return name != "" && !strings.Contains(name, separator) }

// started is the Unix millisecond of the life's start, 0 if it is not told.
func started(life string) int64 {
	_, text, _ := strings.Cut(life, separator)
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return ms
}

// Before tells that a is an earlier life than b of a server of the same name.
func Before(a, b string) bool {
	return Name(a) == Name(b) && started(a) > 0 && started(a) < started(b)
}

// Matches tells whether a word about the life a is about b: a word that does not tell the
// start is about any life of its name.
func Matches(a, b string) bool { return a == b || a == Name(b) }
