// Package settings defines the configuration files of single processes: the identity and location of
// the process, the addresses of its peers, its data directory. Configuration that operators change
// for all processes at once is a declaration (package declaration), not a setting.
package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/finding"
	"goldcrestseam.dev/goldcrestseam/internal/yamlfile"
)

// Common holds the settings that all long-running processes have.
type Common struct {
	// Cluster is the cluster id. Processes of different clusters refuse each other's calls.
	Cluster string `yaml:"cluster"`
	// Name names the process within the cluster, for example entry-a1.
	Name string `yaml:"name"`
	// Region and DataCentre are the location of the process's VM.
	Region     string `yaml:"region"`
	DataCentre string `yaml:"data_centre"`
	// Control lists the addresses of the control replicas, host:port.
	Control []string `yaml:"control"`
	// ControlPort replaces the ports in Control, for lists that give the addresses of another
	// service on the replicas' VMs. Default 0: the ports as listed.
	ControlPort int `yaml:"control_port"`
	// MetricsAddress is an additional listen address, host:port, that serves metrics at /metrics;
	// empty for none.
	MetricsAddress string `yaml:"metrics_address"`
	// MemoryMB is how much of the VM's memory the process may use. The Go runtime collects garbage
	// more often as the usage approaches this limit. Default 0: no limit.
	MemoryMB int `yaml:"memory_mb"`
	// Auth configures the authentication among the system's own processes.
	Auth Auth `yaml:"auth"`
	// Log configures logging.
	Log Log `yaml:"log"`
}

// Auth configures the protection of the protocols between the system's own processes. A shared key,
// TLS or both are required, unless TrustedNetwork is true.
type Auth struct {
	// SharedKeyFile is a file with a key of at least 16 bytes, the same for all processes.
	SharedKeyFile string `yaml:"shared_key_file"`
	// CertFile, KeyFile and CAFile (PEM) enable mutual TLS.
	CertFile string `yaml:"cert_file"`
	KeyFile  string `yaml:"key_file"`
	CAFile   string `yaml:"ca_file"`
	// TrustedNetwork leaves the protocols open to anyone who can reach their addresses. It is meant
	// for networks that contain only the deployment's own VMs. Default false.
	TrustedNetwork bool `yaml:"trusted_network"`
}

// TLS reports whether TLS is enabled.
func (a Auth) TLS() bool { return a.CertFile != "" }

// Log configures logging, which writes JSON lines to standard output.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `yaml:"level"`
	// SampleRouting is the sampling rate of log lines about routing decisions, 0 to 1. Refusals and
	// orders are always logged. Default 1.
	SampleRouting float64 `yaml:"sample_routing"`
}

// Defaults of fields that a file leaves out.
const (
	DefaultMaxBodyBytes     = 4 << 20
	DefaultMaxHeadBytes     = 20 << 10
	DefaultMaxStreams       = 2000
	DefaultEntryListTTL     = 5 * time.Second
	DefaultStopTimeout      = 10 * time.Minute
	DefaultElectionTimeout  = 400 * time.Millisecond
	DefaultSnapshotEntries  = 2000
	DefaultOrderPause       = 10 * time.Second
	DefaultDutyLease        = 3 * time.Second
	DefaultUsageReportDelay = 10 * time.Second
	// DefaultPrefillRate is the middle, on a logarithmic scale, of the rates of the known engines,
	// 5,000 to 112,000 tokens/s. The first ten answers correct it by up to a factor of four
	// (package decision/speed).
	DefaultPrefillRate = 30000
	DefaultTokenTime   = 36 * time.Millisecond
	minSharedKeyBytes  = 16
)

func decodeFile(path string, out any) *yamlfile.File {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	return yamlfile.Decode(path, data, out)
}

func unreadableFile(path string) finding.List {
	_, err := os.ReadFile(path)
	problem := "can't be read"
	if err != nil {
		problem = err.Error()
	}
	return finding.List{{File: path, Problem: problem}}
}

func (s *Common) check(file *yamlfile.File) {
	for _, f := range []struct{ name, value string }{
		{"cluster", s.Cluster},
		{"name", s.Name},
		{"region", s.Region},
		{"data_centre", s.DataCentre},
	} {
		if f.value == "" {
			file.Add("common."+f.name, "is missing")
		}
	}
	if len(s.Control) == 0 {
		file.Add("common.control", "is empty; list the control replicas' addresses")
	}
	for i, a := range s.Control {
		checkAddress(file, elementPath("common.control", i), a)
	}
	if s.ControlPort < 0 || s.ControlPort > maxPort {
		file.Add("common.control_port", "%d is not a port", s.ControlPort)
	}
	if s.MetricsAddress != "" {
		checkAddress(file, "common.metrics_address", s.MetricsAddress)
	}
	if s.MemoryMB < 0 {
		file.Add("common.memory_mb", "is less than 0")
	}
	s.Auth.check(file)
	s.Log.check(file)
}

const maxPort = 1<<16 - 1

// applyControlPort replaces the ports of the control replicas' addresses by ControlPort.
func (s *Common) applyControlPort() {
	if s.ControlPort == 0 {
		return
	}
	for i, a := range s.Control {
		if host, _, err := net.SplitHostPort(a); err == nil {
			s.Control[i] = net.JoinHostPort(host, strconv.Itoa(s.ControlPort))
		}
	}
}

func (a Auth) check(file *yamlfile.File) {
	if a.SharedKeyFile == "" && !a.TLS() && !a.TrustedNetwork {
		file.Add("common.auth", "names neither shared_key_file nor cert_file; one is required unless trusted_network is true")
	}
	if a.SharedKeyFile != "" {
		key, err := os.ReadFile(a.SharedKeyFile)
		if err != nil {
			file.Add("common.auth.shared_key_file", "%v", err)
		} else if len(key) < minSharedKeyBytes {
			file.Add("common.auth.shared_key_file", "holds %d bytes; at least %d are needed", len(key), minSharedKeyBytes)
		}
	}
	if !a.TLS() && (a.KeyFile != "" || a.CAFile != "") {
		file.Add("common.auth.cert_file", "is missing; TLS needs cert_file, key_file and ca_file")
	}
	if a.TLS() && (a.KeyFile == "" || a.CAFile == "") {
		file.Add("common.auth.cert_file", "TLS needs key_file and ca_file too")
	}
}

func (l Log) check(file *yamlfile.File) {
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		file.Add("common.log.level", "%q is none of debug, info, warn, error", l.Level)
	}
	if l.SampleRouting < 0 || l.SampleRouting > 1 {
		file.Add("common.log.sample_routing", "%v is not between 0 and 1", l.SampleRouting)
	}
}

func checkAddress(file *yamlfile.File, path, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		file.Add(path, "%q is not IP:port", address)
	}
}

func checkPositive(file *yamlfile.File, path string, v int) {
	if v <= 0 {
		file.Add(path, "must be more than 0")
	}
}

func checkDuration(file *yamlfile.File, path string, d, low, high time.Duration) {
	if d < low || d > high {
		file.Add(path, "%v is not between %v and %v", d, low, high)
	}
}
