package engineapi

import "strings"

// wireSeparator stands in no member name and in no request id of a caller.
const wireSeparator = "~"

// WireID is the request id that backend servers see: the member's name and the
// caller's request id.
//
// Callers choose request ids, so that two members may choose the same one. With
// the bare id an engine would take the second member's request for an attempt
// of the first member's and answer it with the first member's stream.
func WireID(member, requestID string) string { return member + wireSeparator + requestID }

// SplitWireID gives member and request id back; ok is false for other strings.
func SplitWireID(wire string) (member, requestID string, ok bool) {
	return strings.Cut(wire, wireSeparator)
}
