package proof

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// checkNoCredentialWritten fails the test if a log, a journal, a settings file or the
// data of any process contains a member's token.
func checkNoCredentialWritten(t *testing.T, b *testbed.Bed) {
	t.Helper()
	if leaks := filesWithCredentials(t, b.Dir()); len(leaks) > 0 {
		t.Errorf("files with credentials: %v", leaks)
	}
}

// filesWithCredentials lists the files below dir that contain a member's token.
func filesWithCredentials(t *testing.T, dir string) []string {
	t.Helper()
	var leaks []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, member := range Members {
			if bytes.Contains(data, []byte(testbed.MemberToken(Deployment, member))) {
				leaks = append(leaks, path)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return leaks
}

// Guards against a check that misses a credential in a written file.
func TestWrittenCredentialIsFound(t *testing.T) {
	dir := t.TempDir()
	line := `{"msg":"call","header":"Bearer ` + testbed.MemberToken(Deployment, Members[1]) + `"}`
	if err := os.MkdirAll(filepath.Join(dir, "logs"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "logs", "entry"), []byte(line), 0o600); err != nil {
		t.Fatal(err)
	}
	if leaks := filesWithCredentials(t, dir); len(leaks) != 1 {
		t.Errorf("files with credentials: %v", leaks)
	}
}
