// Package declaration defines the configuration that operators declare for a whole deployment and
// keep in version control: profiles, models, services, host routes, members, properties of
// backend servers, and the rules for changing engine roles.
//
// On the wire and in the replicated state a declaration is a list of objects, one per profile,
// member and so on. The cost of a change then depends on the number of changed objects, not on
// the size of the declaration.
package declaration

import "time"

// Class is how urgent the requests of a profile are.
type Class string

// The classes, most urgent first.
const (
	// ClassUrgent is for requests that a person is waiting for.
	ClassUrgent Class = "urgent"
	// ClassLookup is for short calls to plain services.
	ClassLookup Class = "lookup"
	// ClassBulk is for requests that can wait, but must meet their deadline and must not be lost.
	ClassBulk Class = "bulk"
)

// Declaration is one revision of a deployment's declared configuration.
type Declaration struct {
	// Revision is chosen by the operator and must increase with each declaration.
	Revision uint64 `yaml:"revision"`
	// Base is the revision that this one is based on, 0 for the first one. A declaration whose base
	// is not the current revision is refused.
	Base uint64 `yaml:"base"`
	// Author is who wrote this revision. The refusal of a conflicting declaration names the author
	// of the accepted one.
	Author   string    `yaml:"author"`
	Limits   Limits    `yaml:"limits"`
	Profiles []Profile `yaml:"profiles"`
	Models   []Model   `yaml:"models"`
	Services []Service `yaml:"services"`
	// HostRoutes forward requests unchanged; see HostRoute.
	HostRoutes []HostRoute `yaml:"host_routes"`
	Members    []Member    `yaml:"members"`
	// BackendServers holds properties of backend servers that they do not announce themselves. The
	// first rule whose prefix matches applies.
	BackendServers []BackendServerRule `yaml:"backend_servers"`
	Roles          Roles               `yaml:"roles"`
}

// Limits holds deployment-wide limits.
type Limits struct {
	// IdempotencyWindow is how long the idempotency key of a call that must run at most once is
	// remembered; older keys are refused. Default 24h.
	IdempotencyWindow time.Duration `yaml:"once_window" json:"once_window"`
	// MaxIdempotentAnswerBytes is the size of the largest answer of such a call that is stored for
	// repeated calls with the same key. Default 16384.
	MaxIdempotentAnswerBytes int `yaml:"once_answer_bytes" json:"once_answer_bytes"`
	// QuarantineTime is how long a request that is suspected of crashing servers is refused.
	// Default 1h.
	QuarantineTime time.Duration `yaml:"quarantine_time" json:"quarantine_time"`
	// QuarantineCrashes is the number of server crashes with the same suspected request after which
	// that request is quarantined. Default 2.
	QuarantineCrashes int `yaml:"quarantine_deaths" json:"quarantine_deaths"`
	// MaxBodyBytes is the size of the largest body of a caller's request on a host route; a larger one gets status 413.
	// Default 0: the entries' own limit applies.
	MaxBodyBytes int `yaml:"body_bytes" json:"body_bytes,omitempty"`
}

// Profile sets how requests of a kind are served: their class, deadlines, limits and share of the
// capacity.
type Profile struct {
	Name  string `yaml:"name" json:"name"`
	Class Class  `yaml:"class" json:"class"`
	// FirstToken is the deadline for the first token (for plain services: the first byte), counted
	// from the arrival of the request.
	FirstToken time.Duration `yaml:"first_token" json:"first_token"`
	// Deadline is the deadline for the complete answer.
	Deadline time.Duration `yaml:"deadline" json:"deadline"`
	// MaxPromptTokens and MaxOutputTokens limit one request to a model service.
	MaxPromptTokens int `yaml:"max_prompt_tokens" json:"max_prompt_tokens"`
	MaxOutputTokens int `yaml:"max_output_tokens" json:"max_output_tokens"`
	// Share is the guaranteed share of the capacity under saturation, as a weight relative to the
	// other profiles. Default 1.
	Share float64 `yaml:"share" json:"share"`
	// RetryBudget is the number of retries that may be sent per served request, 0 to 1.
	// Default 0.1.
	RetryBudget float64 `yaml:"retry_budget" json:"retry_budget"`
	// RoleChangePrice is the number of engine-seconds by which the gain of a role change for this
	// profile must exceed the engine-seconds that the change costs. Default 10s.
	RoleChangePrice time.Duration `yaml:"role_change_price" json:"role_change_price"`
}

// AnyVersion as a model's version accepts whatever version the engines run.
const AnyVersion = "any"

// Model is a model that engines run, in one version at a time.
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

// Service is what callers address; its requests are served under one profile.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// Kind is KindModel or KindPlain.
	Kind    string `yaml:"kind" json:"kind"`
	Profile string `yaml:"profile" json:"profile"`
	// Model is the model of a model service.
	Model string `yaml:"model" json:"model"`
	// Adapter is the adapter of the model, empty for none.
	Adapter string `yaml:"adapter" json:"adapter"`
	// Routes lists the calls of a plain service. The route with the longest matching path prefix
	// applies; a call that matches no route is refused.
	Routes []Route `yaml:"routes" json:"routes"`
	// MaxConnections is the number of connections that one of its servers accepts from all entries
	// together; 0: unknown.
	MaxConnections int `yaml:"max_connections" json:"max_connections,omitempty"`
	// HealthPath is the path of its servers' health check, empty if they have none.
	HealthPath string `yaml:"health_path" json:"health_path,omitempty"`
	// KVCacheTokens is the size of the KV cache of one of its engines, in tokens; 0: unknown.
	KVCacheTokens uint64 `yaml:"cache_tokens" json:"cache_tokens,omitempty"`
	// Scale configures autoscaling; nil: no servers are ordered for the service.
	Scale *Scale `yaml:"scale" json:"scale,omitempty"`
	// KVTransferRate is the rate at which KV cache is transferred between two of its engines, in
	// tokens per second; 0: unknown.
	KVTransferRate float64 `yaml:"move_rate" json:"move_rate,omitempty"`
	// Unrouted means that the service needs neither routes nor a profile: no calls lead to it at
	// present.
	Unrouted bool `yaml:"unrouted" json:"unrouted,omitempty"`
}

// Scale configures the autoscaling of a service: bounds on the number of servers that control
// orders from the external service at settings.Duties.Address, their boot time and their relative
// price.
type Scale struct {
	// Min and Max bound the number of servers per data centre, spot and on-demand together.
	Min int `yaml:"min" json:"min"`
	Max int `yaml:"max" json:"max"`
	// BootTime is the time from the order of a server until it serves.
	BootTime time.Duration `yaml:"boot" json:"boot"`
	// SpotPrice is the price of a spot server as a fraction of that of an on-demand server; 0: there
	// are no spot servers.
	SpotPrice float64 `yaml:"spot_price" json:"spot_price,omitempty"`
}

// Values of Route.Repeat, and of HostRoute.Repeat beside RepeatResumed.
const (
	// RepeatAllowed marks idempotent calls, which may be sent again after a failure.
	RepeatAllowed = "allowed"
	// RepeatOnce marks calls that run at most once; they need an Idempotency-Key header.
	RepeatOnce = "once"
)

// Route describes a set of calls of a plain service.
type Route struct {
	// Method is an HTTP method in upper case.
	Method string `yaml:"method" json:"method"`
	// Path is a path prefix that begins with a slash.
	Path string `yaml:"path" json:"path"`
	// Repeat is RepeatAllowed or RepeatOnce.
	Repeat string `yaml:"repeat" json:"repeat"`
}

// Member is a customer of the deployment. No other member may see its data.
type Member struct {
	Name string `yaml:"name" json:"name"`
	// CredentialSHA256 is the hex SHA-256 of the member's bearer token.
	CredentialSHA256 string `yaml:"credential_sha256" json:"credential_sha256,omitempty"`
	// CredentialsSHA256 holds the hashes of a member with several tokens, as during a token
	// rotation. An empty list denies the member access.
	CredentialsSHA256 []string `yaml:"credentials_sha256" json:"credentials_sha256,omitempty"`
	// Rank overrides the rank of the host routes for the member's requests; nil: the route's rank
	// applies.
	Rank *int `yaml:"rank" json:"rank,omitempty"`
	// Weight is the member's fair-share weight relative to other members. Default 1.
	Weight float64 `yaml:"weight" json:"weight"`
	// Services lists the services it may call.
	Services []string `yaml:"services" json:"services"`
}

// The fencing modes of backend servers.
const (
	FencingChecked = "checked"
	FencingIgnored = "ignored"
)

// BackendServerRule holds the properties of the backend servers whose id begins with Prefix.
type BackendServerRule struct {
	Prefix string `yaml:"prefix" json:"prefix"`
	// Fencing is FencingChecked if the server refuses orders with an outdated fencing token,
	// FencingIgnored if it executes every order that it receives.
	Fencing string `yaml:"fencing" json:"fencing"`
}

// Roles configures the changes of engine roles (prefill, decode or mixed).
type Roles struct {
	// Automatic allows the system to change roles on its own. Default true.
	Automatic bool `yaml:"automatic" json:"automatic"`
	// PrefillShare is the share of a model's engines that is kept in the prefill role while
	// Automatic is false; 0: roles are left as they are.
	PrefillShare float64 `yaml:"prefill_share" json:"prefill_share,omitempty"`
	// EnginesSelfDrain states that an engine finishes its running requests before it executes an
	// order. Otherwise control waits until the engine is idle.
	EnginesSelfDrain bool `yaml:"engines_drain" json:"engines_drain,omitempty"`
	// MaxUnavailable is the number of engines of one model that may be unavailable at once because
	// of role changes. Default 1.
	MaxUnavailable int `yaml:"max_away" json:"max_away"`
	// MaxUnavailableUnderLoad applies instead of MaxUnavailable to automatic changes while there are
	// requests. Default: MaxUnavailable.
	MaxUnavailableUnderLoad int `yaml:"max_away_loaded" json:"max_away_loaded,omitempty"`
	// MinMixedShare is the minimum share of mixed engines, 0 to 1. Default 0.34.
	MinMixedShare float64 `yaml:"min_mixed_share" json:"min_mixed_share"`
	// ChangeTime is how long a role change makes an engine unavailable. Default 5s.
	ChangeTime time.Duration `yaml:"change_time" json:"change_time"`
	// GoodputWeight and ChangeWeight weigh the gain in goodput against the cost of changes; only
	// their ratio matters. Default 1 each.
	GoodputWeight float64 `yaml:"goodput_weight" json:"goodput_weight"`
	ChangeWeight  float64 `yaml:"change_weight" json:"change_weight"`
}

// Profile returns the profile with that name, or nil.
func (d *Declaration) Profile(name string) *Profile {
	return find(d.Profiles, func(p *Profile) bool { return p.Name == name })
}

// Service returns the service with that name, or nil.
func (d *Declaration) Service(name string) *Service {
	return find(d.Services, func(s *Service) bool { return s.Name == name })
}

// Model returns the model with that name, or nil.
func (d *Declaration) Model(name string) *Model {
	return find(d.Models, func(m *Model) bool { return m.Name == name })
}

// ChecksFencing reports whether the server with that id is declared to check fencing tokens. A
// server that matches no rule is assumed to ignore them.
func (d *Declaration) ChecksFencing(server string) bool {
	for _, rule := range d.BackendServers {
		if len(server) >= len(rule.Prefix) && server[:len(rule.Prefix)] == rule.Prefix {
			return rule.Fencing == FencingChecked
		}
	}
	return false
}

// Credentials returns the hashes of all tokens of the member.
func (m *Member) Credentials() []string {
	if m.CredentialSHA256 == "" {
		return m.CredentialsSHA256
	}
	return append([]string{m.CredentialSHA256}, m.CredentialsSHA256...)
}

// Allows reports whether the member may call the service.
func (m *Member) Allows(service string) bool {
	for _, s := range m.Services {
		if s == service {
			return true
		}
	}
	return false
}

func find[T any](list []T, match func(*T) bool) *T {
	for i := range list {
		if match(&list[i]) {
			return &list[i]
		}
	}
	return nil
}
