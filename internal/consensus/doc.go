// Package consensus is a replicated log as a pure reducer: Node.Step takes the
// time and one Event and returns Effects. It does no I/O, reads no clock and
// starts no goroutine; the same code runs under tests with a virtual clock.
//
// It has leader election with pre-vote and check-quorum, log replication,
// snapshots in chunks, learners, one membership change at a time, read-index
// reads and a leader lease. The algorithm is Raft (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", and Ongaro's thesis).
//
// # Wiring
//
// The host opens the data folder with store.Open, puts its state back from
// Recovered.Initial.SnapshotData if there is any, and calls NewNode with
// Recovered.Initial. One goroutine owns the Node. Time is clock.SinceBoot. Effects
// are carried out in order:
//
//   - Send: hand it to the network. A message may be lost, doubled or late; what
//     must be synced first has been. Batch per target.
//   - Persist: Store.Save in the background, then step Persisted. There is one at
//     a time, so a goroutine that does one write after the other is enough.
//   - TakeSnapshot: fill in SealSnapshot(Meta, data) for the state as the Apply
//     effects up to here have built it, Store.SaveSnapshot in the background,
//     then step SnapshotTaken.
//   - RestoreSnapshot: Store.RestoreSnapshot, put the state back from Data, then
//     step SnapshotRestored. No Apply or Persist comes in between.
//   - Apply: apply the entries of kind NORMAL with data in order; an entry without data
//     begins a term. After a restart the entries after the snapshot come again.
//   - A store error ends the process: what is on the disk is not known then.
//
// For each StepRequest the host checks the cluster id, Store.Addressed(to) and
// Store.Admit(req, MembershipChanged.Committed), in this order, and refuses the whole
// request if one fails. It answers removed if Node.IsRemoved(from); a sender that
// reads removed steps RemovedByPeer. It steps Receive with the sender's
// incarnation. A request is addressed to Store.Target (given
// MembershipChanged.Membership) and comes from Store.Identity, or from Store.Introduction
// if it holds a HELLO or HELLO_RESPONSE. Addresses come from MembershipChanged, or from the bootstrap
// settings of a replica that no member list names yet.
//
// A proposal is decided once Apply shows its index: with its term it went in,
// with another it did not. LeaseUntil is read before an action that needs the
// lease, which counts only while clock.SinceBoot is lower; a read that needs no lease
// uses ReadIndex and waits until the state is applied up to its index.
package consensus
