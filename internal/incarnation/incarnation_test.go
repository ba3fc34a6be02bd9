package incarnation

import "testing"

func TestLivesOfOneName(t *testing.T) {
	first, second, untold := ID("i-1", 1000), ID("i-1", 2000), ID("i-1", 0)
	if first == second || Name(first) != "i-1" || Name(untold) != "i-1" || untold != "i-1" {
		t.Fatalf("lives %q, %q, %q", first, second, untold)
	}
	if !Before(first, second) || Before(second, first) || Before(first, first) || Before(untold, first) {
		t.Error("the order of lives is wrong")
	}
	if Before(ID("i-1", 1000), ID("i-2", 2000)) {
		t.Error("lives of two servers have an order")
	}
	if !Matches(untold, second) || !Matches(first, first) || Matches(first, second) || Matches(second, untold) {
		t.Error("words reach the wrong lives")
	}
	if Valid("") || Valid("a~b") || !Valid("i-1") {
		t.Error("names are not told apart")
	}
}
