package declaration

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HostRoute forwards the requests for one host and path prefix to backend servers unchanged:
// method, path, query and body are not interpreted.
type HostRoute struct {
	Name string `yaml:"name" json:"name"`
	// Host is compared without the port and case-insensitively.
	Host string `yaml:"host" json:"host"`
	// Prefix begins and ends with a slash. The route with the longest matching prefix applies.
	Prefix string `yaml:"prefix" json:"prefix"`
	// Profile is the profile under which its requests are served: it sets their urgency and
	// deadlines.
	Profile string `yaml:"profile" json:"profile"`
	// Repeat is RepeatAllowed, RepeatOnce or RepeatResumed.
	Repeat string `yaml:"repeat" json:"repeat"`
	// Stream states that answers are streams of server-sent events.
	Stream bool `yaml:"stream" json:"stream,omitempty"`
	// Timeout bounds the time until the complete answer has been sent to the caller.
	Timeout time.Duration `yaml:"timeout" json:"timeout"`
	// MaxRuns is the number of backend servers on which one request may run. Default 1.
	MaxRuns int `yaml:"max_runs" json:"max_runs"`
	// MembersOnly requires the credential of a member; the request is served on behalf of that
	// member.
	MembersOnly bool `yaml:"members_only" json:"members_only,omitempty"`
	// Rank orders the requests at one engine: a lower rank goes first.
	Rank int `yaml:"rank" json:"rank,omitempty"`
	// Targets are the services among which the requests are split.
	Targets []RouteTarget `yaml:"targets" json:"targets"`
}

// RouteTarget is one service of a host route.
type RouteTarget struct {
	Service string `yaml:"service" json:"service"`
	// Weight is its share of the requests relative to the other targets.
	Weight float64 `yaml:"weight" json:"weight"`
}

// RepeatResumed marks streams that may be resumed on another server after the last event that was
// received.
const RepeatResumed = "resumed"

// Target returns the service for a request. The same key always selects the same service; over many
// keys the services are selected in proportion to their weights.
func (r *HostRoute) Target(key string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	totalWeight := 0.0
	for _, t := range r.Targets {
		totalWeight += t.Weight
	}
	point := float64(xxhash.Sum64String(key)>>11) / (1 << 53) * totalWeight
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// RouteTable holds host routes by lower-case host name.
type RouteTable map[string][]*HostRoute

// NewRouteTable returns the table of a declaration's host routes.
func NewRouteTable(d *Declaration) RouteTable {
	t := make(RouteTable)
	for i := range d.HostRoutes {
		r := &d.HostRoutes[i]
		host := strings.ToLower(r.Host)
		t[host] = append(t[host], r)
	}
	return t
}

// Find returns the route of the host whose prefix is the longest one that matches the path, or nil.
func (t RouteTable) Find(host, path string) *HostRoute {
	var best *HostRoute
	for _, r := range t[hostWithoutPort(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// hostWithoutPort returns the value of a Host header in lower case and without its port.
func hostWithoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

func (c *checker) checkHostRoutes() {
	names := newUniqueNames(c.file, "host_routes")
	indexByPrefix := make(map[string]int)
	for i, r := range c.d.HostRoutes {
		path := names.add(i, r.Name)
		c.checkHostRoute(path, &r)
		hostAndPrefix := hostWithoutPort(r.Host) + r.Prefix
		if firstIndex, ok := indexByPrefix[hostAndPrefix]; ok {
			c.file.Add(path+".prefix", "%s%s stands at host_routes[%d] too", r.Host, r.Prefix, firstIndex)
		}
		indexByPrefix[hostAndPrefix] = i
	}
}

func (c *checker) checkHostRoute(path string, r *HostRoute) {
	if r.Host == "" {
		c.file.Add(path+".host", "is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.file.Add(path+".prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	if c.profileNamed(r.Profile) == nil {
		c.file.Add(path+".profile", "%q is not declared under profiles", r.Profile)
	}
	switch r.Repeat {
	case RepeatAllowed, RepeatOnce:
	case RepeatResumed:
		if !r.Stream {
			c.file.Add(path+".repeat", "only streams can be resumed")
		}
	default:
		c.file.Add(path+".repeat", "%q is none of allowed, once, resumed", r.Repeat)
	}
	c.checkDuration(path+".timeout", r.Timeout, time.Millisecond, maxDeadline)
	c.checkRange(path+".max_runs", float64(r.MaxRuns), 1, maxRuns)
	c.checkTargets(path, r.Targets)
}

// maxRuns bounds the servers on which one request may run. A higher number would only let a request
// that crashes servers reach more of them.
const maxRuns = 100

func (c *checker) checkTargets(path string, targets []RouteTarget) {
	totalWeight := 0.0
	for i, t := range targets {
		targetPath := path + ".targets[" + strconv.Itoa(i) + "]"
		if c.serviceNamed(t.Service) == nil {
			c.file.Add(targetPath+".service", "%q is not declared under services", t.Service)
		}
		if t.Weight < 0 {
			c.file.Add(targetPath+".weight", "%v is less than 0", t.Weight)
		}
		totalWeight += t.Weight
	}
	if totalWeight <= 0 {
		c.file.Add(path+".targets", "the weights add up to 0; no request would have a service")
	}
}

// isRouteTarget reports whether a host route has the service as a target.
func (c *checker) isRouteTarget(service string) bool {
	if c.routeTargets == nil {
		c.routeTargets = make(map[string]bool)
		for _, r := range c.d.HostRoutes {
			for _, t := range r.Targets {
				c.routeTargets[t.Service] = true
			}
		}
	}
	return c.routeTargets[service]
}
