package testbed

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/devcert"
	"goldcrestseam.dev/goldcrestseam/internal/settings"
	"goldcrestseam.dev/goldcrestseam/internal/standin/forwarder"
	"goldcrestseam.dev/goldcrestseam/internal/standin/journal"
)

// Bed is a test bed: one deployment that runs in real processes on this machine.
type Bed struct {
	Control      []*Process
	Entries      []*Process
	Engines      []*Process
	PlainServers []*Process
	// Forwarders holds the forwarders in front of engines by engine ID and, with
	// Options.ForwardControl, those between control replicas.
	Forwarders map[string]*forwarder.Forwarder
	// Declaration is the deployment's declaration, which Start applies.
	Declaration *declaration.Declaration

	options          Options
	ports            *portAllocator
	auth             settings.Auth
	controlAddresses []string
	wg               conc.WaitGroup
}

// New writes the settings of all processes. It starts no process. Errors: Failed.
func New(o Options) (*Bed, error) {
	o.setDefaults()
	b := &Bed{options: o, ports: newPortAllocator(), Forwarders: make(map[string]*forwarder.Forwarder)}
	d, findings := declaration.Load(b.DeclarationFile())
	if err := findings.Err(); err != nil {
		return nil, Failed.Wrap(err, "declaration")
	}
	b.Declaration = d
	if err := os.MkdirAll(b.path(journalDir), 0o700); err != nil {
		return nil, Failed.Wrap(err, "folder")
	}
	if err := b.writeAuth(); err != nil {
		return nil, err
	}
	for _, prepare := range []func() error{
		b.prepareControl, b.prepareEntries, func() error { return b.prepareServers(d) },
	} {
		if err := prepare(); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// DeclarationFile returns the path of the declaration that Start applies.
func (b *Bed) DeclarationFile() string {
	return filepath.Join(b.options.DeployDir, b.options.Deployment, "declaration.yaml")
}

// Processes returns all processes of the test bed.
func (b *Bed) Processes() []*Process {
	var all []*Process
	for _, list := range [][]*Process{b.Control, b.Entries, b.Engines, b.PlainServers} {
		all = append(all, list...)
	}
	return all
}

// Process returns the process with the given name, or nil.
func (b *Bed) Process(name string) *Process {
	for _, p := range b.Processes() {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// ControlForwarder returns the forwarder for connections from one control replica
// to another, by replica ID, or nil.
func (b *Bed) ControlForwarder(from, to uint64) *forwarder.Forwarder {
	return b.Forwarders[controlForwarderName(from, to)]
}

// Auth returns the settings with which the processes authenticate each other.
func (b *Bed) Auth() settings.Auth { return b.auth }

func (b *Bed) writeAuth() error {
	if b.options.TLS {
		auth, err := devcert.Write(b.options.Dir)
		if err != nil {
			return Failed.Wrap(err, "certificates")
		}
		b.auth = auth
	}
	b.auth.SharedKeyFile = b.path("shared.key")
	if err := os.WriteFile(b.auth.SharedKeyFile, []byte(sharedKey), 0o600); err != nil {
		return Failed.Wrap(err, "shared key")
	}
	return nil
}

// EntryAddresses returns the caller addresses of all entries.
func (b *Bed) EntryAddresses() []string {
	var list []string
	for _, e := range b.Entries {
		list = append(list, e.Address)
	}
	return list
}

// Start starts all processes, applies the declaration and waits until every entry
// serves it. After an error, started processes keep running until Close.
// Errors: Failed.
func (b *Bed) Start(ctx context.Context) error {
	for _, p := range b.Processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := b.applyDeclaration(ctx); err != nil {
		return err
	}
	return b.WaitReady(ctx)
}

// applyRetryInterval is the wait before the declaration is applied again, for
// example because the control replicas have not elected a leader yet.
const applyRetryInterval = 200 * time.Millisecond

func (b *Bed) applyDeclaration(ctx context.Context) error {
	for {
		out, err := b.RunCtl(ctx, "apply", b.DeclarationFile(), "--wait")
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return Failed.Wrap(err, "apply: %s", out)
		case <-time.After(applyRetryInterval):
		}
	}
}

// RunCtl runs goldcrestctl against the control replicas and returns its output.
// Errors: Failed.
func (b *Bed) RunCtl(ctx context.Context, args ...string) (string, error) {
	args = append(args, "--control", strings.Join(b.controlAddresses, ","),
		"--cluster", b.options.Deployment, "--shared-key-file", b.auth.SharedKeyFile)
	if b.auth.TLS() {
		args = append(args, "--cert-file", b.auth.CertFile, "--key-file", b.auth.KeyFile, "--ca-file", b.auth.CAFile)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(b.options.BinDir, binCtl), args...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), Failed.Wrap(err, "goldcrestctl %s: %s", args[0], out)
	}
	return string(out), nil
}

// WaitReady waits until every running entry serves a probe of each declared
// service. Errors: Failed.
func (b *Bed) WaitReady(ctx context.Context) error {
	entries := pool.New().WithContext(ctx)
	for _, e := range b.Entries {
		if e.Running() {
			entries.Go(func(ctx context.Context) error { return b.waitEntryReady(ctx, e) })
		}
	}
	return entries.Wait()
}

func (b *Bed) waitEntryReady(ctx context.Context, e *Process) error {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	lastFailure := ""
	for {
		ok := true
		for _, s := range b.Declaration.Services {
			var reason string
			if reason = b.probe(ctx, client, e.Address, s); reason != "" {
				ok, lastFailure = false, s.Name+": "+reason
			}
		}
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return Failed.New("%s does not serve service %s", e.Name, lastFailure)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// JournalRecords returns all journal records of the stand-in servers.
func (b *Bed) JournalRecords() ([]journal.Record, error) { return journal.ReadAll(b.path(journalDir)) }

// UnexpectedlyExited returns the names of processes that exited although the test
// did not stop them.
func (b *Bed) UnexpectedlyExited() []string {
	var names []string
	for _, p := range b.Processes() {
		if p.UnexpectedExits() > 0 {
			names = append(names, p.Name)
		}
	}
	return names
}

// Close kills every process that still runs, each by its ID, waits for their exit
// and closes the forwarders.
func (b *Bed) Close() {
	for _, p := range b.Processes() {
		p.Signal(syscall.SIGKILL)
	}
	b.wg.Wait()
	for _, f := range b.Forwarders {
		f.Close()
	}
}

// Dir returns the directory with settings, logs, data and journals.
func (b *Bed) Dir() string { return b.options.Dir }
