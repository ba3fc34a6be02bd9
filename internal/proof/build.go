package proof

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

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

// RunWithPrograms builds all programs, calls run with the module's root and the directory of the
// programs, and returns its exit code. The parent of that directory is new and removed at the end,
// unless run fails and GOLDCREST_KEEP is set.
func RunWithPrograms(prefix string, run func(root, bin string) int) int {
	dir, err := os.MkdirTemp("", prefix)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	code, bin := 1, filepath.Join(dir, "bin")
	root, err := ModuleRoot()
	if err == nil {
		err = Build(root, bin)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = run(root, bin)
	}
	if code == 0 || os.Getenv("GOLDCREST_KEEP") == "" {
		_ = os.RemoveAll(dir)
	}
	return code
}

// EnvInt returns an integer from the environment. Errors: Failed.
func EnvInt(name string, defaultValue int) (int, error) {
	v := os.Getenv(name)
	if v == "" {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, Failed.Wrap(err, "%s", name)
	}
	return n, nil
}

// SeedCount returns how many seeds to run: one, or GOLDCREST_SEEDS of them. Errors: Failed.
func SeedCount() (int, error) {
	n, err := EnvInt("GOLDCREST_SEEDS", 1)
	if err == nil && n < 1 {
		err = Failed.New("GOLDCREST_SEEDS is less than 1")
	}
	return n, err
}
