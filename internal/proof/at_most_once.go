package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/standin/audit"
	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
	"goldcrestseam.dev/goldcrestseam/internal/standin/server"
)

// AtMostOnceCall is one logical at-most-once call: its idempotency key and the request.
type AtMostOnceCall struct {
	Member string
	Key    string
	// Mark is a unique text in the request that the backend server's journal
	// records.
	Mark string
	// Delay is how long the backend server takes to answer, as a Go duration.
	Delay string
}

// NewAtMostOnceCall returns a call with a new key and a new mark.
func NewAtMostOnceCall(member, delay string) AtMostOnceCall {
	return AtMostOnceCall{
		Member: member, Delay: delay, Key: uuid.Must(uuid.NewV7()).String(), Mark: UniqueName(),
	}
}

// atMostOnceOutput is the result of one send of an at-most-once call.
type atMostOnceOutput struct {
	// runID is the run that answered; it is empty without an answer.
	runID    string
	replayed bool
	// mayHaveRun says that the caller got a final refusal with the outcome "unknown"
	// or "ran". A refusal after which the caller is told to come back says nothing of
	// the key: the call may run for the first time then.
	mayHaveRun bool
	// notRun says that the caller got the outcome "not run".
	notRun bool
}

// AtMostOnceHistory records sends of at-most-once calls for the linearizability checker.
type AtMostOnceHistory struct {
	mu      sync.Mutex
	ops     []porcupine.Operation
	results []audit.FinishedRequest
}

// Send sends the call to the given entry ("" for the caller's own choice) and
// records the result.
func (h *AtMostOnceHistory) Send(ctx context.Context, c *caller.Client, call AtMostOnceCall, entry string, client int) *caller.Result {
	start := time.Now()
	res := c.Call(ctx, caller.Call{
		ID: uuid.NewString(), Service: ServicePlain, Method: "GET", IdempotencyKey: call.Key, Entry: entry,
		Path: PathAtMostOnce + "?mark=" + call.Mark + "&late=" + call.Delay,
	})
	end := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: call.Key, Output: outputOf(res), Call: start.UnixNano(), Return: end.UnixNano(),
	})
	h.results = append(h.results, audit.FinishedRequest{
		Class: "once", Member: call.Member, Mark: call.Mark, Path: PathAtMostOnce, AtMostOnce: true, Result: res,
	})
	return res
}

func outputOf(res *caller.Result) atMostOnceOutput {
	if !res.Complete {
		saysRun := res.Outcome == outcome.Unknown || res.Outcome == outcome.Ran
		return atMostOnceOutput{mayHaveRun: saysRun && res.RetryAfter == 0, notRun: res.Outcome == outcome.NotRun}
	}
	var answer server.PlainAnswer
	_ = json.Unmarshal([]byte(res.Text), &answer)
	return atMostOnceOutput{runID: answer.Run, replayed: res.Replayed}
}

// Results returns all sends in the form that the audit takes.
func (h *AtMostOnceHistory) Results() []audit.FinishedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.results
}

// Linearizable checks the history against atMostOnceModel.
func (h *AtMostOnceHistory) Linearizable(timeout time.Duration) porcupine.CheckResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperationsTimeout(atMostOnceModel, h.ops, timeout)
}

// timeOfDay has the precision that is needed to find a send in the processes' logs.
const timeOfDay = "15:04:05.000"

// Describe describes the sends of each key whose history atMostOnceModel rejects or
// that has a send without a complete answer.
func (h *AtMostOnceHistory) Describe() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	incomplete := make(map[string]bool)
	for i, op := range h.ops {
		if !h.results[i].Result.Complete {
			incomplete[op.Input.(string)] = true
		}
	}
	var text strings.Builder
	for _, part := range partitionByKey(h.ops) {
		key := part[0].Input.(string)
		if incomplete[key] || !porcupine.CheckOperations(atMostOnceModel, part) {
			h.describe(&text, key)
		}
	}
	return text.String()
}

// describe writes one line for each send of the key. The caller must hold mu.
func (h *AtMostOnceHistory) describe(text *strings.Builder, key string) {
	fmt.Fprintf(text, "key %s\n", key)
	for i, op := range h.ops {
		if op.Input.(string) != key {
			continue
		}
		res, out := h.results[i].Result, op.Output.(atMostOnceOutput)
		fmt.Fprintf(text, "  %s to %s: mark %s, status %d, code %q, outcome %q, %s, run %q, replayed %t, %d attempts, entries %v, last error %v\n",
			time.Unix(0, op.Call).UTC().Format(timeOfDay), time.Unix(0, op.Return).UTC().Format(timeOfDay), h.results[i].Mark,
			res.Status, res.Code, res.Outcome, res.Message, out.runID, out.replayed, res.Attempts, res.Entries, res.Err)
	}
}

// atMostOnceState is the model's state of one key.
type atMostOnceState struct {
	runID      string
	mayHaveRun bool
}

// atMostOnceModel allows at most one run per key. A fresh answer comes once, and never
// after a caller was told that the call ran or may have run. A replayed answer is
// always that of the one run. "Not run" comes only before the run.
var atMostOnceModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return atMostOnceState{} },
	Step: func(state, _, output any) (bool, any) {
		s, out := state.(atMostOnceState), output.(atMostOnceOutput)
		switch {
		case out.notRun:
			return s.runID == "" && !s.mayHaveRun, s
		case out.runID == "":
			s.mayHaveRun = s.mayHaveRun || out.mayHaveRun
			return true, s
		case out.replayed:
			ok := s.runID == "" || s.runID == out.runID
			return ok, atMostOnceState{runID: out.runID, mayHaveRun: true}
		default:
			return s.runID == "" && !s.mayHaveRun, atMostOnceState{runID: out.runID, mayHaveRun: true}
		}
	},
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	index := make(map[string]int)
	var parts [][]porcupine.Operation
	for _, op := range history {
		key := op.Input.(string)
		i, ok := index[key]
		if !ok {
			i = len(parts)
			index[key] = i
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], op)
	}
	return parts
}
