// Package entry is the reducer of an entry process: Reducer.Step takes the time and one Event
// and returns Effects. It holds the view of the deployment, the lease on that view, the running
// and waiting requests and the state of backend servers. It makes every routing decision with
// the packages under decision.
//
// It does no I/O and reads no clock. One control goroutine owns it. Traffic goroutines (package
// traffic) post events, carry out effects and read the Snapshot that it publishes.
package entry
