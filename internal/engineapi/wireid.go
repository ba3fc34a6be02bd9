package engineapi

import "strings"

// wireSeparator occurs neither in member names nor in request ids of callers.
const wireSeparator = "~"

// WireID returns the request id that backend servers see. It consists of the member's
// name, the caller's request id and a nonce of the entry that accepted the request.
//
// Callers choose request ids, so two members may choose the same one, or one member
// may use the same one twice. With the caller's id alone, an engine would take the
// second request for another attempt of the first and answer with the first one's
// stream.
func WireID(member, requestID, nonce string) string {
	return member + wireSeparator + requestID + wireSeparator + nonce
}

// SplitWireID returns the member and the request id of a wire id. ok is false for other
// strings.
func SplitWireID(wireID string) (member, requestID string, ok bool) {
	parts := strings.Split(wireID, wireSeparator)
	if len(parts) != 3 {
		return "", "", false
	}
	return parts[0], parts[1], true
}
