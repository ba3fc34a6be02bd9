package declaration

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HostRoute passes requests of one host and path prefix on to backend servers
// as they are: method, path, query and body are not looked into.
type HostRoute struct {
	Name string `yaml:"name" json:"name"`
	// Host is compared without a port and without regard to case.
	Host string `yaml:"host" json:"host"`
	// Prefix begins and ends with a slash; the longest that fits a path counts.
	Prefix string `yaml:"prefix" json:"prefix"`
	// Profile says how urgent its requests are and how long they may take.
	Profile string `yaml:"profile" json:"profile"`
	// Repeat is allowed, once or resumed.
	Repeat string `yaml:"repeat" json:"repeat"`
	// Stream tells that answers are streams of server-sent events.
	Stream bool `yaml:"stream" json:"stream,omitempty"`
	// Timeout is how long a caller may be kept waiting for the whole answer.
	Timeout time.Duration `yaml:"timeout" json:"timeout"`
	// MaxRuns is on how many backend servers one request may run. Default 1.
	MaxRuns int `yaml:"max_runs" json:"max_runs"`
	// MembersOnly tells that a request needs the credential of a member, and runs for
	// that member.
	MembersOnly bool `yaml:"members_only" json:"members_only,omitempty"`
	// Rank orders work at one engine: a lower one goes first.
	Rank int `yaml:"rank" json:"rank,omitempty"`
	// Targets are the services that requests are split over.
	Targets []RouteTarget `yaml:"targets" json:"targets"`
}

// RouteTarget is one service of a route.
type RouteTarget struct {
	Service string `yaml:"service" json:"service"`
	// Weight is its share of the requests against the other targets.
	Weight float64 `yaml:"weight" json:"weight"`
}

// RepeatResumed: a stream that may go on at another server after its last event.
const RepeatResumed = "resumed"

// Target gives the service for a request: the same one for the same key, in
// proportion to the weights over many keys.
func (r *HostRoute) Target(key string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point := float64(xxhash.Sum64String(key)>>11) / (1 << 53) * total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// RouteTable finds the route of a request.
type RouteTable map[string][]*HostRoute

// NewRouteTable sorts a declaration's host routes by host.
func NewRouteTable(d *Declaration) RouteTable {
	t := make(RouteTable)
	for i := range d.HostRoutes {
		r := &d.HostRoutes[i]
		host := strings.ToLower(r.Host)
		t[host] = append(t[host], r)
	}
	return t
}

// Find gives the route with the longest prefix that begins the path, or nil.
func (t RouteTable) Find(host, path string) *HostRoute {
	var best *HostRoute
	for _, r := range t[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// hostName takes the port off a Host header.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

func (c *checker) hostRoutes() {
	names := newNames(c.file, "host_routes")
	places := make(map[string]int)
	for i, r := range c.d.HostRoutes {
		path := names.add(i, r.Name)
		c.hostRoute(path, &r)
		place := hostName(r.Host) + r.Prefix
		if first, ok := places[place]; ok {
			c.file.Add(path+".prefix", "%s%s stands at host_routes[%d] too", r.Host, r.Prefix, first)
		}
		places[place] = i
	}
}

func (c *checker) hostRoute(path string, r *HostRoute) {
	if r.Host == "" {
		c.file.Add(path+".host", "is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.file.Add(path+".prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	if c.profile(r.Profile) == nil {
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
	c.duration(path+".timeout", r.Timeout, time.Millisecond, maxDeadline)
	c.between(path+".max_runs", float64(r.MaxRuns), 1, maxRuns)
	c.targets(path, r.Targets)
}

// maxRuns bounds the servers of one request: more only spread one that crashes them.
const maxRuns = 100

func (c *checker) targets(path string, targets []RouteTarget) {
	total := 0.0
	for i, t := range targets {
		at := path + ".targets[" + strconv.Itoa(i) + "]"
		if c.service(t.Service) == nil {
			c.file.Add(at+".service", "%q is not declared under services", t.Service)
		}
		if t.Weight < 0 {
			c.file.Add(at+".weight", "%v is less than 0", t.Weight)
		}
		total += t.Weight
	}
	if total <= 0 {
		c.file.Add(path+".targets", "the weights add up to 0; no request would have a service")
	}
}

// routed tells whether a host route names the service.
func (c *checker) routed(service string) bool {
	if c.routedTo == nil {
		c.routedTo = make(map[string]bool)
		for _, r := range c.d.HostRoutes {
			for _, t := range r.Targets {
				c.routedTo[t.Service] = true
			}
		}
	}
	return c.routedTo[service]
}
