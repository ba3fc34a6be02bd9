// Package testbed starts the processes of one deployment on loopback, with
// stand-in backend servers, and gives tests a hold on each of them: signals,
// restarts, data folders, and forwarders on the way to backend servers.
//
// It runs on test machines only.
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

// Failed is the type of errors of a bed that can't be set up or driven.
var Failed = Namespace.NewType("failed")

// Options says which deployment to start and how.
type Options struct {
	// BinDir is the folder with the programs.
	BinDir string
	// Dir is where settings, data, logs and journals go; it must be empty.
	Dir string
	// Deployment is a folder under Deploy: qalhat or qazaq.
	Deployment string
	// DeployDir is the folder with the deployments' declarations.
	DeployDir string
	// EnginesPerDataCentre and EntriesPerDataCentre are counts. Default 3.
	EnginesPerDataCentre int
	EntriesPerDataCentre int
	// TuneServer changes a backend server's configuration before it is written.
	TuneServer func(*server.Config)
	// ForwardEngines puts a forwarder before every model engine.
	ForwardEngines bool
	// ForwardControl puts a forwarder on the way from each control replica to
	// each other one; Bed.ControlForwarder finds them.
	ForwardControl bool
	// TLS protects the system's own processes with throw-away certificates,
	// beside the shared key.
	TLS bool
	// EntryListTTL is how long callers keep entry lists. Default 1s, to be quick.
	EntryListTTL time.Duration
	// MaxOrderPause is the longest pause stated for control. Default 2s.
	MaxOrderPause time.Duration
	// LogLevel of entries and control. Default info.
	LogLevel string
}

// The sizes that both users have today.
const (
	dataCentres   = 3
	perDataCentre = 3
)

func (o *Options) setDefaults() {
	if o.EnginesPerDataCentre == 0 {
		o.EnginesPerDataCentre = perDataCentre
	}
	if o.EntriesPerDataCentre == 0 {
		o.EntriesPerDataCentre = perDataCentre
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

// region gives the deployment's region: its city.
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

// dataCentre names data centre i, from 0.
func (o *Options) dataCentre(i int) string { return o.region() + "-" + strconv.Itoa(i+1) }

// nodeName names node n, from 0, of data centre dc: engine-a1, entry-c3.
func nodeName(kind string, dc, n int) string {
	return kind + "-" + string(rune('a'+dc)) + strconv.Itoa(n+1)
}

// MemberToken is the bearer token of a member of the deployments under deploy/.
func MemberToken(deployment, member string) string { return deployment + "-" + member + "-token" }

// plainServices lists the names of the declaration's plain services.
func plainServices(d *declaration.Declaration) []string {
	var names []string
	for _, s := range d.Services {
		if s.Kind == declaration.KindPlain {
			names = append(names, s.Name)
		}
	}
	return names
}
