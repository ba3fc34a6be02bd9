// Package consensus is a replicated log as a pure reducer: Node.Step takes the
// time and one Event and returns Effects. It does no I/O, reads no clock and
// starts no goroutine; the same code runs under tests with a virtual clock.
//
// It has leader election with pre-vote and check-quorum, log replication,
// snapshots in chunks, learners, one membership change at a time, read-index
// reads and a leader lease. The algorithm is Raft (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", and Ongaro's thesis).
//
// # Identities
//
// A replica has an id that the member list names. Each data folder also has a
// random incarnation, so a replica that lost its disk is not taken for the one
// that voted under its id before. Each start from a data folder and each snapshot
// increases its boot number and draws a boot nonce, so peers detect a folder that
// was restored from an older copy. HELLO messages tell peers of a new boot.
//
// # Integration
//
// The host opens the data folder with store.Open, restores its state from
// Recovered.Initial.SnapshotData if there is any, and calls NewNode with
// Recovered.Initial. One goroutine owns the Node. Time is clock.SinceBoot. Effects
// are carried out in order:
//
//   - Send: pass the message to the network. It may be lost, duplicated or
//     delayed; state that must be synced first is already synced. Batch messages
//     per target.
//   - Persist: call Store.Save in the background, then step Persisted. At most one
//     Persist is outstanding, so a goroutine that does one write after the other
//     is enough.
//   - TakeSnapshot: capture the state built by the Apply effects up to here, call
//     SetSnapshotChecksum(Meta, data), call Store.SaveSnapshot in the background,
//     then step SnapshotTaken.
//   - RestoreSnapshot: call Store.RestoreSnapshot, restore the state from Data, then
//     step SnapshotRestored. No Apply or Persist comes in between.
//   - Apply: apply the entries of kind NORMAL with data in order; an entry without
//     data marks the beginning of a term. After a restart the entries after the
//     snapshot are applied again.
//   - A store error ends the process, since the content of the disk is then unknown.
//
// For each StepRequest the host checks the cluster id, Store.CheckAddressee(to) and
// Store.Admit(req, MembershipChanged.Committed), in this order, and refuses the whole
// request if one fails. If Node.IsRemoved(from), it sets StepResponse.removed; a
// sender that receives this steps RemovedByPeer. The host steps Receive with the
// sender's incarnation. A request is addressed to Store.TargetIdentity (given
// MembershipChanged.Membership) and comes from Store.Identity, or from
// Store.HelloIdentity if it contains a HELLO or HELLO_RESPONSE. Addresses come from
// MembershipChanged, or from the bootstrap settings for a replica that no member
// list names yet.
//
// A proposal is decided once Apply delivers its index: it is committed if the entry
// has the proposal's term, and lost otherwise. The host reads LeaseUntil before an
// action that needs the lease; the lease is valid only while clock.SinceBoot is lower. A
// read that needs no lease uses ReadIndex and waits until the state is applied up to
// the returned index.
package consensus
