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

// Bed is one deployment in real processes.
type Bed struct {
	Control      []*Process
	Entries      []*Process
	Engines      []*Process
	PlainServers []*Process
	// Forwarders stand before the engines with those ids and, with
	// Options.ForwardControl, between the control replicas.
	Forwarders map[string]*forwarder.Forwarder
	// Declaration is what was applied.
	Declaration *declaration.Declaration

	options          Options
	ports            *portSource
	auth             settings.Auth
	controlAddresses []string
	wg               conc.WaitGroup
}

// New writes all settings and starts nothing. Errors: Failed.
func New(o Options) (*Bed, error) {
	o.setDefaults()
	b := &Bed{options: o, ports: newPortSource(), Forwarders: make(map[string]*forwarder.Forwarder)}
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
	for _, plan := range []func() error{
		b.planControl, b.planEntries, func() error { return b.planServers(d) },
	} {
		if err := plan(); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// DeclarationFile is the file that Start applies.
func (b *Bed) DeclarationFile() string {
	return filepath.Join(b.options.DeployDir, b.options.Deployment, "declaration.yaml")
}

// Processes lists all of them.
func (b *Bed) Processes() []*Process {
	var all []*Process
	for _, list := range [][]*Process{b.Control, b.Entries, b.Engines, b.PlainServers} {
		all = append(all, list...)
	}
	return all
}

// Process gives the process with that name, or nil.
func (b *Bed) Process(name string) *Process {
	for _, p := range b.Processes() {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// ControlForwarder gives the forwarder on the way from one control replica to another, by
// their ids, or nil.
func (b *Bed) ControlForwarder(from, to uint64) *forwarder.Forwarder {
	return b.Forwarders[linkName(from, to)]
}

// Auth is how the bed's own processes know each other.
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

// EntryAddresses lists where callers connect.
func (b *Bed) EntryAddresses() []string {
	var list []string
	for _, e := range b.Entries {
		list = append(list, e.Address)
	}
	return list
}

// Start starts all processes, applies the declaration and waits until every
// entry serves it. On an error what was started still runs: call Close.
// Errors: Failed.
func (b *Bed) Start(ctx context.Context) error {
	for _, p := range b.Processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := b.applyFirst(ctx); err != nil {
		return err
	}
	return b.WaitReady(ctx)
}

// applyPause is how long to wait before applying again while control elects.
const applyPause = 200 * time.Millisecond

func (b *Bed) applyFirst(ctx context.Context) error {
	for {
		out, err := b.RunCtl(ctx, "apply", b.DeclarationFile(), "--wait")
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return Failed.Wrap(err, "apply: %s", out)
		case <-time.After(applyPause):
		}
	}
}

// RunCtl runs goldcrestctl against the bed's control replicas and gives what it
// printed. Errors: Failed.
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

// WaitReady waits until every running entry serves a completion and a plain
// call. Errors: Failed.
func (b *Bed) WaitReady(ctx context.Context) error {
	entries := pool.New().WithContext(ctx)
	for _, e := range b.Entries {
		if e.Running() {
			entries.Go(func(ctx context.Context) error { return b.waitEntry(ctx, e) })
		}
	}
	return entries.Wait()
}

func (b *Bed) waitEntry(ctx context.Context, e *Process) error {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for {
		ok := true
		for _, s := range b.Declaration.Services {
			var reason string
			if reason = b.probe(ctx, client, e.Address, s); reason != "" {
				ok, last = false, s.Name+": "+reason
			}
		}
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return Failed.New("%s does not serve %s", e.Name, last)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// JournalRecords gives all that the stand-ins have written down.
func (b *Bed) JournalRecords() ([]journal.Record, error) { return journal.ReadAll(b.path(journalDir)) }

// UnexpectedlyExited lists processes that ended without the bed's doing.
func (b *Bed) UnexpectedlyExited() []string {
	var names []string
	for _, p := range b.Processes() {
		if p.UnexpectedExits() > 0 {
			names = append(names, p.Name)
		}
	}
	return names
}

// Close kills every process that still runs, each by its id, and waits.
func (b *Bed) Close() {
	for _, p := range b.Processes() {
		p.Signal(syscall.SIGKILL)
	}
	b.wg.Wait()
	for _, f := range b.Forwarders {
		f.Close()
	}
}

// Dir is the folder with settings, logs, data and journals.
func (b *Bed) Dir() string { return b.options.Dir }
