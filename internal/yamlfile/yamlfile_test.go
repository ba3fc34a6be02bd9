package yamlfile

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

type inner struct {
	Name string        `yaml:"name"`
	Wait time.Duration `yaml:"wait"`
}

type outer struct {
	Count int     `yaml:"count"`
	Items []inner `yaml:"items"`
}

func TestDecodeReportsEveryFindingWithItsPlace(t *testing.T) {
	const text = `count: many
items:
  - name: a
    wait: 5
  - name: b
    name: c
    colour: red
`
	var out outer
	file := Decode("x.yaml", []byte(text), &out)
	var got []string
	for _, f := range file.Findings() {
		got = append(got, f.String())
	}
	want := []string{
		`x.yaml:1: count: "many" is not a whole number in range`,
		`x.yaml:4: items[0].wait: "5" is not a duration; write a number with a unit, such as 500ms, 30s or 5m`,
		`x.yaml:6: items[1].name: the field stands twice; keep one`,
		`x.yaml:7: items[1].colour: unknown field; known are name, wait`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("findings (-want +got):\n%s", diff)
	}
}

func TestAddNamesTheNearestLine(t *testing.T) {
	var out outer
	file := Decode("x.yaml", []byte("items:\n  - name: a\n"), &out)
	file.Add("items[0].wait", "is missing")
	if got := file.Findings()[0].Line; got != 2 {
		t.Fatalf("line %d, want 2, the line of the element", got)
	}
}

func TestDecodeRefusesEmptyAndBrokenFiles(t *testing.T) {
	for _, text := range []string{"", "# nothing\n", "a: [", "- 1\n"} {
		var out outer
		if len(Decode("x.yaml", []byte(text), &out).Findings()) == 0 {
			t.Errorf("no finding for %q", text)
		}
	}
}
