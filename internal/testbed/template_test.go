package testbed

import "testing"

// Guards against settings with a section that the platform would leave out, or without one that it would keep.
func TestTemplateIsFilledAsThePlatformDoes(t *testing.T) {
	const template = "a: {{x}}{{#on}} b: {{y}}{{/on}}{{^on}} c{{/on}}{{#off}} d{{/off}}{{^off}} e{{/off}}{{#none}} f{{/none}}"
	values := map[string]string{"x": "1", "y": "2", "on": "true", "off": "false"}
	if got, want := FillTemplate(template, values), "a: 1 b: 2 e"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
