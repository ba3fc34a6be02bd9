// Package journal is what a stand-in writes down about the calls and orders it
// received, started and finished. Checks compare it with what callers got.
//
// Each record is one write of one line: a record survives SIGKILL of the
// process as soon as Write returns (it is in the kernel then). It is not
// synced, since only processes die in the tests, not the VM.
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

// Failed is the type of errors about journals that can't be written or read.
var Failed = Namespace.NewType("broken")

// Event says what a record is about.
type Event string

// Events.
const (
	// ServerStarted: the process serves.
	ServerStarted Event = "began"
	// RequestReceived: a completion or a call came in; nothing was started yet.
	RequestReceived Event = "received"
	// RequestRejected: it was answered with "not started".
	RequestRejected Event = "rejected"
	// RequestStarted: work on it began; a once-only call counts as run from here.
	RequestStarted Event = "started"
	// RequestFinished: its last token was produced or the call's answer is ready.
	RequestFinished Event = "finished"
	// RequestCancelled: it was cancelled before its end.
	RequestCancelled Event = "cancelled"
	// CrashTriggered: the process is about to die of it.
	CrashTriggered Event = "poisoned"
	// OrderReceived, OrderBegan, OrderDone and OrderRejected: of an order.
	OrderReceived Event = "order_received"
	OrderStarted  Event = "order_began"
	OrderDone     Event = "order_done"
	OrderRejected Event = "order_rejected"
	// ServerLeaving: from here on the process takes no new work.
	ServerLeaving Event = "leaving"
	// ServerStopped: the process stops by itself.
	ServerStopped Event = "ended"
)

// Record is one line. Which fields count depends on Event.
type Record struct {
	// UnixNS is the wall clock; all processes of a test bed share it.
	UnixNS      int64  `json:"unix_ns"`
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
	Event       Event  `json:"event"`
	RequestID   string `json:"request_id,omitempty"`
	Attempt     uint32 `json:"attempt,omitempty"`
	Member      string `json:"member,omitempty"`
	// Mark is what the caller wrote into the prompt or the call to know it by.
	Mark           string `json:"mark,omitempty"`
	Service        string `json:"service,omitempty"`
	Method         string `json:"method,omitempty"`
	Path           string `json:"path,omitempty"`
	IdempotencyKey string `json:"key,omitempty"`
	// Salt is a completion's cache salt.
	Salt string `json:"salt,omitempty"`
	// Offset and Tokens are the part of the answer that was produced.
	Offset      int                    `json:"offset,omitempty"`
	Tokens      int                    `json:"tokens,omitempty"`
	Order       *engineapi.Order       `json:"order,omitempty"`
	NewestToken engineapi.FencingToken `json:"newest,omitzero"`
	Reason      string                 `json:"reason,omitempty"`
}

// Writer appends records to a file. Safe for use by many goroutines.
type Writer struct {
	mu          sync.Mutex
	file        *os.File
	server      string
	incarnation string
}

// Open opens the journal of one life of a server. An empty path writes nowhere.
// Errors: Broken.
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

// Write appends one record and fills in time, server and incarnation. A
// stand-in without a journal proves nothing, so that a failed write panics.
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

// Read gives the records of one file. A torn last line, which SIGKILL can
// leave, is skipped. Errors: Broken.
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

// ReadAll gives the records of all *.journal files in a folder, file by file.
// Errors: Broken.
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
