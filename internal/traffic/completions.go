package traffic

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"goldcrestseam.dev/goldcrestseam/internal/clock"
	"goldcrestseam.dev/goldcrestseam/internal/decision"
	"goldcrestseam.dev/goldcrestseam/internal/declaration"
	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/entry"
	"goldcrestseam.dev/goldcrestseam/internal/host"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

const (
	// maxHeaderDelay is how long a stream's response headers are held back for
	// the first token or a refusal. After that the stream starts with
	// comments: callers see that the request is in progress, and the failing
	// writes reveal callers that have disconnected.
	maxHeaderDelay = time.Second
	// keepAliveInterval is how often a stream without tokens sends a comment.
	keepAliveInterval = time.Second
	// partBuffer is the number of answer parts buffered between engine and
	// caller to smooth bursts. When it is full, the engine's stream
	// is read no faster than the caller reads.
	partBuffer = 32
	// defaultMaxTokens applies when the request sets no max_tokens.
	defaultMaxTokens = 256
)

func (s *Server) postCompletions(c *fiber.Ctx) error {
	call, refusal := s.readCall(c)
	defer call.release()
	if refusal != nil {
		return refusal
	}
	req, service, refusal := parseCompletion(call)
	if refusal != nil {
		return refusal
	}
	job := s.newModelJob(call, req, service, engineapi.WireID(call.member.Name, call.requestID, uuid.NewString()[:8]))
	return s.answerModel(c, job)
}

// parseCompletion parses and validates the body. A request that exceeds the
// profile's limits never reaches a backend server.
func parseCompletion(call *callerCall) (*completionRequest, *declaration.Service, *outcome.Refusal) {
	req := &completionRequest{}
	if err := json.Unmarshal(call.body, req); err != nil {
		return nil, nil, invalid("the body is not the JSON of a completion request")
	}
	service, refusal := call.service(req.Model, declaration.KindModel)
	if refusal != nil {
		return nil, nil, refusal
	}
	profile := call.snap.Declaration.Profile(service.Profile)
	if req.MaxTokens == 0 {
		req.MaxTokens = min(defaultMaxTokens, profile.MaxOutputTokens)
	}
	switch {
	case req.Prompt == "":
		return nil, nil, invalid("prompt is missing")
	case req.MaxTokens < 0 || req.MaxTokens > profile.MaxOutputTokens:
		return nil, nil, invalid("max_tokens must be 1 to " + strconv.Itoa(profile.MaxOutputTokens))
	case estimatePromptTokens(req.Prompt) > profile.MaxPromptTokens:
		return nil, nil, &outcome.Refusal{
			Status: http.StatusRequestEntityTooLarge, Code: outcome.CodeTooLarge, Outcome: outcome.NotRun,
			Message: "the prompt is longer than the profile allows",
		}
	}
	return req, service, nil
}

func estimatePromptTokens(prompt string) int { return len(prompt)/engineapi.BytesPerToken + 1 }

// newModelJob builds the job of a model request: the reducer's event, the
// engine's request and the stream record.
func (s *Server) newModelJob(call *callerCall, req *completionRequest, service *declaration.Service, wireID string) *modelJob {
	profile := call.snap.Declaration.Profile(service.Profile)
	salt := cacheSalt(s.host.Settings.Cluster, call.member.Name)
	prefix := engineapi.PrefixChain(salt, req.Prompt)
	now := clock.SinceBoot()
	seed := fingerprint(call.member.Name, call.requestID)
	if req.Seed != nil {
		seed = *req.Seed
	}
	j := &modelJob{
		server: s, request: req, wireID: wireID, parts: make(chan answerPart, partBuffer),
		arrived: entry.RequestArrived{
			Work: decision.Work{
				RequestID: host.NewRunKey(wireID), Member: call.member.Name, MemberWeight: call.member.Weight,
				Service: service.Name, Profile: profile.Name, ProfileShare: profile.Share,
				Class: profile.Class, Kind: declaration.KindModel, Model: service.Model,
				Adapter: service.Adapter, PromptTokens: estimatePromptTokens(req.Prompt),
				OutputTokens: req.MaxTokens, Prefix: prefix,
				Parts:   sharedParts(prefix),
				Arrived: now, FirstTokenBy: now + profile.FirstToken, FinishBy: now + profile.Deadline,
			},
			Retry:       entry.RetryResuming,
			Fingerprint: fingerprint(call.member.Name, service.Name, req.Prompt),
			Credential:  call.credential, MembersOnly: true,
			RetryBudget: profile.RetryBudget,
		},
		baseRequest: engineapi.CompletionRequest{
			RequestID: wireID, Model: service.Model, Adapter: service.Adapter, Prompt: req.Prompt,
			MaxTokens: req.MaxTokens, Seed: seed, Priority: enginePriority(profile.Class),
			CacheSalt: salt, Stream: true,
		},
	}
	j.record = newStreamRecord(&pb.StreamRecord{
		Member: call.member.Name, RequestId: call.requestID, WireId: wireID, Service: service.Name,
		Owner: s.host.Identity.Name, Body: encodeCompletion(req), CreatedUnixMs: time.Now().UnixMilli(),
	})
	s.records.addOwn(j.record)
	return j
}

// encodeCompletion returns a request as a body. A record keeps it in place of the caller's own, which may hold whatever
// else its caller has sent.
func encodeCompletion(req *completionRequest) []byte {
	body, err := json.Marshal(req)
	if err != nil {
		// Strings and numbers can always be encoded.
		panic("traffic: " + err.Error())
	}
	return body
}

// maxSharedParts bounds the parts of a prompt that are told apart if it crashes servers.
const maxSharedParts = 32

// sharedParts returns the parts of a prompt that other prompts of the member may have too: its blocks
// but the last one, or some of them, evenly spaced. A block's hash covers all before it.
func sharedParts(chain []uint64) []decision.PromptPart {
	shared := max(0, len(chain)-1)
	step := max(1, (shared+maxSharedParts-1)/maxSharedParts)
	var parts []decision.PromptPart
	for i := step - 1; i < shared; i += step {
		parts = append(parts, decision.PromptPart(chain[i]))
	}
	return parts
}

// cacheSalt returns the salt that isolates a member's prefix cache. With a
// shared cache, a member could infer another member's prompts from the time to
// first token.
func cacheSalt(cluster, member string) string {
	return strconv.FormatUint(fingerprint(cluster, member), 16)
}

// enginePriority returns the engine's scheduling priority for a class. Urgent
// requests, for which a person waits, go before all others, such as bulk work.
func enginePriority(class declaration.Class) int {
	if class == declaration.ClassUrgent {
		return 10
	}
	return 0
}

// answerModel runs the job and answers its caller.
func (s *Server) answerModel(c *fiber.Ctx, j *modelJob) error {
	ctx, cancel := context.WithCancel(s.host.TaskContext)
	done := s.jobs.add(j.wireID, cancel)
	s.host.Spawn(func() {
		defer done()
		defer cancel()
		j.run(ctx)
		s.records.expireOwn(j.record, time.Now())
	})
	if !j.request.Stream {
		return s.answerInOneBody(c, j)
	}
	return s.answerStream(c, j, cancel)
}

func (s *Server) answerInOneBody(c *fiber.Ctx, j *modelJob) error {
	var text strings.Builder
	for p := range j.parts {
		text.WriteString(p.text)
		if !p.last {
			continue
		}
		if p.refusal != nil {
			return p.refusal
		}
		s.setCommonHeaders(c, outcome.Ran)
		return c.JSON(j.completeAnswer(p, text.String()))
	}
	return j.handOffRefusal()
}

// handOffRefusal returns the refusal for a request that this entry hands off at
// its stop. Its outcome is "not run" if no attempt was sent to a server.
func (j *modelJob) handOffRefusal() *outcome.Refusal {
	refusal := handOffRefusal()
	if j.record.neverSent() {
		refusal.Outcome = outcome.NotRun
	}
	return refusal
}

func handOffRefusal() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: outcome.CodeLeaving, Outcome: outcome.Unknown,
		Message:    "this entry hands the request on; resume it at another entry with its request id",
		RetryAfter: time.Second,
	}
}

// answerStream streams the answer. It holds the response headers back until the
// first token, a refusal or maxHeaderDelay.
func (s *Server) answerStream(c *fiber.Ctx, j *modelJob, cancelJob context.CancelFunc) error {
	var firstPart *answerPart
	select {
	case p, ok := <-j.parts:
		if !ok {
			return j.handOffRefusal()
		}
		if p.refusal != nil {
			return p.refusal
		}
		firstPart = &p
	case <-time.After(maxHeaderDelay):
	}
	s.peers.awaitReplication(j.record)
	s.setCommonHeaders(c, outcome.Ran)
	c.Set("Content-Type", "text/event-stream")
	c.Set("Cache-Control", "no-store")
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		writer := &eventWriter{w: w, job: j}
		if err := writer.relay(firstPart); err != nil {
			// The write failed because the caller has disconnected. Ending the
			// job lets the reducer cancel the engine's work.
			cancelJob()
		}
	})
	return nil
}

// eventWriter writes a stream of server-sent events to a caller.
type eventWriter struct {
	w   *bufio.Writer
	job *modelJob
}

func (e *eventWriter) relay(firstPart *answerPart) error {
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	if firstPart != nil {
		if done, err := e.writePart(*firstPart); done || err != nil {
			return err
		}
	}
	for {
		select {
		case p, ok := <-e.job.parts:
			if !ok {
				return e.writeRefusal(e.job.handOffRefusal())
			}
			if done, err := e.writePart(p); done || err != nil {
				return err
			}
		case <-keepAlive.C:
			if _, err := e.w.WriteString(": waiting\n\n"); err != nil {
				return err
			}
			if err := e.w.Flush(); err != nil {
				return err
			}
		}
	}
}

func (e *eventWriter) writePart(p answerPart) (done bool, err error) {
	if p.refusal != nil {
		return true, e.writeRefusal(p.refusal)
	}
	if err := e.writeEvent("", p.offset, e.job.event(p)); err != nil {
		return true, err
	}
	if !p.last {
		return false, nil
	}
	if _, err := e.w.WriteString("data: " + engineapi.DoneMarker + "\n\n"); err != nil {
		return true, err
	}
	return true, e.w.Flush()
}

// writeRefusal ends the stream with an error event that carries the outcome
// and, if a retry makes sense, how to resume.
func (e *eventWriter) writeRefusal(r *outcome.Refusal) error {
	_, requestID, _ := engineapi.SplitWireID(e.job.wireID)
	body := errorEvent{Body: r.Body(requestID)}
	if r.RetryAfter > 0 {
		body.Resume = &resumeHint{
			Path:              "/v1/requests/" + requestID + "/resume",
			Entries:           "/v1/entries",
			RetryAfterSeconds: r.RetryAfter.Seconds(),
		}
	}
	return e.writeEvent("error", -1, body)
}

// errorEvent is the data of an error event.
type errorEvent struct {
	outcome.Body
	// Resume says how to resume; it is omitted when a retry is of no use.
	Resume *resumeHint `json:"resume,omitempty"`
}

type resumeHint struct {
	Path              string  `json:"path"`
	Entries           string  `json:"entries"`
	RetryAfterSeconds float64 `json:"retry_after_seconds"`
}

func (e *eventWriter) writeEvent(name string, id int, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if name != "" {
		_, _ = fmt.Fprintf(e.w, "event: %s\n", name)
	}
	if id >= 0 {
		_, _ = fmt.Fprintf(e.w, "id: %d\n", id)
	}
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return e.w.Flush()
}
