package declaration

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validYAML = `revision: 2
base: 1
author: ops
profiles:
  - {name: counter, class: urgent, first_token: 2s, deadline: 30s, max_prompt_tokens: 2000, max_output_tokens: 400}
  - {name: portal, class: lookup, first_token: 1s, deadline: 5s}
models:
  - {name: licence, version: "1"}
services:
  - {name: questions, kind: model, model: licence, profile: counter}
  - name: receipts
    kind: plain
    profile: portal
    routes:
      - {method: POST, path: /receipts, repeat: once}
members:
  - {name: a, credential_sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08, services: [questions, receipts]}
backend_servers:
  - {prefix: engine-, fencing: checked}
`

func TestObjectsRoundTrip(t *testing.T) {
	d, findings := Parse("good.yaml", []byte(validYAML))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	encoded := d.ToProto()
	decoded, err := NewReader().Read(encoded.Revision, encoded.Objects)
	if err != nil {
		t.Fatal(err)
	}
	decoded.Base, decoded.Author = d.Base, d.Author
	if diff := cmp.Diff(d, decoded); diff != "" {
		t.Fatalf("declaration (-want +got):\n%s", diff)
	}
	if decoded.ToProto().Digest != encoded.Digest {
		t.Fatal("the digest changed in the round trip")
	}
}

func TestParseReportsAllFindingsTogether(t *testing.T) {
	invalid := strings.NewReplacer(
		"first_token: 2s", "first_token: 2",
		"class: lookup", "class: fast",
		"profile: counter}", "profile: counters}",
		"repeat: once", "repeat: never",
		"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08", `""`,
		"base: 1", "base: 2",
	).Replace(validYAML)
	_, findings := Parse("bad.yaml", []byte(invalid))
	var fields []string
	for _, f := range findings {
		if f.Line == 0 {
			t.Errorf("finding without a line: %v", f)
		}
		fields = append(fields, f.Field)
	}
	want := []string{
		"base", "profiles[0].first_token", "profiles[0].first_token", "profiles[1].class",
		"services[0].profile", "services[1].routes[0].repeat", "members[0].credential_sha256",
	}
	if diff := cmp.Diff(want, fields); diff != "" {
		t.Fatalf("fields (-want +got):\n%s", diff)
	}
}

func TestChecksFencingOfUnknownServersIsFalse(t *testing.T) {
	d, _ := Parse("good.yaml", []byte(validYAML))
	if !d.ChecksFencing("engine-1") || d.ChecksFencing("other-1") {
		t.Fatal("a server without a rule must be assumed to ignore fencing tokens")
	}
}
