package ctl_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/control/runner"
	"goldcrestseam.dev/goldcrestseam/internal/ctl"
	"goldcrestseam.dev/goldcrestseam/internal/devcert"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
)

const (
	testCluster = "goldcrest"
	platformDir = "../../deploy/platform/"
)

var (
	templateValue   = regexp.MustCompile(`\{\{[^#^/{}]+\}\}`)
	templateSection = regexp.MustCompile(`\{\{[#^][^{}]+\}\}[^{}]*\{\{/[^{}]+\}\}`)
)

// fillTemplate writes a settings file from a template of the platform, without its optional sections.
// As on the platform, the seeds are the addresses of another service of the control VMs.
func fillTemplate(t *testing.T, name, control string) string {
	t.Helper()
	data, err := os.ReadFile(platformDir + name)
	if err != nil {
		t.Fatal(err)
	}
	host, port, _ := net.SplitHostPort(control)
	values := map[string]string{
		"{{ip}}": host, "{{internal-port-range.0}}": port, "{{seeds}}": `"127.0.0.1:1"`, "{{bootstrap}}": "true",
		"{{listen.control-plane}}": "127.0.0.1:2", "{{data-dir}}": t.TempDir(),
	}
	text := templateValue.ReplaceAllStringFunc(string(data), func(name string) string {
		if value, ok := values[name]; ok {
			return value
		}
		return "1"
	})
	for templateSection.MatchString(text) {
		text = templateSection.ReplaceAllString(text, "")
	}
	return writeFile(t, name, strings.ReplaceAll(text, `metrics_address: "`+host+`:9090"`, `metrics_address: ""`))
}

// writeSettings writes the settings file of the only control replica of a group.
func writeSettings(t *testing.T, control, auth string) string {
	t.Helper()
	return writeFile(t, "control.yaml", fmt.Sprintf(`
common:
  cluster: %s
  name: control-1
  region: r
  data_centre: dc-1
  control: [%q]
  auth: {%s}
group_from_control: true
first_start: true
address: %q
data_dir: %q
`, testCluster, control, auth, control, t.TempDir()))
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// startControl runs a control replica with this settings file until the test ends.
func startControl(t *testing.T, file string) {
	t.Helper()
	set, findings := settings.LoadControl(file)
	if len(findings) > 0 {
		t.Fatal(findings.Err())
	}
	r, err := runner.New(set, slog.New(slog.DiscardHandler), runner.Drivers{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ended
	})
}

// run runs goldcrestctl and returns its exit code and everything that it printed.
func run(args ...string) (int, string) {
	var out strings.Builder
	root := ctl.NewRoot()
	root.SetArgs(args)
	root.SetOut(&out)
	code := cli.Run(root, &out)
	return code, out.String()
}

func expectCode(t *testing.T, want int, args ...string) string {
	t.Helper()
	code, out := run(args...)
	if code != want {
		t.Errorf("goldcrestctl %s: exit code %d, want %d; it printed:\n%s", strings.Join(args, " "), code, want, out)
	}
	return out
}

// Guards against a deployment in a trusted network that its operators can't reach: the client
// insisted on a credential, and control refuses any.
func TestTrustedNetworkNeedsNoCredential(t *testing.T) {
	control := freeAddress(t)
	controlFile := fillTemplate(t, "control.yaml", control)
	startControl(t, controlFile)
	for _, access := range [][]string{
		{"--settings", controlFile},
		{"--settings", fillTemplate(t, "entry.yaml", control)},
		{"--control", control, "--cluster", testCluster, "--trusted-network"},
	} {
		out := expectCode(t, cli.ExitOK, append([]string{"replica", "list"}, access...)...)
		if !strings.Contains(out, control) {
			t.Errorf("replica list printed:\n%s", out)
		}
		expectCode(t, cli.ExitOK, append([]string{"status"}, access...)...)
		expectCode(t, cli.ExitRefused, append([]string{"drain", "unknown-server"}, access...)...)
	}
	expectCode(t, cli.ExitRefused, "status", "--settings", controlFile, "--shared-key-file", writeFile(t, "key", "0123456789abcdef"))
}

// Guards against a control outside a trusted network, or one that names credentials all the same,
// that answers calls without them.
func TestControlWithCredentialsRefusesCallsWithout(t *testing.T) {
	key := writeFile(t, "key", "0123456789abcdef")
	certs, err := devcert.Write(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	tls := fmt.Sprintf("cert_file: %q, key_file: %q, ca_file: %q", certs.CertFile, certs.KeyFile, certs.CAFile)
	keyFlags := []string{"--shared-key-file", key}
	tlsFlags := []string{"--cert-file", certs.CertFile, "--key-file", certs.KeyFile, "--ca-file", certs.CAFile}
	for _, c := range []struct {
		name, auth string
		own        []string
		refusal    int
	}{
		{"key", fmt.Sprintf("shared_key_file: %q", key), keyFlags, cli.ExitRefused},
		{"key, trusted", fmt.Sprintf("shared_key_file: %q, trusted_network: true", key), keyFlags, cli.ExitRefused},
		{"TLS", tls, tlsFlags, cli.ExitUnknown},
		{"TLS, trusted", tls + ", trusted_network: true", tlsFlags, cli.ExitUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			control := freeAddress(t)
			file := writeSettings(t, control, c.auth)
			startControl(t, file)
			expectCode(t, cli.ExitOK, "status", "--settings", file)
			flags := []string{"status", "--control", control, "--cluster", testCluster}
			expectCode(t, cli.ExitOK, append(flags, c.own...)...)
			expectCode(t, c.refusal, append(flags, "--trusted-network", "--timeout", "1s")...)
			expectCode(t, c.refusal, "status", "--settings", file, "--trusted-network", "--timeout", "1s")
		})
	}
}

// countingControl returns the address of a server that counts the calls that it gets.
func countingControl(t *testing.T) (address string, calls *atomic.Int64) {
	calls = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusForbidden)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), calls
}

// Guards against a call in the clear by an operator who named a credential, and against one
// without any that nobody asked for.
func TestContradictingOrMissingCredentialsAreWrongUsage(t *testing.T) {
	control, calls := countingControl(t)
	trustedFile := writeSettings(t, control, "trusted_network: true")
	flags := []string{"--control", control, "--cluster", testCluster}
	for _, c := range []struct {
		args    []string
		problem string
	}{
		{flags, "--trusted-network or --settings is needed"},
		{append(flags, "--trusted-network=false"), "is needed"},
		{[]string{"--settings", writeSettings(t, control, "")}, "is needed"},
		{append(flags, "--key-file", "k"), "is needed"},
		{append(flags, "--trusted-network", "--shared-key-file", "k"), "--trusted-network excludes"},
		{append(flags, "--trusted-network", "--cert-file", "c"), "--trusted-network excludes"},
		{append(flags, "--trusted-network", "--key-file", "k"), "--trusted-network excludes"},
		{append(flags, "--trusted-network", "--ca-file", "c"), "--trusted-network excludes"},
		{[]string{"--settings", trustedFile, "--key-file", "k", "--ca-file", "c"}, "need --cert-file"},
	} {
		out := expectCode(t, cli.ExitUsage, append([]string{"status"}, c.args...)...)
		if !strings.Contains(out, c.problem) {
			t.Errorf("%v: printed %q, want %q in it", c.args, out, c.problem)
		}
	}
	if n := calls.Load(); n != 0 {
		t.Errorf("%d calls were made", n)
	}
}
