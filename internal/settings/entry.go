package settings

import (
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/finding"
	"goldcrestseam.dev/goldcrestseam/internal/yamlfile"
)

// Entry holds the settings of goldcrest-entry.
type Entry struct {
	Common `yaml:"common"`
	// CallerAddress is where callers and backend servers connect, host:port. It
	// may be empty where Relay has one.
	CallerAddress string `yaml:"caller_address"`
	// Relay serves host routes; left out, it is off.
	Relay Relay `yaml:"relay"`
	// Engines is what is assumed of model engines until it has been measured.
	Engines Engines `yaml:"engines"`
	// ResendLimit bounds what is sent again, over all entries.
	ResendLimit ResendLimit `yaml:"repeats"`
	// Credentials says how long callers' credentials count at an entry that control does
	// not reach.
	Credentials Credentials `yaml:"credentials"`
	// Usage says how members' requests are counted.
	Usage Usage `yaml:"usage"`
	// PeerAddress is where other entries connect and metrics are served.
	PeerAddress string `yaml:"peer_address"`
	// MaxBodyBytes bounds a caller's body; a larger one is answered 413.
	// Default 4194304.
	MaxBodyBytes int `yaml:"max_body_bytes"`
	// MaxStreams bounds streams that run or wait at once. Default 2000.
	MaxStreams int `yaml:"max_streams"`
	// EntryListTTL is how long callers keep an answer of /v1/entries; a planned
	// stop serves that long before it closes. Default 5s.
	EntryListTTL time.Duration `yaml:"answer_keep"`
	// StopTimeout bounds a planned stop; streams still open are then handed
	// on to other entries. Default 10m.
	StopTimeout time.Duration `yaml:"stop_timeout"`
}

// Bounds of the length of a usage window: reports come every two seconds, and an hour is
// what invoices tell apart.
const (
	minUsageWindow = time.Second
	maxUsageWindow = time.Hour
)

// Relay is where an entry serves callers whose requests are passed on as they
// are, by the declaration's host routes.
type Relay struct {
	// CallerAddress is where such callers connect, host:port.
	CallerAddress string `yaml:"caller_address"`
	// DirectoryAddress is where they ask which entries to use.
	DirectoryAddress string `yaml:"directory_address"`
	// ReadyAddress is where the entry tells whether it is ready.
	ReadyAddress string `yaml:"ready_address"`
}

// Enabled tells whether the entry relays.
func (r Relay) Enabled() bool { return r.CallerAddress != "" }

// Engines holds rates that are assumed of engines that report none.
type Engines struct {
	// PrefillRate is in tokens a second. It counts until engines have answered.
	// Default 30000.
	PrefillRate float64 `yaml:"prefill_rate"`
	// TokenTime is the time of one token of a stream on a busy engine. Default
	// 36ms, from the same model.
	TokenTime time.Duration `yaml:"token_time"`
}

// Usage says how members' requests are counted for those who account for them.
type Usage struct {
	// Window is the length of the spans of time that are accounted for, each one counted
	// from the start of 1970; zero: nothing is counted.
	Window time.Duration `yaml:"window"`
}

// Credentials says what becomes of callers while control does not reach the entry, so that
// a credential that was taken away may still be known here.
type Credentials struct {
	// Strict refuses callers whose credentials are needed, as not run, once control's last
	// word is older than ConfirmedWithin. Default false: they are served as was declared last.
	Strict          bool          `yaml:"strict"`
	ConfirmedWithin time.Duration `yaml:"confirmed_within"`
}

// ResendLimit bounds what a deployment's entries together send beyond the first send
// of each request. Zero Window: only the profiles' retry budgets count.
type ResendLimit struct {
	// Ratio is how many such sends a service may get per request for it.
	Ratio float64 `yaml:"ratio"`
	// Constant is how many it may get besides in each window.
	Constant int `yaml:"extra"`
	// Window is the span over which both are counted.
	Window time.Duration `yaml:"window"`
}

// LoadEntry reads and checks a settings file of goldcrest-entry.
func LoadEntry(path string) (*Entry, finding.List) {
	s := &Entry{
		Common:       Common{Log: Log{Level: "info", SampleRouting: 1}},
		MaxBodyBytes: DefaultMaxBodyBytes, MaxStreams: DefaultMaxStreams,
		EntryListTTL: DefaultEntryListTTL, StopTimeout: DefaultStopTimeout,
	}
	file := load(path, s)
	if file == nil {
		return nil, unreadable(path)
	}
	s.check(file)
	s.usePort()
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
	s.Engines.check(file)
	if s.ResendLimit.Ratio < 0 || s.ResendLimit.Constant < 0 || s.ResendLimit.Window < 0 {
		file.Add("repeats", "ratio, extra and window must not be less than 0")
	}
	if s.Usage.Window != 0 {
		checkDuration(file, "usage.window", s.Usage.Window, minUsageWindow, maxUsageWindow)
	}
	if s.Credentials.Strict && s.Credentials.ConfirmedWithin <= 0 {
		file.Add("credentials.confirmed_within", "must be more than 0 where credentials are strict")
	}
	if s.CallerAddress == s.PeerAddress {
		file.Add("peer_address", "is the caller address too; use another port")
	}
	checkPositive(file, "max_body_bytes", s.MaxBodyBytes)
	checkPositive(file, "max_streams", s.MaxStreams)
	checkDuration(file, "answer_keep", s.EntryListTTL, time.Second, time.Hour)
	checkDuration(file, "stop_timeout", s.StopTimeout, time.Second, 24*time.Hour)
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
