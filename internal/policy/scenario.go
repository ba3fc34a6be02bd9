// Package policy measures the decisions under load on a model of the engines, in virtual time and
// without a network. Several entries, each with its own view of the engines, run the same
// admission, queue and placement code as goldcrest-entry, and a role policy changes the roles of
// engines as goldcrest-control does.
//
// It is an experiment and not part of the running system.
package policy

import (
	"path/filepath"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/declaration"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("policy")

// BadScenario means that the deployment's declaration cannot be used.
var BadScenario = Namespace.NewType("bad_scenario")

// Scenario is the deployment that traces are run on.
type Scenario struct {
	Deployment string
	// Urgent and Bulk are the profiles of the two model services.
	Urgent, Bulk *declaration.Profile
	Members      []declaration.Member
	Roles        declaration.Roles
	Model        string
	// Engines and Entries are the numbers of engines and entries.
	Engines, Entries int
}

// Sizes of both deployments. Of the nine entries three serve a given caller, since callers use
// the addresses of their own data centre.
const (
	scenarioEngines = 9
	scenarioEntries = 3
)

// LoadScenario reads the deployment's declaration below dir. It returns BadScenario errors.
func LoadScenario(dir, deployment string) (*Scenario, error) {
	d, findings := declaration.Load(filepath.Join(dir, deployment, "declaration.yaml"))
	if err := findings.Err(); err != nil {
		return nil, BadScenario.Wrap(err, "deployment %s", deployment)
	}
	s := &Scenario{
		Deployment: deployment, Members: d.Members, Roles: d.Roles,
		Engines: scenarioEngines, Entries: scenarioEntries,
	}
	for _, service := range d.Services {
		if service.Kind != declaration.KindModel {
			continue
		}
		s.Model = service.Model
		profile := d.Profile(service.Profile)
		if profile.Class == declaration.ClassBulk {
			s.Bulk = profile
		} else {
			s.Urgent = profile
		}
	}
	if s.Urgent == nil || s.Bulk == nil || len(s.Members) == 0 {
		return nil, BadScenario.New("deployment %s needs an urgent and a bulk model service and members", deployment)
	}
	return s, nil
}

// price returns the engine-seconds that a change must gain: the prices of the profiles, weighted by
// their shares.
func (s *Scenario) price() time.Duration {
	shares := s.Urgent.Share + s.Bulk.Share
	sum := s.Urgent.Share*s.Urgent.RoleChangePrice.Seconds() + s.Bulk.Share*s.Bulk.RoleChangePrice.Seconds()
	return time.Duration(sum / shares * float64(time.Second))
}
