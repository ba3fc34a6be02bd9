package entry

import (
	"cmp"
	"slices"

	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// Build counts the servers of one pool that run one build of their software.
type Build struct {
	// Pool is the model of engines, or the service of a plain service's servers.
	Pool string `json:"pool"`
	// Version names the build, empty if its servers don't say.
	Version string `json:"version"`
	// Servers is the number of its servers, Leaving how many of these are leaving.
	Servers int `json:"servers"`
	Leaving int `json:"leaving"`
}

// countBuilds returns the builds of the servers, in order of pool and version.
func countBuilds(servers []*server) []Build {
	var builds []Build
	for _, s := range servers {
		pool, version := roleOf(s.pb).pool, s.pb.SoftwareVersion
		i := slices.IndexFunc(builds, func(b Build) bool { return b.Pool == pool && b.Version == version })
		if i < 0 {
			i = len(builds)
			builds = append(builds, Build{Pool: pool, Version: version})
		}
		builds[i].Servers++
		if s.pb.State == pb.ServerState_SERVER_STATE_LEAVING {
			builds[i].Leaving++
		}
	}
	slices.SortFunc(builds, func(a, b Build) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Version, b.Version))
	})
	return builds
}
