package proof

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/joomcode/errorx"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("proof")

// Failed is the type of errors that keep a trial from being carried out.
var Failed = Namespace.NewType("failed")

// ModuleRoot returns the nearest directory with a go.mod, from the working
// directory upwards. Errors: Failed.
func ModuleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", Failed.Wrap(err, "working directory")
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", Failed.New("no go.mod in the working directory or above it")
		}
		dir = parent
	}
}

// Build builds all programs of the module at root into the directory bin.
// Errors: Failed.
func Build(root, bin string) error {
	cmd := exec.Command("go", "build", "-o", bin+string(filepath.Separator), "./cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return Failed.Wrap(err, "go build: %s", out)
	}
	return nil
}
