package declaration

import (
	"encoding/hex"
	"os"
	"strconv"
	"strings"
	"time"

	"goldcrestseam.dev/goldcrestseam/internal/finding"
	"goldcrestseam.dev/goldcrestseam/internal/yamlfile"
)

// Defaults of fields that a file leaves out.
const (
	DefaultIdempotencyWindow        = 24 * time.Hour
	DefaultMaxIdempotentAnswerBytes = 16384
	DefaultQuarantineTime           = time.Hour
	DefaultQuarantineCrashes        = 2
	DefaultShare                    = 1.0
	DefaultRetryBudget              = 0.1
	DefaultRoleChangePrice          = 10 * time.Second
	DefaultMaxUnavailable           = 1
	DefaultMinMixedShare            = 0.34
	DefaultChangeTime               = 5 * time.Second
	DefaultWeight                   = 1.0
)

// Bounds of sizes that a declaration may name.
const (
	maxWindow      = 7 * 24 * time.Hour
	maxAnswerBytes = 1 << 20
	maxDeadline    = 24 * time.Hour
	maxTokens      = 1 << 20
	sha256HexLen   = 64
)

// Load reads and checks a declaration file. The declaration is nil when the
// file can't be read, and must not be used when there are findings.
func Load(path string) (*Declaration, finding.List) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, finding.List{{File: path, Problem: err.Error()}}
	}
	return Parse(path, data)
}

// Parse checks the declaration in data; name is for findings.
func Parse(name string, data []byte) (*Declaration, finding.List) {
	d := &Declaration{Roles: Roles{Automatic: true, MinMixedShare: DefaultMinMixedShare}}
	file := yamlfile.Decode(name, data, d)
	return d, d.finish(file)
}

// SetDefaultsAndCheck fills in what a declaration that was made by code leaves out, and
// checks it as one that was read from a file; name is for findings.
func (d *Declaration) SetDefaultsAndCheck(name string) finding.List {
	return d.finish(yamlfile.WithoutLines(name))
}

func (d *Declaration) finish(file *yamlfile.File) finding.List {
	d.setDefaults()
	c := &checker{d: d, file: file}
	c.check()
	return file.Findings()
}

func (d *Declaration) setDefaults() {
	setDefault(&d.Limits.IdempotencyWindow, DefaultIdempotencyWindow)
	setDefault(&d.Limits.MaxIdempotentAnswerBytes, DefaultMaxIdempotentAnswerBytes)
	setDefault(&d.Limits.QuarantineTime, DefaultQuarantineTime)
	setDefault(&d.Limits.QuarantineCrashes, DefaultQuarantineCrashes)
	for i := range d.Profiles {
		setDefault(&d.Profiles[i].Share, DefaultShare)
		setDefault(&d.Profiles[i].RetryBudget, DefaultRetryBudget)
		setDefault(&d.Profiles[i].RoleChangePrice, DefaultRoleChangePrice)
	}
	for i := range d.HostRoutes {
		setDefault(&d.HostRoutes[i].MaxRuns, 1)
	}
	for i := range d.Members {
		setDefault(&d.Members[i].Weight, DefaultWeight)
	}
	setDefault(&d.Roles.MaxUnavailable, DefaultMaxUnavailable)
	setDefault(&d.Roles.MaxUnavailableUnderLoad, d.Roles.MaxUnavailable)
	setDefault(&d.Roles.ChangeTime, DefaultChangeTime)
	setDefault(&d.Roles.GoodputWeight, DefaultWeight)
	setDefault(&d.Roles.ChangeWeight, DefaultWeight)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// checker looks for what is wrong in one declaration.
type checker struct {
	d    *Declaration
	file *yamlfile.File
	// The parts by name, made when first asked for: with hundreds of routes a
	// search through the lists for each of them takes milliseconds.
	profilesByName map[string]*Profile
	servicesByName map[string]*Service
	routedTo       map[string]bool
}

func (c *checker) profile(name string) *Profile {
	if c.profilesByName == nil {
		c.profilesByName = byName(c.d.Profiles, func(p *Profile) string { return p.Name })
	}
	return c.profilesByName[name]
}

func (c *checker) service(name string) *Service {
	if c.servicesByName == nil {
		c.servicesByName = byName(c.d.Services, func(s *Service) string { return s.Name })
	}
	return c.servicesByName[name]
}

func byName[T any](list []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[name(&list[i])] = &list[i]
	}
	return m
}

func (c *checker) check() {
	if c.d.Revision == 0 {
		c.file.Add("revision", "must be at least 1")
	}
	if c.d.Base >= c.d.Revision && c.d.Revision > 0 {
		c.file.Add("base", "is %d; it must be lower than revision %d", c.d.Base, c.d.Revision)
	}
	if c.d.Author == "" {
		c.file.Add("author", "is missing; name who answers for this revision")
	}
	c.limits()
	c.profiles()
	c.models()
	c.services()
	c.hostRoutes()
	c.members()
	c.servers()
	c.roles()
}

func (c *checker) limits() {
	l := c.d.Limits
	c.duration("limits.once_window", l.IdempotencyWindow, time.Minute, maxWindow)
	c.duration("limits.quarantine_time", l.QuarantineTime, time.Second, maxWindow)
	c.between("limits.once_answer_bytes", float64(l.MaxIdempotentAnswerBytes), 1, maxAnswerBytes)
	c.between("limits.quarantine_deaths", float64(l.QuarantineCrashes), 1, 100)
}

func (c *checker) profiles() {
	if len(c.d.Profiles) == 0 {
		c.file.Add("profiles", "is empty; declare at least one")
	}
	names := newNames(c.file, "profiles")
	for i, p := range c.d.Profiles {
		path := names.add(i, p.Name)
		switch p.Class {
		case ClassUrgent, ClassLookup, ClassBulk:
		default:
			c.file.Add(path+".class", "%q is none of urgent, lookup, bulk", p.Class)
		}
		c.duration(path+".first_token", p.FirstToken, time.Millisecond, maxDeadline)
		c.duration(path+".deadline", p.Deadline, time.Millisecond, maxDeadline)
		if p.FirstToken > p.Deadline {
			c.file.Add(path+".first_token", "%v is longer than deadline %v", p.FirstToken, p.Deadline)
		}
		c.between(path+".max_prompt_tokens", float64(p.MaxPromptTokens), 0, maxTokens)
		c.between(path+".max_output_tokens", float64(p.MaxOutputTokens), 0, maxTokens)
		c.between(path+".share", p.Share, 0.001, 1000)
		c.between(path+".retry_budget", p.RetryBudget, 0, 1)
		c.duration(path+".role_change_price", p.RoleChangePrice, 0, maxDeadline)
	}
}

func (c *checker) models() {
	names := newNames(c.file, "models")
	for i, m := range c.d.Models {
		path := names.add(i, m.Name)
		if m.Version == "" {
			c.file.Add(path+".version", "is missing")
		}
	}
}

func (c *checker) services() {
	names := newNames(c.file, "services")
	for i, s := range c.d.Services {
		path := names.add(i, s.Name)
		if c.profile(s.Profile) == nil && !(s.Profile == "" && c.routed(s.Name)) {
			c.file.Add(path+".profile", "%q is not declared under profiles", s.Profile)
		}
		c.scale(path+".scale", s.Scale)
		switch s.Kind {
		case KindModel:
			c.modelService(path, s)
		case KindPlain:
			c.plainService(path, s)
		default:
			c.file.Add(path+".kind", "%q is neither model nor plain", s.Kind)
		}
	}
}

// maxScale bounds the servers of one data centre.
const maxScale = 10_000

func (c *checker) scale(path string, s *Scale) {
	if s == nil {
		return
	}
	c.between(path+".max", float64(s.Max), 1, maxScale)
	c.between(path+".min", float64(s.Min), 0, float64(s.Max))
	c.duration(path+".boot", s.BootTime, 0, time.Hour)
	c.between(path+".spot_price", s.SpotPrice, 0, 1000)
}

func (c *checker) modelService(path string, s Service) {
	if c.d.Model(s.Model) == nil {
		c.file.Add(path+".model", "%q is not declared under models", s.Model)
	}
	if len(s.Routes) > 0 {
		c.file.Add(path+".routes", "are for plain services only")
	}
	if p := c.d.Profile(s.Profile); p != nil && (p.MaxPromptTokens == 0 || p.MaxOutputTokens == 0) {
		c.file.Add(path+".profile", "%q has no max_prompt_tokens or max_output_tokens; a model service needs both", s.Profile)
	}
}

func (c *checker) plainService(path string, s Service) {
	if s.Model != "" || s.Adapter != "" {
		c.file.Add(path+".model", "is for model services only")
	}
	if len(s.Routes) == 0 && !c.routed(s.Name) {
		c.file.Add(path+".routes", "is empty; no call would fit")
	}
	seen := make(map[string]int)
	for i, r := range s.Routes {
		route := path + ".routes[" + strconv.Itoa(i) + "]"
		c.route(route, r)
		key := r.Method + " " + r.Path
		if first, ok := seen[key]; ok {
			c.file.Add(route, "%s stands at routes[%d] too", key, first)
		}
		seen[key] = i
	}
}

func (c *checker) route(path string, r Route) {
	switch r.Method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE":
	default:
		c.file.Add(path+".method", "%q is none of GET, HEAD, POST, PUT, PATCH, DELETE", r.Method)
	}
	if !strings.HasPrefix(r.Path, "/") {
		c.file.Add(path+".path", "%q does not begin with a slash", r.Path)
	}
	if r.Repeat != RepeatAllowed && r.Repeat != RepeatOnce {
		c.file.Add(path+".repeat", "%q is neither allowed nor once", r.Repeat)
	}
}

func (c *checker) members() {
	names := newNames(c.file, "members")
	holders := make(map[string]string)
	for i := range c.d.Members {
		m := &c.d.Members[i]
		path := names.add(i, m.Name)
		c.credentials(path, m, holders)
		c.between(path+".weight", m.Weight, 0.001, 1000)
		if m.Rank != nil {
			c.between(path+".rank", float64(*m.Rank), 0, maxRank)
		}
		for j, s := range m.Services {
			if c.service(s) == nil {
				c.file.Add(path+".services["+strconv.Itoa(j)+"]", "%q is not declared under services", s)
			}
		}
	}
}

// maxRank bounds ranks, which order work of one engine.
const maxRank = 1000

// credentials checks those of one member; holders are the members of all seen before. No
// finding names a credential.
func (c *checker) credentials(path string, m *Member, holders map[string]string) {
	if m.CredentialSHA256 == "" && m.CredentialsSHA256 == nil {
		c.file.Add(path+".credential_sha256", "is missing; a member without credential can't call, say so with credentials_sha256: []")
	}
	for i, hash := range m.Credentials() {
		at := path + ".credential_sha256"
		if m.CredentialSHA256 == "" || i > 0 {
			at = path + ".credentials_sha256"
		}
		if raw, err := hex.DecodeString(hash); err != nil || len(raw) != sha256HexLen/2 {
			c.file.Add(at, "is not the hex SHA-256 of a token")
			continue
		}
		if other, ok := holders[hash]; ok && other != m.Name {
			c.file.Add(at, "members %s and %s have the same one; each needs its own", other, m.Name)
		}
		holders[hash] = m.Name
	}
}

func (c *checker) servers() {
	seen := make(map[string]int)
	for i, r := range c.d.BackendServers {
		path := "backend_servers[" + strconv.Itoa(i) + "]"
		if r.Fencing != FencingChecked && r.Fencing != FencingIgnored {
			c.file.Add(path+".fencing", "%q is neither checked nor ignored", r.Fencing)
		}
		if first, ok := seen[r.Prefix]; ok {
			c.file.Add(path+".prefix", "%q stands at backend_servers[%d] too", r.Prefix, first)
		}
		seen[r.Prefix] = i
	}
}

func (c *checker) roles() {
	r := c.d.Roles
	c.between("roles.max_away", float64(r.MaxUnavailable), 1, 1000)
	c.between("roles.max_away_loaded", float64(r.MaxUnavailableUnderLoad), 1, float64(r.MaxUnavailable))
	c.between("roles.prefill_share", r.PrefillShare, 0, 1)
	c.between("roles.min_mixed_share", r.MinMixedShare, 0, 1)
	c.duration("roles.change_time", r.ChangeTime, 0, time.Hour)
	c.between("roles.goodput_weight", r.GoodputWeight, 0.001, 1000)
	c.between("roles.change_weight", r.ChangeWeight, 0.001, 1000)
}

func (c *checker) duration(path string, d, low, high time.Duration) {
	if d < low || d > high {
		c.file.Add(path, "%v is not between %v and %v", d, low, high)
	}
}

func (c *checker) between(path string, v, low, high float64) {
	if v < low || v > high {
		c.file.Add(path, "%v is not between %v and %v", v, low, high)
	}
}

// names notices names that are missing or stand twice in a list.
type names struct {
	file *yamlfile.File
	list string
	seen map[string]int
}

func newNames(file *yamlfile.File, list string) *names {
	return &names{file: file, list: list, seen: make(map[string]int)}
}

// add checks the name of element i and gives the element's path.
func (n *names) add(i int, name string) string {
	path := n.list + "[" + strconv.Itoa(i) + "]"
	first, doubled := n.seen[name]
	switch {
	case name == "":
		n.file.Add(path+".name", "is missing")
	case doubled:
		n.file.Add(path+".name", "%q stands at %s[%d] too", name, n.list, first)
	default:
		n.seen[name] = i
	}
	return path
}
