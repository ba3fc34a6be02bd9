package store

import (
	"errors"
	"syscall"

	"github.com/joomcode/errorx"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("store")

var (
	// Failed: a read or write of the disk failed. The replica must not answer
	// from state that was not synced.
	Failed = Namespace.NewType("failed")
	// Corrupt: the folder's content is not what was written.
	Corrupt = Namespace.NewType("corrupt")
	// tornPage: a page whose write was torn, or that was damaged after it.
	tornPage = Namespace.NewType("torn_page")
	// WrongOwner: the folder belongs to another cluster or replica.
	WrongOwner = Namespace.NewType("foreign")
	// Locked: another process has the folder open.
	Locked = Namespace.NewType("locked")
)

// refusedByDisk reports whether the operating system refused a call. That says nothing of the content: a
// folder that can't be read or written for a moment must not be given up as damaged.
func refusedByDisk(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.ENOENT
}
