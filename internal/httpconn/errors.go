package httpconn

import (
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
)

// Namespace holds the error types of calls to backend servers.
var Namespace = errorx.NewNamespace("backend_call")

// Error types of calls to backend servers.
var (
	// NotSent: no byte was sent, because no connection could be opened or the server stopped
	// accepting requests.
	NotSent = Namespace.NewType("not_sent")
	// Refused: nothing listens at the address; the process is gone.
	Refused = NotSent.NewSubtype("refused")
	// Reset: the connection was reset while it was being opened. The kernel of a dying process
	// still accepts connections, and resets them when the process ends.
	Reset = NotSent.NewSubtype("reset")
	// Withheld: the entry did not open a connection, because it has as many as it may have, or
	// because the server accepts no requests.
	Withheld = NotSent.NewSubtype("withheld")
	// Broken: the connection failed or timed out after bytes were sent.
	Broken = Namespace.NewType("broken")
	// Closed: the connection was opened and then closed without a response.
	Closed = Broken.NewSubtype("closed")
	// Malformed: the server sent bytes that are no response by the grammar and the framing of HTTP. It is
	// there, but what it did with the request is unknown.
	Malformed = Broken.NewSubtype("malformed")
	// Mismatched: the response is not to this request and attempt.
	Mismatched = Namespace.NewType("mixed")
)

// DialError is a failure to open a connection, as opposed to any later failure.
type DialError struct{ Cause error }

// Error returns the cause's text.
func (e *DialError) Error() string { return "dial: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Classify wraps an error of a call in its error type. The wrapping hides the cause from
// errors.Is, so a refused connection gets an error type of its own.
func Classify(err error) error {
	if known := errorx.Cast(err); known != nil && Namespace.IsNamespaceOf(known.Type()) {
		return err
	}
	var dial *DialError
	if errors.As(err, &dial) && errors.Is(err, syscall.ECONNREFUSED) {
		return Refused.Wrap(err, "no connection")
	}
	if errors.As(err, &dial) && errors.Is(err, syscall.ECONNRESET) {
		return Reset.Wrap(err, "no connection")
	}
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return Withheld.Wrap(err, "no connection")
	}
	if errors.As(err, &dial) {
		return NotSent.Wrap(err, "no connection")
	}
	if closedWithoutResponse(err) {
		return Closed.Wrap(err, "call")
	}
	return Broken.Wrap(err, "call")
}

func closedWithoutResponse(err error) bool {
	for _, known := range []error{
		fasthttp.ErrConnectionClosed, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, net.ErrClosed,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// ProcessGone reports whether the failure of a new connection shows that the server's process is
// gone: nothing listens there, or the kernel or a proxy in between accepts the connection and
// resets or closes it at once. A timeout does not show it, since the server may only be frozen.
func ProcessGone(err error) bool {
	return errorx.IsOfType(err, Refused) || errorx.IsOfType(err, Reset) || errorx.IsOfType(err, Closed)
}

// NoAnswer reports whether a call failed since the server did not answer it: no connection could be
// opened, or it broke or timed out. A server that sent a malformed response did answer. It is not meant for a
// response that broke off.
func NoAnswer(err error) bool {
	if errorx.IsOfType(err, Withheld) || errorx.IsOfType(err, Malformed) {
		return false
	}
	return errorx.IsOfType(err, NotSent) || errorx.IsOfType(err, Broken)
}
