package incarnation

import "testing"

func TestIncarnationsOfOneServer(t *testing.T) {
	first, second, unknownStart := ID("i-1", 1000), ID("i-1", 2000), ID("i-1", 0)
	if first == second || Name(first) != "i-1" || Name(unknownStart) != "i-1" || unknownStart != "i-1" {
		t.Fatalf("incarnations %q, %q, %q", first, second, unknownStart)
	}
	if !Before(first, second) || Before(second, first) || Before(first, first) || Before(unknownStart, first) {
		t.Error("incarnations of one server are ordered incorrectly")
	}
	if Before(ID("i-1", 1000), ID("i-2", 2000)) {
		t.Error("incarnations of two servers are ordered")
	}
	if !Matches(unknownStart, second) || !Matches(first, first) || Matches(first, second) || Matches(second, unknownStart) {
		t.Error("Matches is wrong")
	}
	if Valid("") || Valid("a~b") || !Valid("i-1") {
		t.Error("Valid is wrong")
	}
}
