// Package declaration holds what operators declare for a whole deployment and
// keep in version control: profiles, models, services, members, what is known
// of backend servers, and how engine roles may change.
//
// On the wire and in the replicated state a declaration is a list of objects,
// one per profile, member and so on, so that a change costs what it changes and
// not the size of the whole.
package declaration

import "time"

// Class tells how urgent a profile's work is.
type Class string

// Classes, the most urgent first.
const (
	// ClassUrgent: a person waits at the desk for it.
	ClassUrgent Class = "urgent"
	// ClassLookup: short calls of plain services.
	ClassLookup Class = "lookup"
	// ClassBulk: can wait, but must not be late or lost.
	ClassBulk Class = "bulk"
)

// Declaration is one revision of it.
type Declaration struct {
	// Revision is chosen by the operator; it only grows.
	Revision uint64 `yaml:"revision"`
	// Base is the revision that this one was written against, 0 for the first.
	Base uint64 `yaml:"base"`
	// Author is who wrote it; a refused operator is told who won.
	Author   string    `yaml:"author"`
	Limits   Limits    `yaml:"limits"`
	Profiles []Profile `yaml:"profiles"`
	Models   []Model   `yaml:"models"`
	Services []Service `yaml:"services"`
	// HostRoutes pass requests on as they are; see HostRoute.
	HostRoutes []HostRoute `yaml:"host_routes"`
	Members    []Member    `yaml:"members"`
	// BackendServers says what is known of backend servers beyond what they
	// announce; the first rule whose prefix fits counts.
	BackendServers []BackendServerRule `yaml:"backend_servers"`
	Roles          Roles               `yaml:"roles"`
}

// Limits holds deployment-wide bounds.
type Limits struct {
	// IdempotencyWindow is how long a once-only key is remembered; older keys are
	// refused. Default 24h.
	IdempotencyWindow time.Duration `yaml:"once_window" json:"once_window"`
	// MaxIdempotentAnswerBytes is the largest once-only answer that is kept. Default 16384.
	MaxIdempotentAnswerBytes int `yaml:"once_answer_bytes" json:"once_answer_bytes"`
	// QuarantineTime is how long a request that crashed servers is refused.
	// Default 1h.
	QuarantineTime time.Duration `yaml:"quarantine_time" json:"quarantine_time"`
	// QuarantineCrashes is how many deaths with the same suspect make a
	// quarantine. Default 2.
	QuarantineCrashes int `yaml:"quarantine_deaths" json:"quarantine_deaths"`
}

// Profile describes how a class of work is served.
type Profile struct {
	Name  string `yaml:"name" json:"name"`
	Class Class  `yaml:"class" json:"class"`
	// FirstToken is the deadline for the first token (for plain services: the
	// first byte), from when the request came in.
	FirstToken time.Duration `yaml:"first_token" json:"first_token"`
	// Deadline is for the whole answer.
	Deadline time.Duration `yaml:"deadline" json:"deadline"`
	// MaxPromptTokens and MaxOutputTokens bound one request of a model service.
	MaxPromptTokens int `yaml:"max_prompt_tokens" json:"max_prompt_tokens"`
	MaxOutputTokens int `yaml:"max_output_tokens" json:"max_output_tokens"`
	// Share is the class's guaranteed share of capacity under saturation, as a
	// weight against the other profiles. Default 1.
	Share float64 `yaml:"share" json:"share"`
	// RetryBudget is how many retries may be sent per request served, 0 to 1.
	// Default 0.1.
	RetryBudget float64 `yaml:"retry_budget" json:"retry_budget"`
	// RoleChangePrice is how many engine-seconds of gain a role change for
	// this profile must win beyond the seconds that it costs. Default 10s.
	RoleChangePrice time.Duration `yaml:"role_change_price" json:"role_change_price"`
}

// AnyVersion leaves engines in whatever version of the model they run.
const AnyVersion = "any"

// Model is a model that engines are to run, in one version at a time.
type Model struct {
	Name string `yaml:"name" json:"name"`
	// Version may be AnyVersion.
	Version  string   `yaml:"version" json:"version"`
	Adapters []string `yaml:"adapters" json:"adapters"`
}

// Service kinds.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Service is what callers name; it runs under one profile.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Kind is model or plain.
	Kind    string `yaml:"kind" json:"kind"`
	Profile string `yaml:"profile" json:"profile"`
	// Model is for model services.
	Model string `yaml:"model" json:"model"`
	// Adapter is the adapter of the model to use, empty for none.
	Adapter string `yaml:"adapter" json:"adapter"`
	// Routes are for plain services; the longest path prefix that fits counts.
	// A call that fits no route is refused.
	Routes []Route `yaml:"routes" json:"routes"`
	// MaxConnections bounds the connections that one of its servers accepts from
	// all entries together; 0: not known.
	MaxConnections int `yaml:"max_connections" json:"max_connections,omitempty"`
	// HealthPath is where its servers tell their health, empty where they have
	// no such path.
	HealthPath string `yaml:"health_path" json:"health_path,omitempty"`
	// KVCacheTokens is the memory of one of its engines, in tokens; 0: not known.
	KVCacheTokens uint64 `yaml:"cache_tokens" json:"cache_tokens,omitempty"`
	// Scale says how many engines may be ordered for it; nil: none.
	Scale *Scale `yaml:"scale" json:"scale,omitempty"`
	// KVTransferRate is how many tokens' KV cache move between two of its engines a
	// second; 0: not known.
	KVTransferRate float64 `yaml:"move_rate" json:"move_rate,omitempty"`
}

// Scale says how many servers of a service may be ordered, and what they cost.
type Scale struct {
	// Min and Max bound the servers of one data centre, of both kinds together.
	Min int `yaml:"min" json:"min"`
	Max int `yaml:"max" json:"max"`
	// BootTime is how long after its order a server begins to serve.
	BootTime time.Duration `yaml:"boot" json:"boot"`
	// SpotPrice is the price of a spot server as a part of another one's; 0: there are none.
	SpotPrice float64 `yaml:"spot_price" json:"spot_price,omitempty"`
}

// Route repeat rules.
const (
	// RepeatAllowed: idempotent, may be sent again after a failure.
	RepeatAllowed = "allowed"
	// RepeatOnce: runs at most once; needs an Idempotency-Key.
	RepeatOnce = "once"
)

// Route says which calls of a plain service there are.
type Route struct {
	// Method is an HTTP method, in capitals.
	Method string `yaml:"method" json:"method"`
	// Path is a prefix that begins with a slash.
	Path string `yaml:"path" json:"path"`
	// Repeat is allowed or once.
	Repeat string `yaml:"repeat" json:"repeat"`
}

// Member is one customer whose data no other member may see.
type Member struct {
	Name string `yaml:"name" json:"name"`
	// CredentialSHA256 is the hex SHA-256 of the member's bearer token.
	CredentialSHA256 string `yaml:"credential_sha256" json:"credential_sha256,omitempty"`
	// CredentialsSHA256 are those of a member with several tokens, as while one takes
	// another's place. An empty list shuts the member out.
	CredentialsSHA256 []string `yaml:"credentials_sha256" json:"credentials_sha256,omitempty"`
	// Rank takes the place of the rank of the member's routes; nil: theirs counts.
	Rank *int `yaml:"rank" json:"rank,omitempty"`
	// Weight is the member's fair share against others. Default 1.
	Weight float64 `yaml:"weight" json:"weight"`
	// Services lists the services it may call.
	Services []string `yaml:"services" json:"services"`
}

// Fencing modes of backend servers.
const (
	FencingChecked = "checked"
	FencingIgnored = "ignored"
)

// BackendServerRule says what is known of backend servers whose id begins
// with Prefix.
type BackendServerRule struct {
	Prefix string `yaml:"prefix" json:"prefix"`
	// Fencing is checked when the server refuses orders with an old fencing
	// token, ignored when it carries out whatever it gets.
	Fencing string `yaml:"fencing" json:"fencing"`
}

// Roles bounds how engine roles change.
type Roles struct {
	// Automatic lets the system change roles. Default true.
	Automatic bool `yaml:"automatic" json:"automatic"`
	// PrefillShare is the share of a model's engines that is kept to prefill only,
	// as long as Automatic is false; 0: roles stay as the engines have them.
	PrefillShare float64 `yaml:"prefill_share" json:"prefill_share,omitempty"`
	// EnginesSelfDrain tells that an engine lets its requests finish before it carries
	// out an order. Else control waits until it is idle.
	EnginesSelfDrain bool `yaml:"engines_drain" json:"engines_drain,omitempty"`
	// MaxUnavailable is how many engines of one model may be away at once. Default 1.
	MaxUnavailable int `yaml:"max_away" json:"max_away"`
	// MaxUnavailableUnderLoad takes its place for changes of the system's own while callers ask for
	// work. Default: MaxUnavailable.
	MaxUnavailableUnderLoad int `yaml:"max_away_loaded" json:"max_away_loaded,omitempty"`
	// MinMixedShare is the smallest share of mixed engines, 0 to 1. Default 0.34.
	MinMixedShare float64 `yaml:"min_mixed_share" json:"min_mixed_share"`
	// ChangeTime is how long a change takes an engine away. Default 5s.
	ChangeTime time.Duration `yaml:"change_time" json:"change_time"`
	// GoodputWeight and ChangeWeight say what the deployment values; only
	// their ratio counts. Defaults 1 and 1.
	GoodputWeight float64 `yaml:"goodput_weight" json:"goodput_weight"`
	ChangeWeight  float64 `yaml:"change_weight" json:"change_weight"`
}

// Profile gives the profile with that name, or nil.
func (d *Declaration) Profile(name string) *Profile {
	return find(d.Profiles, func(p *Profile) bool { return p.Name == name })
}

// Service gives the service with that name, or nil.
func (d *Declaration) Service(name string) *Service {
	return find(d.Services, func(s *Service) bool { return s.Name == name })
}

// Model gives the model with that name, or nil.
func (d *Declaration) Model(name string) *Model {
	return find(d.Models, func(m *Model) bool { return m.Name == name })
}

// ChecksFencing tells whether the server with that id is declared to check
// fencing tokens. A server that no rule fits counts as one that ignores them.
func (d *Declaration) ChecksFencing(server string) bool {
	for _, rule := range d.BackendServers {
		if len(server) >= len(rule.Prefix) && server[:len(rule.Prefix)] == rule.Prefix {
			return rule.Fencing == FencingChecked
		}
	}
	return false
}

// Credentials are the hashes of all tokens of the member.
func (m *Member) Credentials() []string {
	if m.CredentialSHA256 == "" {
		return m.CredentialsSHA256
	}
	return append([]string{m.CredentialSHA256}, m.CredentialsSHA256...)
}

// Allows tells whether the member may call the service.
func (m *Member) Allows(service string) bool {
	for _, s := range m.Services {
		if s == service {
			return true
		}
	}
	return false
}

func find[T any](list []T, ok func(*T) bool) *T {
	for i := range list {
		if ok(&list[i]) {
			return &list[i]
		}
	}
	return nil
}
