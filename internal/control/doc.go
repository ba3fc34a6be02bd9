// Package control is the control replica's reducer: Reducer.Step takes the time
// and one Event and returns Effects. It holds the consensus node (package
// consensus), the replicated state that committed commands build, and what only
// the leader keeps in memory: leases of backend servers and entries, calls that
// wait, orders on their way.
//
// It does no I/O and reads no clock. One control goroutine owns it; a runner
// carries out the effects.
package control
