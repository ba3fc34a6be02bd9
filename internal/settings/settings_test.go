package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadControlFindings(t *testing.T) {
	path := writeSettings(t, `common:
  cluster: q
  name: control-1
  region: muscat
  control: [127.0.0.1:1, nowhere]
  log: {level: loud}
replica_id: 4
address: 127.0.0.1:1
data_dir: d
bootstrap:
  - {id: 1, address: 127.0.0.1:1}
  - {id: 1, address: 127.0.0.1:1}
`)
	_, findings := LoadControl(path)
	var got []string
	for _, f := range findings {
		got = append(got, f.Field)
	}
	want := []string{
		"common.auth", "common.data_centre", "common.control[1]", "common.log.level",
		"replica_id", "bootstrap[1].address", "bootstrap[1].id",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("fields (-want +got):\n%s", diff)
	}
}

func TestLoadEntryDefaults(t *testing.T) {
	path := writeSettings(t, "")
	key := filepath.Join(filepath.Dir(path), "key")
	if err := os.WriteFile(key, []byte("0123456789abcdef"), 0o600); err != nil {
		t.Fatal(err)
	}
	path = writeSettings(t, `common:
  cluster: q
  name: entry-1
  region: muscat
  data_centre: muscat-1
  control: [127.0.0.1:1]
  auth: {shared_key_file: `+key+`}
caller_address: 127.0.0.1:2
peer_address: 127.0.0.1:3
`)
	s, findings := LoadEntry(path)
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	if s.MaxStreams != DefaultMaxStreams || s.EntryListTTL != DefaultEntryListTTL || s.Common.Log.SampleRouting != 1 {
		t.Fatalf("defaults are not set: %+v", s)
	}
}

func TestLoadOfMissingFileIsAFinding(t *testing.T) {
	if _, findings := LoadEntry(filepath.Join(t.TempDir(), "none")); len(findings) != 1 {
		t.Fatalf("findings %v, want one", findings)
	}
}
