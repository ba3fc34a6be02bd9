package httpconn

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/valyala/fasthttp"
)

const (
	// maxInterimResponses bounds the interim responses before the response to a request.
	maxInterimResponses = 16
	// maxLengthDigits bounds the digits of a body's length, so that it fits into 63 bits.
	maxLengthDigits = 18
	// minStatus and maxStatus are the status codes that HTTP defines a meaning for, by their first digit.
	minStatus, maxStatus = 100, 599
	// httpVersion begins the status line of every version that frames responses as HTTP/1.1 does.
	httpVersion = "HTTP/1."
)

// head is what the head of a response says about the response's end.
type head struct {
	status int
	// minor is the digit behind "HTTP/1.".
	minor byte
	// size is the number of bytes of the head, with the empty line at its end.
	size int
	// length is the announced length of the body, negative if there is none.
	length int
	// encodings counts the fields that name a transfer encoding; chunked is set if the last one names chunks.
	encodings int
	chunked   bool
}

// peekFinalHead waits for the head of a final response, checks it, and leaves it unread in the reader's buffer. Interim
// responses before it are checked and discarded. Errors: Malformed, those of the reader.
func peekFinalHead(r *bufio.Reader) (head, error) {
	for range maxInterimResponses + 1 {
		h, err := peekHead(r)
		if err != nil || h.status >= http.StatusOK {
			return h, err
		}
		_, _ = r.Discard(h.size)
	}
	return head{}, Malformed.New("more than %d interim responses", maxInterimResponses)
}

// peekHead waits for a head and checks it against the grammar of RFC 9112. The library's parser accepts more: it takes a
// faulty status for 200, and a blank before a colon for none, and what it has accepted can't be told from a sound head.
//
// Each line is checked as it comes, so that bytes which are no HTTP are refused without waiting for more of them.
func peekHead(r *bufio.Reader) (head, error) {
	h := head{length: -1}
	if err := peekVersion(r); err != nil {
		return h, err
	}
	for n := 0; ; n++ {
		line, err := peekLine(r, h.size)
		if err != nil {
			return h, err
		}
		h.size += len(line) + len("\r\n")
		switch {
		case n == 0:
			err = h.readStatusLine(line)
		case len(line) == 0:
			return h, h.checkFraming()
		default:
			err = h.readField(line)
		}
		if err != nil {
			return h, err
		}
	}
}

// peekVersion waits for the first bytes of a response, and refuses others as soon as one differs.
func peekVersion(r *bufio.Reader) error {
	for n := range len(httpVersion) {
		begin, err := r.Peek(n + 1)
		if err != nil {
			return err
		}
		if begin[n] != httpVersion[n] {
			return Malformed.New("the response does not begin with " + httpVersion)
		}
	}
	return nil
}

// peekLine waits for the line that begins at an offset of the reader's buffer, and returns it without its end.
func peekLine(r *bufio.Reader, from int) ([]byte, error) {
	for wanted := from + 1; ; wanted = r.Buffered() + 1 {
		_, err := r.Peek(wanted)
		buffered, _ := r.Peek(r.Buffered())
		if from < len(buffered) {
			if end := bytes.IndexByte(buffered[from:], '\n'); end >= 0 {
				return cutLineEnd(buffered[from : from+end+1])
			}
		}
		if err == bufio.ErrBufferFull {
			return nil, Malformed.New("the head exceeds %d bytes", r.Size())
		}
		if err != nil {
			return nil, err
		}
	}
}

// cutLineEnd returns a line without its CR and LF. Errors: Malformed if it has no CR, since another reader may not take an
// LF alone for a line's end.
func cutLineEnd(line []byte) ([]byte, error) {
	line, found := bytes.CutSuffix(line, []byte("\r\n"))
	if !found {
		return nil, Malformed.New("a line ends without CR")
	}
	return line, nil
}

// readStatusLine reads version and status. The blank behind a status without a reason may be missing: many servers omit it.
func (h *head) readStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	minor := bytes.TrimPrefix(version, []byte(httpVersion))
	if len(minor) != 1 || !isDigit(minor[0]) {
		return Malformed.New("the version is not HTTP/1 and a digit")
	}
	status, ok := parseDigits(code, len("200"))
	switch {
	case !ok || len(code) != len("200"):
		return Malformed.New("the status is not three digits")
	case status < minStatus || status > maxStatus:
		return Malformed.New("the status is %03d", status)
	case status == http.StatusSwitchingProtocols:
		return Malformed.New("the response switches protocols, which no request asks for")
	}
	if c, found := findControl(reason); found {
		return Malformed.New("the reason of status %d has the byte 0x%02x", status, c)
	}
	h.minor, h.status = minor[0], status
	return nil
}

// readField checks a field's line and reads its part in the framing.
func (h *head) readField(line []byte) error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	switch {
	case equalsFold(name, fasthttp.HeaderTransferEncoding):
		h.encodings, h.chunked = h.encodings+1, equalsFold(trimBlanks(value), "chunked")
	case equalsFold(name, fasthttp.HeaderContentLength):
		length, ok := parseDigits(trimBlanks(value), maxLengthDigits)
		if !ok || h.length >= 0 {
			return Malformed.New("the length is not one number")
		}
		h.length = length
	}
	return nil
}

// splitField splits a field's line into a name, which must be a token, and a value without control bytes. A folded line,
// which begins with a blank, is none: a gateway may refuse it, and other readers would split it differently.
func splitField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return nil, nil, Malformed.New("a line of %d bytes is no field", len(line))
	}
	if len(name) == 0 {
		return nil, nil, Malformed.New("a field has no name")
	}
	for _, c := range name {
		if !tokenBytes[c] {
			return nil, nil, Malformed.New("a field's name of %d bytes has the byte 0x%02x", len(name), c)
		}
	}
	if c, found := findControl(value); found {
		return nil, nil, Malformed.New("the value of %s has the byte 0x%02x", name, c)
	}
	return name, value, nil
}

// checkFraming refuses a response whose end can't be known, by RFC 9112, section 6.
func (h *head) checkFraming() error {
	switch {
	case h.encodings == 0:
		return nil
	case h.minor == '0':
		return Malformed.New("HTTP/1.0 has no transfer encodings")
	case h.encodings > 1 || !h.chunked:
		return Malformed.New("the transfer encoding is not chunked, once")
	}
	return nil
}

// bodyLength returns the length of the body, or one of the special values. A length beside chunks does not count.
func (h *head) bodyLength() int {
	switch {
	case h.status == http.StatusNoContent || h.status == http.StatusNotModified:
		return 0
	case h.chunked:
		return lengthChunked
	case h.length < 0:
		return lengthUntilClose
	}
	return h.length
}

// tokenBytes are the bytes of a token, which is what the name of a field must be.
var tokenBytes = func() (set [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		set[c] = true
	}
	return set
}()

// findControl returns the first byte that may stand neither in a value nor in a reason. Tabs and bytes above 127 may.
func findControl(b []byte) (byte, bool) {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return c, true
		}
	}
	return 0, false
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// parseDigits reads a number of at most the given digits; ok is false for anything else.
func parseDigits(b []byte, most int) (n int, ok bool) {
	for _, c := range b {
		if !isDigit(c) {
			return 0, false
		}
		n = 10*n + int(c-'0')
	}
	return n, len(b) > 0 && len(b) <= most
}

func trimBlanks(b []byte) []byte { return bytes.Trim(b, " \t") }

func equalsFold(b []byte, s string) bool { return len(b) == len(s) && bytes.EqualFold(b, []byte(s)) }
