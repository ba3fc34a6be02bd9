// Package journal records the requests and orders that a stand-in server received,
// started and finished. Tests compare the records with the results that callers
// got.
//
// Each record is written as one line in one system call, so that it survives
// SIGKILL of the process once Write has returned. The file is not synced: tests
// kill processes only, not the VM.
package journal

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
)

// Namespace holds the error types of this package.
var Namespace = errorx.NewNamespace("journal")

// Failed is the type of errors about journals that can't be opened or read.
var Failed = Namespace.NewType("broken")

// Event is the kind of a record.
type Event string

// Events.
const (
	// ServerStarted: the process is serving.
	ServerStarted Event = "began"
	// RequestReceived: a completion or call has arrived; no work on it has
	// started.
	RequestReceived Event = "received"
	// RequestRejected: the response says that no work was started.
	RequestRejected Event = "rejected"
	// RequestStarted: work on the request has started; an at-most-once call
	// counts as run from here on.
	RequestStarted Event = "started"
	// RequestFinished: the last token is generated, or the call's response is
	// ready.
	RequestFinished Event = "finished"
	// RequestCancelled: the request was aborted before its end, by a cancel
	// request or an order.
	RequestCancelled Event = "cancelled"
	// CrashTriggered: the request is about to crash the process.
	CrashTriggered Event = "poisoned"
	// OrderReceived, OrderStarted, OrderDone and OrderRejected are the steps of
	// an order.
	OrderReceived Event = "order_received"
	OrderStarted  Event = "order_began"
	OrderDone     Event = "order_done"
	OrderRejected Event = "order_rejected"
	// ServerLeaving: the process accepts no new work from here on.
	ServerLeaving Event = "leaving"
	// ServerStopped: the process has drained and is about to exit.
	ServerStopped Event = "ended"
)

// Record is one line of a journal. The event determines which fields are set.
type Record struct {
	// UnixNS is the wall-clock time; all processes of a test bed share the clock.
	UnixNS      int64  `json:"unix_ns"`
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
	Event       Event  `json:"event"`
	RequestID   string `json:"request_id,omitempty"`
	Attempt     uint32 `json:"attempt,omitempty"`
	Member      string `json:"member,omitempty"`
	// Mark is the text in the prompt or in the call's query by which the caller
	// identifies the request.
	Mark           string `json:"mark,omitempty"`
	Service        string `json:"service,omitempty"`
	Method         string `json:"method,omitempty"`
	Path           string `json:"path,omitempty"`
	IdempotencyKey string `json:"key,omitempty"`
	// Salt is a completion's cache salt.
	Salt string `json:"salt,omitempty"`
	// Offset is the offset of the first token to generate. Tokens is the number
	// of tokens generated, or the requested maximum until the request ends.
	Offset      int                    `json:"offset,omitempty"`
	Tokens      int                    `json:"tokens,omitempty"`
	Order       *engineapi.Order       `json:"order,omitempty"`
	NewestToken engineapi.FencingToken `json:"newest,omitzero"`
	Reason      string                 `json:"reason,omitempty"`
}

// Writer appends records to a file. It is safe for concurrent use.
type Writer struct {
	mu          sync.Mutex
	file        *os.File
	server      string
	incarnation string
}

// Open opens the journal of one server incarnation for appending. With an empty
// path, records are discarded. Errors: Failed.
func Open(path, server, incarnation string) (*Writer, error) {
	w := &Writer{server: server, incarnation: incarnation}
	if path == "" {
		return w, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, Failed.Wrap(err, "open")
	}
	w.file = file
	return w, nil
}

// Write appends one record and fills in time, server and incarnation. It panics
// if the write fails, since tests can't rely on an incomplete journal.
func (w *Writer) Write(r Record) {
	if w.file == nil {
		return
	}
	r.UnixNS = time.Now().UnixNano()
	r.Server, r.Incarnation = w.server, w.incarnation
	line, err := json.Marshal(r)
	if err != nil {
		panic("journal: " + err.Error())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.file.Write(append(line, '\n')); err != nil {
		panic("journal: " + err.Error())
	}
}

// Close closes the file.
func (w *Writer) Close() error {
	if w.file == nil {
		return nil
	}
	return w.file.Close()
}

// Read returns the records of one file. It skips a truncated last line, which
// SIGKILL can leave. Errors: Failed.
func Read(path string) ([]Record, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Failed.Wrap(err, "read")
	}
	var records []Record
	for line := range bytes.Lines(data) {
		if !bytes.HasSuffix(line, []byte("\n")) {
			break
		}
		var r Record
		if err := json.Unmarshal(line, &r); err != nil {
			return nil, Failed.Wrap(err, "%s", path)
		}
		records = append(records, r)
	}
	return records, nil
}

// ReadAll returns the records of all *.journal files in a directory, file by file.
// Errors: Failed.
func ReadAll(dir string) ([]Record, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.journal"))
	if err != nil {
		return nil, Failed.Wrap(err, "list")
	}
	var all []Record
	for _, path := range paths {
		records, err := Read(path)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}
