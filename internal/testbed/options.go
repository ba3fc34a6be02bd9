// Package testbed starts the processes of one deployment on loopback addresses,
// with stand-in backend servers. Tests can signal and restart each process, damage
// its data directory, and simulate network faults with forwarders.
//
// It is for test machines only.
package testbed

import (
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/standin/server"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("testbed")

// Failed is the type of errors in setting up or operating a test bed.
var Failed = Namespace.NewType("failed")

// Options says which deployment to start, and how.
type Options struct {
	// BinDir is the directory with the binaries.
	BinDir string
	// Dir is the directory for settings, data, logs and journals; it must be
	// empty.
	Dir string
	// Deployment is the name of a directory under DeployDir: qalhat or qazaq.
	Deployment string
	// DeployDir is the directory with the deployments' declarations.
	DeployDir string
	// EnginesPerDataCentre and EntriesPerDataCentre are process counts. Default 3.
	EnginesPerDataCentre int
	EntriesPerDataCentre int
	// TuneServer changes the configuration of a backend server before it is
	// written.
	TuneServer func(*server.Config)
	// ForwardEngines puts a forwarder in front of every model engine.
	ForwardEngines bool
	// ForwardControl puts a forwarder between each ordered pair of control
	// replicas; Bed.ControlForwarder returns them.
	ForwardControl bool
	// TLS makes the processes use temporary certificates, in addition to the
	// shared key.
	TLS bool
	// EntryListTTL is how long callers cache the list of entries. Default 1s, so
	// that tests see changes of the list soon.
	EntryListTTL time.Duration
	// MaxOrderPause is the setting order_pause of the control replicas: the
	// longest pause of a control process that orders must tolerate. Default 2s.
	MaxOrderPause time.Duration
	// EntryMemoryMB and EntryFiles are the memory and the descriptors of each entry, the latter enforced. Default: no
	// limit.
	EntryMemoryMB, EntryFiles int
	// LogLevel is the log level of entries and control replicas. Default info.
	LogLevel string
}

// Sizes as in the deployments of both users: the number of data centres, and the
// default number of engines and of entries in each.
const (
	dataCentres               = 3
	defaultNodesPerDataCentre = 3
)

func (o *Options) setDefaults() {
	if o.EnginesPerDataCentre == 0 {
		o.EnginesPerDataCentre = defaultNodesPerDataCentre
	}
	if o.EntriesPerDataCentre == 0 {
		o.EntriesPerDataCentre = defaultNodesPerDataCentre
	}
	if o.EntryListTTL == 0 {
		o.EntryListTTL = time.Second
	}
	if o.MaxOrderPause == 0 {
		o.MaxOrderPause = 2 * time.Second
	}
	if o.LogLevel == "" {
		o.LogLevel = "info"
	}
}

// region returns the deployment's region, which is named after a city.
func (o *Options) region() string {
	switch o.Deployment {
	case "qalhat":
		return "muscat"
	case "qazaq":
		return "almaty"
	default:
		return o.Deployment
	}
}

// dataCentre returns the name of data centre i, counted from 0.
func (o *Options) dataCentre(i int) string { return o.region() + "-" + strconv.Itoa(i+1) }

// nodeName returns the name of node n in data centre dc, both counted from 0, such
// as engine-a1 or entry-c3.
func nodeName(kind string, dc, n int) string {
	return kind + "-" + string(rune('a'+dc)) + strconv.Itoa(n+1)
}

// MemberToken returns the bearer token of a member of a deployment under deploy/.
func MemberToken(deployment, member string) string { return deployment + "-" + member + "-token" }

// plainServices returns the names of the declaration's plain services.
func plainServices(d *declaration.Declaration) []string {
	var names []string
	for _, s := range d.Services {
		if s.Kind == declaration.KindPlain {
			names = append(names, s.Name)
		}
	}
	return names
}
