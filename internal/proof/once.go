package proof

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/standin/audit"
	"goldcrestseam.dev/goldcrestseam/internal/standin/caller"
	"goldcrestseam.dev/goldcrestseam/internal/standin/server"
)

// OnceCall is one logical once-only call: its idempotency key and the request.
type OnceCall struct {
	Member string
	Key    string
	// Mark is a unique text in the request that the backend server's journal
	// records.
	Mark string
	// Delay is how long the backend server takes to answer, as a Go duration.
	Delay string
}

// NewOnceCall returns a call with a new key and a new mark.
func NewOnceCall(member, delay string) OnceCall {
	return OnceCall{
		Member: member, Delay: delay, Key: uuid.Must(uuid.NewV7()).String(), Mark: UniqueName(),
	}
}

// onceOutput is the result of one send of a once-only call.
type onceOutput struct {
	// runID is the run that answered; it is empty without an answer.
	runID    string
	replayed bool
	// mayHaveRun says that the caller got the refusal "unknown" or "already ran".
	mayHaveRun bool
}

// OnceHistory records sends of once-only calls for the linearizability checker.
type OnceHistory struct {
	mu      sync.Mutex
	ops     []porcupine.Operation
	results []audit.FinishedRequest
}

// Send sends the call to the given entry ("" for the caller's own choice) and
// records the result.
func (h *OnceHistory) Send(ctx context.Context, c *caller.Client, call OnceCall, entry string, client int) *caller.Result {
	start := time.Now()
	res := c.Call(ctx, caller.Call{
		ID: uuid.NewString(), Service: ServicePlain, Method: "GET", IdempotencyKey: call.Key, Entry: entry,
		Path: PathOnce + "?mark=" + call.Mark + "&late=" + call.Delay,
	})
	end := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: call.Key, Output: outputOf(res), Call: start.UnixNano(), Return: end.UnixNano(),
	})
	h.results = append(h.results, audit.FinishedRequest{
		Class: "once", Member: call.Member, Mark: call.Mark, Path: PathOnce, AtMostOnce: true, Result: res,
	})
	return res
}

func outputOf(res *caller.Result) onceOutput {
	if !res.Complete {
		return onceOutput{mayHaveRun: res.Outcome == outcome.Unknown || res.Code == outcome.CodeAlreadyRan}
	}
	var answer server.PlainAnswer
	_ = json.Unmarshal([]byte(res.Text), &answer)
	return onceOutput{runID: answer.Run, replayed: res.Replayed}
}

// Results returns all sends in the form that the audit takes.
func (h *OnceHistory) Results() []audit.FinishedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.results
}

// Linearizable checks the history against onceModel.
func (h *OnceHistory) Linearizable(timeout time.Duration) porcupine.CheckResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperationsTimeout(onceModel, h.ops, timeout)
}

// onceState is the model's state of one key.
type onceState struct {
	runID      string
	mayHaveRun bool
}

// onceModel allows at most one run per key. A fresh answer comes once, and never
// after a caller was told that the call ran or may have run. A replayed answer is
// always that of the one run.
var onceModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return onceState{} },
	Step: func(state, _, output any) (bool, any) {
		s, out := state.(onceState), output.(onceOutput)
		switch {
		case out.runID == "":
			s.mayHaveRun = s.mayHaveRun || out.mayHaveRun
			return true, s
		case out.replayed:
			ok := s.runID == "" || s.runID == out.runID
			return ok, onceState{runID: out.runID, mayHaveRun: true}
		default:
			return s.runID == "" && !s.mayHaveRun, onceState{runID: out.runID, mayHaveRun: true}
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
