package decision

// Origin is the server that sent the first event of an answer. What two builds of a server's
// software write doesn't fit together, and servers don't check it: only servers that run the same
// build may go on with the answer.
type Origin struct {
	// Pool is the model of an engine, or the service of a plain service's server.
	Pool string
	// Version is the build of the server's software, empty if unknown.
	Version string
	// Incarnation identifies the server's process. A process never changes its build.
	Incarnation string
}

// Allows reports whether the server may go on with what began at the origin. A server of unknown
// version may do so only if it is the origin itself.
func (o *Origin) Allows(s *Server) bool {
	if s.pool() != o.Pool {
		return false
	}
	return o.Incarnation != "" && s.Incarnation == o.Incarnation || o.Version != "" && s.SoftwareVersion == o.Version
}

// pool returns the pool that the server belongs to.
func (s *Server) pool() string {
	if len(s.Services) > 0 {
		return s.Services[0]
	}
	return s.Model
}
