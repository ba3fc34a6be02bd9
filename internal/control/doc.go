// Package control is the reducer of a control replica: Reducer.Step takes the time and one
// Event and returns Effects. It holds the consensus node (package consensus), the
// replicated state that committed commands build, and the leader's in-memory state: leases
// of backend servers and entries, calls that wait for an answer, and orders in flight.
//
// An entry is a routing front end that callers connect to. The view is the routing state
// that entries get from the leader: the declaration's objects, the backend servers, the
// other entries and the quarantined requests. An incarnation is one run of a server, entry
// or replica, from its start to its end. An order tells a backend server to change its
// role, model version or adapters; it is committed as an intent before it is sent. A claim
// is the right of one entry to send a call that must run at most once. A duty is a kind of
// call to an external service that only the leader makes.
//
// The package does no I/O and reads no clock. One goroutine owns the Reducer, and a runner
// carries out the effects.
package control
