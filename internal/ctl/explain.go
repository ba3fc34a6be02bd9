package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"goldcrestseam.dev/goldcrestseam/internal/cli"
	"goldcrestseam.dev/goldcrestseam/internal/obs"
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Order the log lines of one request, read from standard input, and name the deciding one",
		Long: "Reads the log lines of any number of processes from standard input, in any order, and\n" +
			"prints those of one request by time, with the line that decided how it ended. Text\n" +
			"before a line's first brace is passed over.",
		Example: "  cat entry-*.log | goldcrestctl explain 8a82ba5e3e95ab54",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			list, err := linesOf(cmd.InOrStdin(), args[0])
			if err != nil {
				return cli.WithCode(cli.ExitFailed, err)
			}
			if len(list) == 0 {
				return cli.WithCode(cli.ExitFailed, NoLines.New("no line of the input tells of request %s", args[0]))
			}
			return explain(cmd.OutOrStdout(), list)
		},
	}
}

// line is a log line of one request.
type line struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"msg"`
	Process   string    `json:"process"`
	RequestID string    `json:"request_id"`
	Kind      string    `json:"kind"`
	Reason    string    `json:"reason"`
	Server    string    `json:"server"`
	How       string    `json:"how"`
	Code      string    `json:"code"`
	Status    int       `json:"status"`
	Outcome   string    `json:"outcome"`
	Error     string    `json:"error"`
	// Millis and Took are since the request's arrival and of one attempt.
	Millis int `json:"ms"`
	Took   int `json:"took_ms"`
}

// maxLine bounds a log line.
const maxLine = 1 << 20

// linesOf gives the lines of a request, in the order of their times. Errors: NoLines.
func linesOf(r io.Reader, id string) ([]line, error) {
	var list []line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		if !bytes.Contains(text, []byte(id)) {
			continue
		}
		var l line
		start := bytes.IndexByte(text, '{')
		// What is no line of ours, or one that was cut, tells nothing of the request.
		if start < 0 || json.Unmarshal(text[start:], &l) != nil || l.RequestID != id {
			continue
		}
		list = append(list, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, NoLines.Wrap(err, "standard input")
	}
	slices.SortStableFunc(list, func(a, b line) int { return a.Time.Compare(b.Time) })
	return list, nil
}

func explain(w io.Writer, list []line) error {
	first := list[0].Time
	for _, l := range list {
		if _, err := fmt.Fprintf(w, "%8.3fs %-18s %s\n", l.Time.Sub(first).Seconds(), l.Process, l.text()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", cause(list))
	return err
}

// text is a line without what all lines have.
func (l *line) text() string {
	parts := []string{l.Message}
	for _, part := range []string{l.Kind, l.Code, l.How, l.Server, l.Outcome, l.Reason, l.Error} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	if l.Status != 0 {
		parts = append(parts, fmt.Sprint("status ", l.Status))
	}
	if l.Took > 0 {
		parts = append(parts, fmt.Sprint("took ", l.Took, " ms"))
	}
	return strings.Join(parts, ", ")
}

// howGone is how a request ends whose caller has left. Its connection to the server is
// closed then, so that a failed attempt of that moment is no cause.
const howGone = "caller gone"

// cause names the line that decided how the request ended: of one that was answered the
// answer, of another one the last failure of a server before its end, if there was any.
func cause(list []line) string {
	var end, failure *line
	for i := range list {
		switch l := &list[i]; l.Message {
		case obs.LineAnswered, obs.LineRefused:
			end = l
		case obs.LineAttemptFailed, obs.LinePrefillFailed:
			failure = l
		}
	}
	switch {
	case end == nil:
		return "not known: the request has no last line; its process may have ended, or lines were dropped"
	case end.Message == obs.LineAnswered && (end.How == "answer" || end.How == "stream"):
		return fmt.Sprintf("none: it was answered by %s after %d ms", end.Server, end.Millis)
	case end.How == howGone:
		return fmt.Sprintf("its caller left after %d ms, waiting for %s", end.Millis, end.Server)
	case failure != nil:
		return fmt.Sprintf("%s at %s (%s); then: %s", failure.Message, failure.Server, failure.why(), end.text())
	default:
		return end.text()
	}
}

// why is what a failed attempt says of itself.
func (l *line) why() string {
	switch {
	case l.Error != "":
		return l.Error
	case l.Status != 0:
		return fmt.Sprint("status ", l.Status)
	case l.Reason != "":
		return l.Reason
	default:
		return "the server did not run it"
	}
}
