//go:build review

// Package main plays the cases of review/ on the project's own programs: it starts them as separate
// processes with settings rendered from the templates of the deploy file, beside stand-ins of the
// platform, its operator, its engines and its requesters.
package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine; each machine has a loopback address of its own.
const (
	portFrontend  = 8144
	portReady     = 8140
	portDirectory = 8141
	portControl   = 8146
	portInternal  = 7660
	portEngine    = 8080
)

var zones = []string{"muscat-a", "muscat-b", "muscat-c"}

// machine is one machine of the system with its one process.
type machine struct {
	name, ip, zone, template, program string
	values                            map[string]string
	settings, logFile                 string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// site is a small deployment on loopback addresses.
type site struct {
	root, dir string
	network   int
	lock      net.Listener
	control   []*machine
	edge      []*machine
	seeds     string
	rec       *record
}

// record writes what happened to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cantRun("record: %v", err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cantRun ends the program with 2: the case could not run.
func cantRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "can't run: "+format+"\n", args...)
	endAll()
	os.Exit(2)
}

var (
	runningMu sync.Mutex
	running   []*machine
	// networks keeps the locks of networks from being collected, which would free them.
	networks []net.Listener
)

// endAll kills every process that was started.
func endAll() {
	runningMu.Lock()
	list := running
	runningMu.Unlock()
	for _, m := range list {
		m.kill()
	}
}

func (s *site) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.network, group, n) }

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// newSite lays out machines of control and of the edge; none is started.
func newSite(root, dir string, rec *record, control, edge int) *site {
	s := &site{root: root, dir: dir, rec: rec}
	for i := 0; i < 100 && s.lock == nil; i++ {
		s.network = 70 + (os.Getpid()+i)%100
		s.lock, _ = net.Listen("tcp", addr(s.ip(9, 9), portInternal))
	}
	if s.lock == nil {
		cantRun("no free loopback addresses")
	}
	networks = append(networks, s.lock)
	var seeds []string
	for n := 1; n <= min(3, control); n++ {
		seeds = append(seeds, addr(s.ip(1, n), portControl))
	}
	s.seeds = strings.Join(seeds, ",")
	for n := 1; n <= control; n++ {
		s.control = append(s.control, s.newMachine("core", "control", s.ip(1, n), n))
	}
	for n := 1; n <= edge; n++ {
		s.edge = append(s.edge, s.newMachine("edge", "entry", s.ip(3, n), n))
	}
	return s
}

func (s *site) newMachine(class, role, ip string, n int) *machine {
	zone := zones[(n-1)%len(zones)]
	m := &machine{
		name: fmt.Sprintf("%s-%s-%d", class, zone, n), ip: ip, zone: zone,
		template: filepath.Join(s.root, "deploy", "platform", role+".yaml"),
		program:  filepath.Join(s.root, "target", "goldcrest-"+role),
	}
	m.settings, m.logFile = filepath.Join(s.dir, m.name+".conf"), filepath.Join(s.dir, m.name+".log")
	m.values = map[string]string{
		"node-name": m.name, "region": "muscat", "zone": zone, "ip": ip, "seeds": s.seeds, "bootstrap": "true",
		"internal-port-range.0": fmt.Sprint(portInternal), "limits.memory-mb": "284", "limits.max-fds": "4100",
		"fault-tolerance.machines": "1", "bounds.config-apply-ms": "2000",
		"bounds.retry-budget-ratio": "0.2", "bounds.retry-budget-extra": "58", "bounds.budget-window-s": "10",
	}
	if role == "control" {
		m.values["limits.memory-mb"], m.values["limits.max-fds"] = "280", "4096"
		m.values["listen.control-plane"] = addr(ip, portControl)
		m.values["data-dir"] = filepath.Join(s.dir, "data", m.name)
		if err := os.MkdirAll(m.values["data-dir"], 0o700); err != nil {
			cantRun("%v", err)
		}
		return m
	}
	m.values["listen.frontend"], m.values["listen.directory"] = addr(ip, portFrontend), addr(ip, portDirectory)
	m.values["listen.readiness"] = addr(ip, portReady)
	return m
}

var (
	sectionTag  = regexp.MustCompile(`\{\{([#^])([a-z0-9.-]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)
)

// expand fills a template's sections in.
func expand(text string, values map[string]string) string {
	at := sectionTag.FindStringSubmatchIndex(text)
	if at == nil {
		return text
	}
	mark, name := text[at[2]:at[3]], text[at[4]:at[5]]
	body, after, ok := strings.Cut(text[at[1]:], "{{/"+name+"}}")
	if !ok {
		cantRun("template: section %s is not closed", name)
	}
	set := values[name] != "" && values[name] != "false"
	if set != (mark == "#") {
		body = ""
	}
	return text[:at[0]] + expand(body+after, values)
}

// render writes the settings file, as the platform does at each start.
func (m *machine) render() {
	text, err := os.ReadFile(m.template)
	if err != nil {
		cantRun("%v", err)
	}
	out := placeholder.ReplaceAllStringFunc(expand(string(text), m.values), func(p string) string {
		return m.values[strings.Trim(p, "{}")]
	})
	if err := os.WriteFile(m.settings, []byte(out), 0o600); err != nil {
		cantRun("%v", err)
	}
}

// start starts the process with the command of the deploy file.
func (m *machine) start() {
	m.render()
	log, err := os.OpenFile(m.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cantRun("%v", err)
	}
	cmd := exec.Command(m.program, "run", "--settings", m.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cantRun("%s: %v", m.program, err)
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	runningMu.Lock()
	running = append(running, m)
	runningMu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
}

func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(sig)
	}
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}
