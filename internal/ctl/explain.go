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

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Sort the log lines of one request from standard input and name the cause of its outcome",
		Long: "Reads the log lines of any number of processes from standard input, in any order, and\n" +
			"prints those of one request sorted by time, then the cause of its outcome. Text before\n" +
			"the first brace of a line is ignored.",
		Example: "  cat entry-*.log | goldcrestctl explain 8a82ba5e3e95ab54",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			list, err := requestLines(cmd.InOrStdin(), args[0])
			if err != nil {
				return cli.WithCode(cli.ExitFailed, err)
			}
			if len(list) == 0 {
				return cli.WithCode(cli.ExitFailed, NoLines.New("the input has no log line of request %s", args[0]))
			}
			return explain(cmd.OutOrStdout(), list)
		},
	}
}

// logLine holds the attributes of a request's log line that are used here.
type logLine struct {
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
	// ElapsedMS is the time since the arrival of the request, TookMS the duration of one attempt.
	ElapsedMS int `json:"ms"`
	TookMS    int `json:"took_ms"`
}

// maxLineBytes is the limit on the size of an input line.
const maxLineBytes = 1 << 20

// requestLines returns the log lines of a request, sorted by time. Errors: NoLines.
func requestLines(r io.Reader, id string) ([]logLine, error) {
	var list []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if !bytes.Contains(text, []byte(id)) {
			continue
		}
		var l logLine
		start := bytes.IndexByte(text, '{')
		// Lines of other programs or requests and truncated lines are skipped.
		if start < 0 || json.Unmarshal(text[start:], &l) != nil || l.RequestID != id {
			continue
		}
		list = append(list, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, NoLines.Wrap(err, "standard input")
	}
	slices.SortStableFunc(list, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return list, nil
}

func explain(w io.Writer, list []logLine) error {
	first := list[0].Time
	for _, l := range list {
		if _, err := fmt.Fprintf(w, "%8.3fs %-18s %s\n", l.Time.Sub(first).Seconds(), l.Process, l.summary()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "cause: %s\n", cause(list))
	return err
}

// summary returns the message of the line and those attributes that are set, without time, process
// and request id.
func (l *logLine) summary() string {
	parts := []string{l.Message}
	for _, part := range []string{l.Kind, l.Code, l.How, l.Server, l.Outcome, l.Reason, l.Error} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	if l.Status != 0 {
		parts = append(parts, fmt.Sprint("status ", l.Status))
	}
	if l.TookMS > 0 {
		parts = append(parts, fmt.Sprint("took ", l.TookMS, " ms"))
	}
	return strings.Join(parts, ", ")
}

// howCallerGone is the attribute "how" of a request whose caller has disconnected. The connection to
// the server is closed then, so a failed attempt at that time is not the cause.
const howCallerGone = "caller gone"

// cause describes why the request ended as it did. If it did not get a complete answer and its caller
// did not disconnect, the cause is the last failed attempt, or its final line if no attempt failed.
func cause(list []logLine) string {
	var end, failure *logLine
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
		return "not known: the request has no final line; its process may have ended, or lines were dropped"
	case end.Message == obs.LineAnswered && (end.How == "answer" || end.How == "stream"):
		return fmt.Sprintf("none: answered by %s after %d ms", end.Server, end.ElapsedMS)
	case end.How == howCallerGone:
		return fmt.Sprintf("the caller disconnected after %d ms while waiting for %s", end.ElapsedMS, end.Server)
	case failure != nil:
		return fmt.Sprintf("%s at %s (%s); then: %s", failure.Message, failure.Server, failure.failureReason(), end.summary())
	default:
		return end.summary()
	}
}

// failureReason returns the reason that the line of a failed attempt gives.
func (l *logLine) failureReason() string {
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
