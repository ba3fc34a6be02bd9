package control

import (
	"log/slog"
	"slices"
	"testing"
	"time"
)

// logged returns the values of a field in the lines with that message, and keeps the step's other
// effects.
func (h *harness) logged(message, field string) []any {
	var values []any
	for _, l := range h.logs {
		if l.Message != message {
			continue
		}
		for _, f := range l.Fields {
			if f.Name == field {
				values = append(values, f.Value)
			}
		}
	}
	return values
}

// Guards against a change of which nobody can say when the last entry had it, nor which lack it.
func TestEachDeclarationIsFollowedToTheLastEntry(t *testing.T) {
	h := newHarness(t)
	h.addEntry("entry-1")
	late := h.addEntry("entry-2")
	h.advance(time.Second)
	h.apply(testDeclaration(1, 0, "a", "one"))
	h.advance(time.Second)
	if got := h.logged("declaration in force at all entries", "revision"); !slices.Equal(got, []any{uint64(1)}) {
		t.Fatalf("in force: %v", got)
	}
	late.silent = true
	h.apply(testDeclaration(2, 1, "a", "two"))
	h.advance(2 * time.Second)
	if got := h.logged("declaration not in force at all entries", "names"); len(got) == 0 || !slices.Equal(got[0].([]string), []string{"entry-2"}) {
		t.Fatalf("lacking: %v", got)
	}
	late.silent = false
	h.advance(time.Second)
	if got := h.logged("declaration in force at all entries", "last_entry"); len(got) != 2 || got[1] != "entry-2" {
		t.Errorf("last entries: %v", got)
	}
}

// Guards against a declaration that was nearly late at the last entry, and of which no line warns.
func TestNearlyLateDeclarationIsAWarning(t *testing.T) {
	h := newHarness(t)
	h.cfg.InForceWithin = 2 * time.Second
	late := h.addEntry("entry-1")
	h.advance(time.Second)
	for n, c := range []struct {
		silent time.Duration
		want   slog.Level
	}{{100 * time.Millisecond, slog.LevelInfo}, {1400 * time.Millisecond, slog.LevelWarn}} {
		late.silent = true
		h.apply(testDeclaration(uint64(n+1), uint64(n), "a", "one"))
		h.advance(c.silent)
		late.silent = false
		h.advance(time.Second)
		if got := h.levels("declaration in force at all entries"); len(got) != n+1 || got[n] != c.want {
			t.Errorf("silent for %v: %v", c.silent, got)
		}
	}
}

// levels returns the levels of the lines with that message.
func (h *harness) levels(message string) []slog.Level {
	var levels []slog.Level
	for _, l := range h.logs {
		if l.Message == message {
			levels = append(levels, l.Level)
		}
	}
	return levels
}
