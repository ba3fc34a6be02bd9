// Package entry is the entry's reducer: Reducer.Step takes the time and one
// Event and returns Effects. It holds the view of the deployment, the lease on
// that view, the requests that run or wait and what is known of backend
// servers, and makes every routing decision with the packages under decision.
//
// It does no I/O and reads no clock. One control goroutine owns it; traffic
// goroutines (package traffic) post events, carry out effects and read the
// Snapshot that it publishes.
package entry
