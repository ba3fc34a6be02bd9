// Package store keeps one control replica's state on disk: who it is, its hard
// state, log and latest snapshot, and which life of each peer it has spoken to.
//
// All but the snapshot's bytes lie in one bbolt file, so that each Save is one
// synced transaction. Every record carries a checksum over its bucket, key and
// value, and Open reads and checks all of it: a torn, truncated or altered file
// is Corrupt. A replica never answers from such a folder: the operator moves it
// away and starts the replica empty, with Join and a new id, as a learner.
//
// Errors are errorx types of Namespace.
package store
