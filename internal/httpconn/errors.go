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
	// NotSent: the connection could not be opened; no byte was sent.
	NotSent = Namespace.NewType("not_sent")
	// Refused: nothing listens at the address; the process is gone.
	Refused = NotSent.NewSubtype("refused")
	// Broken: the connection failed or went silent after bytes were sent.
	Broken = Namespace.NewType("broken")
	// Closed: the connection was opened and then closed without any answer.
	Closed = Broken.NewSubtype("closed")
	// Mismatched: the answer is not to this request and attempt.
	Mismatched = Namespace.NewType("mixed")
)

// DialError tells a failed dial from all that can fail later.
type DialError struct{ Cause error }

// Error gives the cause.
func (e *DialError) Error() string { return "dial: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Classify gives an error of a call its type. Wrapping hides the cause from
// errors.Is, so that a refused connection gets a type of its own here.
func Classify(err error) error {
	var dial *DialError
	if errors.As(err, &dial) && errors.Is(err, syscall.ECONNREFUSED) {
		return Refused.Wrap(err, "no connection")
	}
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return NotSent.Wrap(err, "no connection")
	}
	if closedWithoutAnswer(err) {
		return Closed.Wrap(err, "call")
	}
	return Broken.Wrap(err, "call")
}

func closedWithoutAnswer(err error) bool {
	for _, known := range []error{
		fasthttp.ErrConnectionClosed, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, net.ErrClosed,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// ProcessGone tells whether a new connection to a server shows that its process is
// gone: nothing listens there, or what stands in between opens the connection
// and closes it at once. A timeout does not show it: the server may be frozen.
func ProcessGone(err error) bool {
	return errorx.IsOfType(err, Refused) || errorx.IsOfType(err, Closed)
}
