//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"goldcrestseam.dev/goldcrestseam/internal/standin/forwarder"
	"goldcrestseam.dev/goldcrestseam/internal/testbed"
)

// options say how large a deployment is.
type options struct {
	control, entries int
	// splits puts a forwarder before each control replica, so that replicas can be cut from each other.
	splits bool
}

// Ports on each machine; each machine has its own loopback address.
const (
	portCallers   = 8144
	portReady     = 8140
	portDirectory = 8141
	portRegistry  = 8146
	portInternal  = 7660
	portEngine    = 8080
)

// Groups of loopback addresses: the third byte of an address.
const (
	groupControl = 1
	groupDirect  = 2
	groupEntry   = 3
	groupEngine  = 5
)

// firstNetwork and networkCount are the range of the second byte of the loopback addresses. A run claims one value.
const (
	firstNetwork = 200
	networkCount = 40
)

// machine is a process of the system with its own address.
type machine struct {
	*testbed.Process
	ip       string
	template string
	settings string
	values   map[string]string
	// link is the forwarder before a control replica, nil without splits.
	link *forwarder.Forwarder
}

// deployment holds the processes of the system.
type deployment struct {
	dir     string
	network int
	lock    net.Listener
	control []*machine
	entries []*machine
	record  *record
	wg      conc.WaitGroup
	version uint64
}

func newDeployment(root string, o options, rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-stage-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: rec}
	for i := range networkCount {
		d.network = firstNetwork + (os.Getpid()+i)%networkCount
		if d.lock, err = net.Listen("tcp", address(d.ip(0, 1), portInternal)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, errors.New("no free loopback addresses")
	}
	for n := range o.control {
		if err := d.add(root, o, "control", n+1); err != nil {
			return nil, err
		}
	}
	for n := range o.entries {
		if err := d.add(root, o, "entry", n+1); err != nil {
			return nil, err
		}
	}
	return d, d.start()
}

func (d *deployment) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", d.network, group, n) }

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// add writes no settings yet: start does, as the platform does at each start.
func (d *deployment) add(root string, o options, role string, n int) error {
	name := role + "-" + strconv.Itoa(n)
	m := &machine{
		template: filepath.Join(root, "deploy", "platform", role+".yaml"), settings: filepath.Join(d.dir, name+".yaml"),
		values: map[string]string{
			"node-name": name, "region": "ph-luzon", "zone": "luzon-" + string(rune('a'+(n-1)%3)), "seeds": d.seeds(o), "bootstrap": "true",
			"internal-port-range.0": strconv.Itoa(portInternal), "limits.max-fds": "4096", "limits.memory-mb": "280", "limits.disk-mb": "0",
			"fault-tolerance.machines": "1", "bounds.retry-budget-ratio": "0.2", "bounds.retry-budget-extra": "54",
			"bounds.budget-window-s": "10", "bounds.config-apply-ms": "2000", "bounds.lease-ms": "3000",
		},
	}
	m.Process = testbed.NewProcess(name, filepath.Join(root, "target", "goldcrest-"+role),
		[]string{"run", "--settings", m.settings}, filepath.Join(d.dir, name+".log"), &d.wg)
	if role == "entry" {
		m.ip = d.ip(groupEntry, n)
		m.values["ip"], m.values["listen.frontend"] = m.ip, address(m.ip, portCallers)
		m.values["listen.directory"], m.values["listen.readiness"] = address(m.ip, portDirectory), address(m.ip, portReady)
		d.entries = append(d.entries, m)
		return nil
	}
	m.ip = d.ip(groupControl, n)
	data := filepath.Join(d.dir, "data-"+name)
	m.DataDir = data
	m.values["ip"], m.values["data-dir"], m.values["limits.disk-mb"] = m.ip, data, "128"
	m.values["listen.control-plane"] = address(m.ip, portRegistry)
	d.control = append(d.control, m)
	if err := os.MkdirAll(data, 0o700); err != nil || !o.splits {
		return err
	}
	direct := address(d.ip(groupDirect, n), portInternal)
	m.values["listen-direct"] = direct
	var err error
	m.link, err = forwarder.Listen(address(m.ip, portInternal), direct)
	return err
}

// seeds returns the addresses that each process is told.
func (d *deployment) seeds(o options) string {
	var list []string
	for n := range min(3, o.control) {
		list = append(list, address(d.ip(groupControl, n+1), portRegistry))
	}
	return strings.Join(list, ",")
}

// run writes the settings and starts the process.
func (m *machine) run() error {
	text, err := os.ReadFile(m.template)
	if err != nil {
		return err
	}
	out := testbed.FillTemplate(string(text), m.values)
	if direct := m.values["listen-direct"]; direct != "" {
		out += fmt.Sprintf("listen_address: %q\n", direct)
	}
	if err := os.WriteFile(m.settings, []byte(out), 0o600); err != nil {
		return err
	}
	return m.Start()
}

func (d *deployment) all() []*machine {
	return append(append([]*machine{}, d.control...), d.entries...)
}

func (d *deployment) start() error {
	for _, m := range d.all() {
		if err := m.run(); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// close ends all processes and removes their files.
func (d *deployment) close() {
	for _, m := range d.all() {
		m.ExpectExit()
		if m.Running() {
			m.Kill()
		}
	}
	for _, m := range d.control {
		if m.link != nil {
			m.link.Close()
		}
	}
	d.wg.Wait()
	_ = d.lock.Close()
	_ = os.RemoveAll(d.dir)
}

// split cuts one control replica from the others, in both directions; entries, engines and the operator reach all.
// Bytes are lost silently. The returned function heals the links.
func (d *deployment) split(apart *machine) (heal func()) {
	lost := forwarder.Mode{BlackholeToServer: true, BlackholeToClient: true}
	ports := func(machines ...*machine) func() map[int]bool {
		return func() map[int]bool {
			all := make(map[int]bool)
			for _, m := range machines {
				for port := range testbed.LocalPorts(m.PID()) {
					all[port] = true
				}
			}
			return all
		}
	}
	var others []*machine
	for _, m := range d.control {
		if m != apart {
			others = append(others, m)
		}
	}
	var wg conc.WaitGroup
	wg.Go(func() { apart.link.Cut(ports(others...), lost) })
	for _, m := range others {
		wg.Go(func() { m.link.Cut(ports(apart), lost) })
	}
	wg.Wait()
	return func() {
		for _, m := range d.control {
			m.link.Cut(nil, forwarder.Mode{})
		}
	}
}

// client is a sound client of the platform: one second for each call, two redirects.
var client = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("too many redirects")
		}
		return nil
	},
}

// post calls a control replica and returns the status, 0 for no answer, and the body.
func post(addr, path string, content any) (int, []byte) {
	body, err := json.Marshal(content)
	if err != nil {
		return 0, nil
	}
	resp, err := client.Post("http://"+addr+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// replaceManifest sends a manifest as the operator does, until it is acknowledged.
func (d *deployment) replaceManifest(content map[string]any) error {
	d.version++
	content["version"] = d.version
	for n := range 100 {
		m := d.control[n%len(d.control)]
		status, answer := post(address(m.ip, portRegistry), "/v1/Config.Replace", content)
		if status == http.StatusOK {
			d.record.logf("operator: version %d acknowledged by way of %s", d.version, m.Name)
			return nil
		}
		if status == http.StatusBadRequest {
			return fmt.Errorf("the manifest is refused: %s", answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no manifest is acknowledged")
}

// ready waits until all entries say that they are.
func (d *deployment) ready(limit time.Duration) error {
	ok := until(limit, func() bool {
		for _, m := range d.entries {
			resp, err := client.Get("http://" + address(m.ip, portReady) + "/v1/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	if !ok {
		return errors.New("the entries are not ready")
	}
	return nil
}
