// Package store keeps one control replica's state on disk: its identity, hard
// state, log and latest snapshot, and the latest known incarnation and boot of each
// peer.
//
// Everything except the snapshot data is in one bbolt file, so that each Save is
// one synced transaction. Every record carries a checksum over its bucket, key and
// value, and Open reads and checks all of them: a torn, truncated or altered file
// is Corrupt. A replica never answers from such a folder: the folder's files are
// moved away, and the replica starts empty, with Join, as a learner.
//
// Errors are errorx types of Namespace.
package store
