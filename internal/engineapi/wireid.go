package engineapi

import "strings"

// wireSeparator stands in no member name and in no request id of a caller.
const wireSeparator = "~"

// WireID is the request id that backend servers see: the member's name, the
// caller's request id and a nonce of the entry that took the request.
//
// Callers choose request ids, so that two members may choose the same one, or
// one member the same one twice. With the bare id an engine would take the
// second request for an attempt of the first and answer with its stream.
func WireID(member, requestID, nonce string) string {
	return member + wireSeparator + requestID + wireSeparator + nonce
}

// SplitWireID gives member and request id back; ok is false for other strings.
func SplitWireID(wire string) (member, requestID string, ok bool) {
	parts := strings.Split(wire, wireSeparator)
	if len(parts) != 3 {
		return "", "", false
	}
	return parts[0], parts[1], true
}
