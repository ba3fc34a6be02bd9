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

// OnceCall is one logical once-only call: a key and what it asks for.
type OnceCall struct {
	Member string
	Key    string
	Mark   string
	// Delay is how long the backend server takes to answer, as a Go duration.
	Delay string
}

// NewOnceCall draws a key and a mark.
func NewOnceCall(member, late string) OnceCall {
	return OnceCall{
		Member: member, Delay: late, Key: uuid.Must(uuid.NewV7()).String(), Mark: UniqueName(),
	}
}

// onceOutput is what one send of it came to.
type onceOutput struct {
	// run is the run that answered, empty for none.
	run      string
	replayed bool
	// closed tells that the caller was told that it ran or may have run.
	closed bool
}

// OnceHistory collects sends of once-only calls for the checker.
type OnceHistory struct {
	mu   sync.Mutex
	ops  []porcupine.Operation
	done []audit.Done
}

// Send sends the call at the entry given ("" for the caller's own choice) and
// notes what came of it.
func (h *OnceHistory) Send(ctx context.Context, c *caller.Client, call OnceCall, entry string, client int) *caller.Result {
	began := time.Now()
	res := c.Call(ctx, caller.Call{
		ID: uuid.NewString(), Service: ServicePlain, Method: "GET", Key: call.Key, Entry: entry,
		Path: PathOnce + "?mark=" + call.Mark + "&late=" + call.Delay,
	})
	ended := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: call.Key, Output: outputOf(res), Call: began.UnixNano(), Return: ended.UnixNano(),
	})
	h.done = append(h.done, audit.Done{
		Class: "once", Member: call.Member, Mark: call.Mark, Path: PathOnce, Once: true, Result: res,
	})
	return res
}

func outputOf(res *caller.Result) onceOutput {
	if !res.Whole {
		return onceOutput{closed: res.Outcome == outcome.Unknown || res.Code == outcome.CodeAlreadyRan}
	}
	var got server.PlainAnswer
	_ = json.Unmarshal([]byte(res.Text), &got)
	return onceOutput{run: got.Run, replayed: res.Replayed}
}

// Results returns all sends in the form that the audit takes.
func (h *OnceHistory) Results() []audit.Done {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.done
}

// Linearizable tells whether the history fits onceModel.
func (h *OnceHistory) Linearizable(timeout time.Duration) porcupine.CheckResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return porcupine.CheckOperationsTimeout(onceModel, h.ops, timeout)
}

// onceState is what is known of one key.
type onceState struct {
	run    string
	closed bool
}

// onceModel: a key has one run at most. A fresh answer comes once, and never
// after a caller was told that the call ran or may have run; a held answer is
// always that of the one run.
var onceModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return onceState{} },
	Step: func(state, _, output any) (bool, any) {
		s, out := state.(onceState), output.(onceOutput)
		switch {
		case out.run == "":
			s.closed = s.closed || out.closed
			return true, s
		case out.replayed:
			ok := s.run == "" || s.run == out.run
			return ok, onceState{run: out.run, closed: true}
		default:
			return s.run == "" && !s.closed, onceState{run: out.run, closed: true}
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
