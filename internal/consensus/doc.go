// Package consensus is a replicated log as a pure reducer: Node.Step takes the
// time and one Event and returns Effects. It does no I/O, reads no clock and
// starts no goroutine; the same code runs under tests with a virtual clock.
//
// It has leader election with pre-vote and check-quorum, log replication,
// snapshots in chunks, learners, one membership change at a time, read-index
// reads and a leader lease. The algorithm is Raft (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", and Ongaro's thesis).
package consensus
