package declaration

import (
	"encoding/hex"
	"math"
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

// Upper limits of values in a declaration, and the length of a token hash in hex digits.
const (
	maxWindow      = 7 * 24 * time.Hour
	maxAnswerBytes = 1 << 20
	maxDeadline    = 24 * time.Hour
	maxTokens      = 1 << 20
	sha256HexLen   = 64
)

// Load reads and checks a declaration file. The declaration is nil if the file cannot be read, and
// must not be used if there are findings.
func Load(path string) (*Declaration, finding.List) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, finding.List{{File: path, Problem: err.Error()}}
	}
	return Parse(path, data)
}

// Parse decodes and checks the declaration in data. Findings carry name as their file name.
func Parse(name string, data []byte) (*Declaration, finding.List) {
	d := &Declaration{Roles: Roles{Automatic: true, MinMixedShare: DefaultMinMixedShare}}
	file := yamlfile.Decode(name, data, d)
	return d, d.setDefaultsAndCheckIn(file)
}

// SetDefaultsAndCheck sets the defaults of a declaration that was built by code, and checks it like
// one that was read from a file. Findings carry name as their file name.
func (d *Declaration) SetDefaultsAndCheck(name string) finding.List {
	return d.setDefaultsAndCheckIn(yamlfile.WithoutLines(name))
}

func (d *Declaration) setDefaultsAndCheckIn(file *yamlfile.File) finding.List {
	d.setDefaults()
	c := &checker{d: d, file: file}
	c.checkAll()
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

// checker checks one declaration and adds the findings to file.
type checker struct {
	d    *Declaration
	file *yamlfile.File
	// These indexes are built on first use. With hundreds of host routes, a linear search for each
	// of them takes milliseconds.
	profilesByName map[string]*Profile
	servicesByName map[string]*Service
	routeTargets   map[string]bool
}

func (c *checker) profileNamed(name string) *Profile {
	if c.profilesByName == nil {
		c.profilesByName = byName(c.d.Profiles, func(p *Profile) string { return p.Name })
	}
	return c.profilesByName[name]
}

func (c *checker) serviceNamed(name string) *Service {
	if c.servicesByName == nil {
		c.servicesByName = byName(c.d.Services, func(s *Service) string { return s.Name })
	}
	return c.servicesByName[name]
}

func byName[T any](list []T, nameOf func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[nameOf(&list[i])] = &list[i]
	}
	return m
}

func (c *checker) checkAll() {
	if c.d.Revision == 0 {
		c.file.Add("revision", "must be at least 1")
	}
	if c.d.Base >= c.d.Revision && c.d.Revision > 0 {
		c.file.Add("base", "is %d; it must be lower than revision %d", c.d.Base, c.d.Revision)
	}
	if c.d.Author == "" {
		c.file.Add("author", "is missing; name who answers for this revision")
	}
	c.checkLimits()
	c.checkProfiles()
	c.checkModels()
	c.checkServices()
	c.checkHostRoutes()
	c.checkMembers()
	c.checkServerRules()
	c.checkRoles()
}

func (c *checker) checkLimits() {
	l := c.d.Limits
	c.checkDuration("limits.once_window", l.IdempotencyWindow, time.Minute, maxWindow)
	c.checkDuration("limits.quarantine_time", l.QuarantineTime, time.Second, maxWindow)
	c.checkRange("limits.once_answer_bytes", float64(l.MaxIdempotentAnswerBytes), 1, maxAnswerBytes)
	c.checkRange("limits.quarantine_deaths", float64(l.QuarantineCrashes), 1, 100)
	c.checkRange("limits.body_bytes", float64(l.MaxBodyBytes), 0, math.MaxInt32)
}

func (c *checker) checkProfiles() {
	if len(c.d.Profiles) == 0 {
		c.file.Add("profiles", "is empty; declare at least one")
	}
	names := newUniqueNames(c.file, "profiles")
	for i, p := range c.d.Profiles {
		path := names.add(i, p.Name)
		switch p.Class {
		case ClassUrgent, ClassLookup, ClassBulk:
		default:
			c.file.Add(path+".class", "%q is none of urgent, lookup, bulk", p.Class)
		}
		c.checkDuration(path+".first_token", p.FirstToken, time.Millisecond, maxDeadline)
		c.checkDuration(path+".deadline", p.Deadline, time.Millisecond, maxDeadline)
		if p.FirstToken > p.Deadline {
			c.file.Add(path+".first_token", "%v is longer than deadline %v", p.FirstToken, p.Deadline)
		}
		c.checkRange(path+".max_prompt_tokens", float64(p.MaxPromptTokens), 0, maxTokens)
		c.checkRange(path+".max_output_tokens", float64(p.MaxOutputTokens), 0, maxTokens)
		c.checkRange(path+".share", p.Share, 0.001, 1000)
		c.checkRange(path+".retry_budget", p.RetryBudget, 0, 1)
		c.checkDuration(path+".role_change_price", p.RoleChangePrice, 0, maxDeadline)
	}
}

func (c *checker) checkModels() {
	names := newUniqueNames(c.file, "models")
	for i, m := range c.d.Models {
		path := names.add(i, m.Name)
		if m.Version == "" {
			c.file.Add(path+".version", "is missing")
		}
	}
}

func (c *checker) checkServices() {
	names := newUniqueNames(c.file, "services")
	for i, s := range c.d.Services {
		path := names.add(i, s.Name)
		if c.profileNamed(s.Profile) == nil && !(s.Profile == "" && c.needsNoProfile(&s)) {
			c.file.Add(path+".profile", "%q is not declared under profiles", s.Profile)
		}
		c.checkScale(path+".scale", s.Scale)
		switch s.Kind {
		case KindModel:
			c.checkModelService(path, s)
		case KindPlain:
			c.checkPlainService(path, s)
		default:
			c.file.Add(path+".kind", "%q is neither model nor plain", s.Kind)
		}
	}
}

// needsNoProfile reports whether calls reach the service by host routes, which name a profile
// themselves, or not at all.
func (c *checker) needsNoProfile(s *Service) bool { return s.Unrouted || c.isRouteTarget(s.Name) }

// maxScale bounds Scale.Max, the servers of a service per data centre.
const maxScale = 10_000

func (c *checker) checkScale(path string, s *Scale) {
	if s == nil {
		return
	}
	c.checkRange(path+".max", float64(s.Max), 1, maxScale)
	c.checkRange(path+".min", float64(s.Min), 0, float64(s.Max))
	c.checkDuration(path+".boot", s.BootTime, 0, time.Hour)
	c.checkRange(path+".spot_price", s.SpotPrice, 0, 1000)
}

func (c *checker) checkModelService(path string, s Service) {
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

func (c *checker) checkPlainService(path string, s Service) {
	if s.Model != "" || s.Adapter != "" {
		c.file.Add(path+".model", "is for model services only")
	}
	if len(s.Routes) == 0 && !c.needsNoProfile(&s) {
		c.file.Add(path+".routes", "is empty; no call would fit")
	}
	indexByCall := make(map[string]int)
	for i, r := range s.Routes {
		routePath := path + ".routes[" + strconv.Itoa(i) + "]"
		c.checkRoute(routePath, r)
		key := r.Method + " " + r.Path
		if firstIndex, ok := indexByCall[key]; ok {
			c.file.Add(routePath, "%s stands at routes[%d] too", key, firstIndex)
		}
		indexByCall[key] = i
	}
}

func (c *checker) checkRoute(path string, r Route) {
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

func (c *checker) checkMembers() {
	names := newUniqueNames(c.file, "members")
	memberByHash := make(map[string]string)
	for i := range c.d.Members {
		m := &c.d.Members[i]
		path := names.add(i, m.Name)
		c.checkCredentials(path, m, memberByHash)
		c.checkRange(path+".weight", m.Weight, 0.001, 1000)
		if m.Rank != nil {
			c.checkRange(path+".rank", float64(*m.Rank), 0, maxRank)
		}
		for j, s := range m.Services {
			if c.serviceNamed(s) == nil {
				c.file.Add(path+".services["+strconv.Itoa(j)+"]", "%q is not declared under services", s)
			}
		}
	}
}

// maxRank bounds the rank of a member.
const maxRank = 1000

// checkCredentials checks the credentials of one member. memberByHash holds the credentials of the
// members checked before, and those of this one are added to it. Findings never contain a
// credential.
func (c *checker) checkCredentials(path string, m *Member, memberByHash map[string]string) {
	if m.CredentialSHA256 == "" && m.CredentialsSHA256 == nil {
		c.file.Add(path+".credential_sha256", "is missing; a member without credential can't call, say so with credentials_sha256: []")
	}
	for i, hash := range m.Credentials() {
		field := path + ".credential_sha256"
		if m.CredentialSHA256 == "" || i > 0 {
			field = path + ".credentials_sha256"
		}
		if hashBytes, err := hex.DecodeString(hash); err != nil || len(hashBytes) != sha256HexLen/2 {
			c.file.Add(field, "is not the hex SHA-256 of a token")
			continue
		}
		if other, ok := memberByHash[hash]; ok && other != m.Name {
			c.file.Add(field, "members %s and %s have the same one; each needs its own", other, m.Name)
		}
		memberByHash[hash] = m.Name
	}
}

func (c *checker) checkServerRules() {
	indexByPrefix := make(map[string]int)
	for i, r := range c.d.BackendServers {
		path := "backend_servers[" + strconv.Itoa(i) + "]"
		if r.Fencing != FencingChecked && r.Fencing != FencingIgnored {
			c.file.Add(path+".fencing", "%q is neither checked nor ignored", r.Fencing)
		}
		if firstIndex, ok := indexByPrefix[r.Prefix]; ok {
			c.file.Add(path+".prefix", "%q stands at backend_servers[%d] too", r.Prefix, firstIndex)
		}
		indexByPrefix[r.Prefix] = i
	}
}

func (c *checker) checkRoles() {
	r := c.d.Roles
	c.checkRange("roles.max_away", float64(r.MaxUnavailable), 1, 1000)
	c.checkRange("roles.max_away_loaded", float64(r.MaxUnavailableUnderLoad), 1, float64(r.MaxUnavailable))
	c.checkRange("roles.prefill_share", r.PrefillShare, 0, 1)
	c.checkRange("roles.min_mixed_share", r.MinMixedShare, 0, 1)
	c.checkDuration("roles.change_time", r.ChangeTime, 0, time.Hour)
	c.checkRange("roles.goodput_weight", r.GoodputWeight, 0.001, 1000)
	c.checkRange("roles.change_weight", r.ChangeWeight, 0.001, 1000)
}

func (c *checker) checkDuration(path string, d, low, high time.Duration) {
	if d < low || d > high {
		c.file.Add(path, "%v is not between %v and %v", d, low, high)
	}
}

func (c *checker) checkRange(path string, v, low, high float64) {
	if v < low || v > high {
		c.file.Add(path, "%v is not between %v and %v", v, low, high)
	}
}

// uniqueNames checks that the elements of a list have names, and that no name is used twice.
type uniqueNames struct {
	file        *yamlfile.File
	list        string
	indexByName map[string]int
}

func newUniqueNames(file *yamlfile.File, list string) *uniqueNames {
	return &uniqueNames{file: file, list: list, indexByName: make(map[string]int)}
}

// add checks the name of element i and returns the path of the element.
func (n *uniqueNames) add(i int, name string) string {
	path := n.list + "[" + strconv.Itoa(i) + "]"
	firstIndex, duplicate := n.indexByName[name]
	switch {
	case name == "":
		n.file.Add(path+".name", "is missing")
	case duplicate:
		n.file.Add(path+".name", "%q stands at %s[%d] too", name, n.list, firstIndex)
	default:
		n.indexByName[name] = i
	}
	return path
}
