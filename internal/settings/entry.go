package settings

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/finding"
	"goldcrestseam.dev/goldcrestseam/internal/yamlfile"
)

// Entry holds the settings of goldcrest-entry.
type Entry struct {
	Common `yaml:"common"`
	// CallerAddress is the listen address for callers and backend servers, host:port. It may be
	// empty if Relay is enabled.
	CallerAddress string `yaml:"caller_address"`
	// Relay configures the serving of host routes, which is disabled by default.
	Relay Relay `yaml:"relay"`
	// Engines holds the speeds that are assumed of model engines before any measurement.
	Engines Engines `yaml:"engines"`
	// RetryLimit limits the retries of requests over all entries together.
	RetryLimit RetryLimit `yaml:"repeats"`
	// Credentials configures how long callers' credentials stay valid at an entry without contact to
	// control.
	Credentials Credentials `yaml:"credentials"`
	// Usage configures the accounting of members' requests.
	Usage Usage `yaml:"usage"`
	// PeerAddress is the address for other entries and for metrics.
	PeerAddress string `yaml:"peer_address"`
	// ListenAddress is the address to listen on, host:port, if other entries reach it at PeerAddress
	// through address translation or a forwarder. Default: PeerAddress.
	ListenAddress string `yaml:"listen_address"`
	// MaxBodyBytes is the size limit of a request body; a larger one gets status 413.
	// Default 4194304.
	MaxBodyBytes int `yaml:"max_body_bytes"`
	// MaxHeadBytes is the size limit of the head of a request on a host route; a larger one gets status 431.
	// Default 20480.
	MaxHeadBytes int `yaml:"max_head_bytes"`
	// BodyMemoryMB is how much memory the bodies of requests may take together, in MB of 2^20 bytes. Default 0: a sixth of
	// MemoryMB, or 256 if that is unknown. A single body is always taken.
	BodyMemoryMB int `yaml:"body_memory_mb"`
	// MaxFiles is the limit of file descriptors, from which the limits on connections are computed. Default 0: that which the
	// process was started with; a lower one of the two holds in any case.
	MaxFiles int `yaml:"max_files"`
	// MaxStreams is the limit of concurrent streams, running or waiting. Default 2000.
	MaxStreams int `yaml:"max_streams"`
	// EntryListTTL is how long callers cache an answer of /v1/entries. A planned shutdown keeps
	// accepting requests for that long. Default 5s.
	EntryListTTL time.Duration `yaml:"answer_keep"`
	// StopTimeout limits the duration of a planned shutdown. Streams that are open at its end are
	// handed over to other entries. Default 10m.
	StopTimeout time.Duration `yaml:"stop_timeout"`
}

// Bounds of the length of a usage window. Usage is reported to control every two seconds; invoices
// have a resolution of an hour.
const (
	minUsageWindow = time.Second
	maxUsageWindow = time.Hour
)

// Relay holds the listen addresses of an entry that forwards requests unchanged by the declaration's
// host routes.
type Relay struct {
	// CallerAddress is the listen address for callers of host routes, host:port.
	CallerAddress string `yaml:"caller_address"`
	// DirectoryAddress is the listen address at which these callers query which entries to use.
	DirectoryAddress string `yaml:"directory_address"`
	// ReadyAddress is the listen address of the readiness check.
	ReadyAddress string `yaml:"ready_address"`
}

// Enabled reports whether the entry serves host routes.
func (r Relay) Enabled() bool { return r.CallerAddress != "" }

// Engines holds the speeds that are assumed of engines that report none.
type Engines struct {
	// PrefillRate is the prefill rate in tokens per second. It is used until answers of engines
	// allow an estimate. Default 30000.
	PrefillRate float64 `yaml:"prefill_rate"`
	// TokenTime is the inter-token latency of a stream on a busy engine. Default 36ms,
	// that of a full batch in package enginemodel.
	TokenTime time.Duration `yaml:"token_time"`
}

// Usage configures how members' requests are counted for accounting.
type Usage struct {
	// Window is the length of the accounting windows, which are aligned to the Unix epoch; zero:
	// nothing is counted.
	Window time.Duration `yaml:"window"`
}

// Credentials configures the authentication of callers while the entry has no contact to control. A
// credential that has been revoked may then still be known to the entry.
type Credentials struct {
	// Strict refuses requests that need credentials, with the outcome not run, once the latest view
	// confirmed by control is older than ConfirmedWithin. Default false: the last known
	// declaration applies.
	Strict          bool          `yaml:"strict"`
	ConfirmedWithin time.Duration `yaml:"confirmed_within"`
}

// RetryLimit limits the retries of a deployment's entries together: all sends of a request
// after its first one. With Window zero only the retry budgets of the profiles apply.
type RetryLimit struct {
	// Ratio is the number of retries allowed per request to the service.
	Ratio float64 `yaml:"ratio"`
	// Constant is the number of retries allowed in addition in each window.
	Constant int `yaml:"extra"`
	// Window is the length of the window in which requests and retries are counted.
	Window time.Duration `yaml:"window"`
	// Entries is the least number of entries that share Constant. With 0 an entry that knows of no
	// other one does without it, as its list may not be complete.
	Entries int `yaml:"entries"`
}

// LoadEntry reads and checks a settings file of goldcrest-entry. The settings are nil if the file
// cannot be read, and must not be used if there are findings.
func LoadEntry(path string) (*Entry, finding.List) {
	s := &Entry{
		Common:       Common{Log: Log{Level: "info", SampleRouting: 1}},
		MaxBodyBytes: DefaultMaxBodyBytes, MaxHeadBytes: DefaultMaxHeadBytes, MaxStreams: DefaultMaxStreams,
		EntryListTTL: DefaultEntryListTTL, StopTimeout: DefaultStopTimeout,
	}
	file := decodeFile(path, s)
	if file == nil {
		return nil, unreadableFile(path)
	}
	s.check(file)
	s.applyControlPort()
	return s, file.Findings()
}

func (s *Entry) check(file *yamlfile.File) {
	s.Common.check(file)
	if s.CallerAddress != "" || !s.Relay.Enabled() {
		checkAddress(file, "caller_address", s.CallerAddress)
	}
	if s.Relay.Enabled() {
		checkAddress(file, "relay.caller_address", s.Relay.CallerAddress)
		checkAddress(file, "relay.directory_address", s.Relay.DirectoryAddress)
		checkAddress(file, "relay.ready_address", s.Relay.ReadyAddress)
	}
	checkAddress(file, "peer_address", s.PeerAddress)
	if s.ListenAddress != "" {
		checkAddress(file, "listen_address", s.ListenAddress)
	}
	s.Engines.check(file)
	if s.RetryLimit.Ratio < 0 || s.RetryLimit.Constant < 0 || s.RetryLimit.Window < 0 ||
		s.RetryLimit.Entries < 0 {
		file.Add("repeats", "ratio, extra, window and entries must not be less than 0")
	}
	if s.Usage.Window != 0 {
		checkDuration(file, "usage.window", s.Usage.Window, minUsageWindow, maxUsageWindow)
	}
	if s.Credentials.Strict && s.Credentials.ConfirmedWithin <= 0 {
		file.Add("credentials.confirmed_within", "must be more than 0 if credentials.strict is true")
	}
	if s.CallerAddress == s.PeerAddress {
		file.Add("peer_address", "is the same as caller_address; use another port")
	}
	if s.MaxFiles < 0 {
		file.Add("max_files", "is less than 0")
	}
	checkPositive(file, "max_body_bytes", s.MaxBodyBytes)
	checkPositive(file, "max_head_bytes", s.MaxHeadBytes)
	if s.BodyMemoryMB < 0 {
		file.Add("body_memory_mb", "is less than 0")
	}
	checkPositive(file, "max_streams", s.MaxStreams)
	checkDuration(file, "answer_keep", s.EntryListTTL, time.Second, time.Hour)
	checkDuration(file, "stop_timeout", s.StopTimeout, time.Second, 24*time.Hour)
}

const (
	// callerConnectionShare, lookUpConnectionShare and peerConnectionShare are the shares of an entry's file descriptors
	// that connections of callers, those at each address for look-ups and checks, and those of other entries may use. The
	// rest is for backend servers, control and files.
	callerConnectionShare = 0.5
	lookUpConnectionShare = 0.05
	peerConnectionShare   = 0.2
	// connectionBytes is what a caller's connection takes at most before its request is in progress: buffers, a small body
	// and stacks. connectionMemoryShare is the part of the memory that all of them may take, as a divisor.
	connectionBytes       = 64 << 10
	connectionMemoryShare = 2
)

// MaxCallerConnections returns the limit on callers' connections: by the descriptors, and by the memory that their buffers
// may take; 0: no limit.
func (s *Entry) MaxCallerConnections() int {
	byFiles := fileShare(s.MaxFiles, callerConnectionShare)
	if s.MemoryMB == 0 {
		return byFiles
	}
	byMemory := max(1, s.MemoryMB<<20/connectionMemoryShare/connectionBytes)
	if byFiles == 0 {
		return byMemory
	}
	return min(byFiles, byMemory)
}

// MaxLookUpConnections returns the limit on connections at each address for look-ups and readiness checks; 0: no limit.
func (s *Entry) MaxLookUpConnections() int { return fileShare(s.MaxFiles, lookUpConnectionShare) }

// MaxPeerConnections returns the limit on connections of other entries; 0: no limit.
func (s *Entry) MaxPeerConnections() int { return fileShare(s.MaxFiles, peerConnectionShare) }

// BodyMemory returns how many bytes the bodies of requests may take together.
func (s *Entry) BodyMemory() int {
	if s.BodyMemoryMB > 0 {
		return s.BodyMemoryMB << 20
	}
	return bodyMemory(s.MemoryMB, entryBodyShare)
}

func (e *Engines) check(file *yamlfile.File) {
	if e.PrefillRate < 0 || e.TokenTime < 0 {
		file.Add("engines", "prefill_rate and token_time must be more than 0")
	}
	if e.PrefillRate == 0 {
		e.PrefillRate = DefaultPrefillRate
	}
	if e.TokenTime == 0 {
		e.TokenTime = DefaultTokenTime
	}
}
