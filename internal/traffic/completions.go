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
	// headWait is how long an answer's head is held back for the first token
	// or a refusal. After it the stream begins with comments, so that callers
	// see that the request is under way and vanished callers are noticed.
	headWait = time.Second
	// commentEvery is how often a stream without tokens shows that it lives.
	commentEvery = time.Second
	// pieceBuffer smooths bursts between engine and caller; a caller that
	// reads slower than that holds its engine's stream back.
	pieceBuffer = 32
	// defaultMaxTokens is used when a caller names none.
	defaultMaxTokens = 256
)

func (s *Server) postCompletions(c *fiber.Ctx) error {
	k, refusal := s.readCall(c)
	if refusal != nil {
		return refusal
	}
	req, service, refusal := parseCompletion(k)
	if refusal != nil {
		return refusal
	}
	job := s.newModelJob(k, req, service, engineapi.WireID(k.member.Name, k.requestID, uuid.NewString()[:8]))
	return s.answerModel(c, job)
}

// parseCompletion checks the body. A request that is out of bounds never
// reaches a backend server.
func parseCompletion(k *call) (*completionRequest, *declaration.Service, *outcome.Refusal) {
	req := &completionRequest{}
	if err := json.Unmarshal(k.body, req); err != nil {
		return nil, nil, invalid("the body is not the JSON of a completion request")
	}
	service, refusal := k.service(req.Model, declaration.KindModel)
	if refusal != nil {
		return nil, nil, refusal
	}
	profile := k.snap.Declaration.Profile(service.Profile)
	if req.MaxTokens == 0 {
		req.MaxTokens = min(defaultMaxTokens, profile.MaxOutputTokens)
	}
	switch {
	case req.Prompt == "":
		return nil, nil, invalid("prompt is missing")
	case req.MaxTokens < 0 || req.MaxTokens > profile.MaxOutputTokens:
		return nil, nil, invalid("max_tokens must be 1 to " + strconv.Itoa(profile.MaxOutputTokens))
	case promptTokens(req.Prompt) > profile.MaxPromptTokens:
		return nil, nil, &outcome.Refusal{
			Status: http.StatusRequestEntityTooLarge, Code: outcome.CodeTooLarge, Outcome: outcome.NotRun,
			Message: "the prompt is longer than the profile allows",
		}
	}
	return req, service, nil
}

func promptTokens(prompt string) int { return len(prompt)/engineapi.BytesPerToken + 1 }

// newModelJob puts together what the reducer and the engine need.
func (s *Server) newModelJob(k *call, req *completionRequest, service *declaration.Service, wireID string) *modelJob {
	profile := k.snap.Declaration.Profile(service.Profile)
	salt := cacheSalt(s.host.Settings.Cluster, k.member.Name)
	now := clock.SinceBoot()
	seed := fingerprint(k.member.Name, k.requestID)
	if req.Seed != nil {
		seed = *req.Seed
	}
	j := &modelJob{
		s: s, request: req, wireID: wireID, pieces: make(chan piece, pieceBuffer),
		arrived: entry.RequestArrived{
			Work: decision.Work{
				RequestID: host.NewRunKey(wireID), Member: k.member.Name, MemberWeight: k.member.Weight,
				Service: service.Name, Profile: profile.Name, ProfileShare: profile.Share,
				Class: profile.Class, Kind: declaration.KindModel, Model: service.Model,
				Adapter: service.Adapter, PromptTokens: promptTokens(req.Prompt),
				OutputTokens: req.MaxTokens, Prefix: engineapi.PrefixChain(salt, req.Prompt),
				Arrived: now, FirstTokenBy: now + profile.FirstToken, FinishBy: now + profile.Deadline,
			},
			Retry:       entry.RetryResuming,
			Fingerprint: fingerprint(k.member.Name, service.Name, req.Prompt),
			Credential:  k.credential, MembersOnly: true,
			RetryBudget: profile.RetryBudget,
		},
		engine: engineapi.CompletionRequest{
			RequestID: wireID, Model: service.Model, Adapter: service.Adapter, Prompt: req.Prompt,
			MaxTokens: req.MaxTokens, Seed: seed, Priority: priority(profile.Class),
			CacheSalt: salt, Stream: true,
		},
	}
	j.record = newStreamRecord(&pb.StreamRecord{
		Member: k.member.Name, RequestId: k.requestID, WireId: wireID, Service: service.Name,
		Owner: s.host.Identity.Name, Body: k.body, CreatedUnixMs: time.Now().UnixMilli(),
	})
	s.records.put(j.record)
	return j
}

// cacheSalt keeps members' prefix caches apart: with a shared cache a member
// could tell from the time to the first token what another has asked.
func cacheSalt(cluster, member string) string {
	return strconv.FormatUint(fingerprint(cluster, member), 16)
}

// priority: people who wait go before dossiers.
func priority(class declaration.Class) int {
	if class == declaration.ClassUrgent {
		return 10
	}
	return 0
}

// answerModel drives the job and answers its caller.
func (s *Server) answerModel(c *fiber.Ctx, j *modelJob) error {
	ctx, cancel := context.WithCancel(s.host.TaskContext)
	done := s.jobs.add(j.wireID, cancel)
	s.host.Spawn(func() {
		defer done()
		defer cancel()
		j.run(ctx)
		s.records.ended(j.record, time.Now())
	})
	if !j.request.Stream {
		return s.answerWhole(c, j)
	}
	return s.answerStream(c, j, cancel)
}

func (s *Server) answerWhole(c *fiber.Ctx, j *modelJob) error {
	var text strings.Builder
	for p := range j.pieces {
		text.WriteString(p.text)
		if !p.end {
			continue
		}
		if p.refusal != nil {
			return p.refusal
		}
		s.head(c, outcome.Ran)
		return c.JSON(j.whole(p, text.String()))
	}
	return j.handedOn()
}

// handedOn ends a request that this entry lets go of at its stop. One that was
// never sent to a server is told so.
func (j *modelJob) handedOn() *outcome.Refusal {
	refusal := handedOn()
	if j.record.neverSent() {
		refusal.Outcome = outcome.NotRun
	}
	return refusal
}

func handedOn() *outcome.Refusal {
	return &outcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: outcome.CodeLeaving, Outcome: outcome.Unknown,
		Message:    "this entry hands the request on; resume it at another entry with its request id",
		RetryAfter: time.Second,
	}
}

// answerStream holds the head back until it is known how the answer begins.
func (s *Server) answerStream(c *fiber.Ctx, j *modelJob, gone context.CancelFunc) error {
	var first *piece
	select {
	case p, ok := <-j.pieces:
		if !ok {
			return j.handedOn()
		}
		if p.refusal != nil {
			return p.refusal
		}
		first = &p
	case <-time.After(headWait):
	}
	s.peers.await(j.record)
	s.head(c, outcome.Ran)
	c.Set("Content-Type", "text/event-stream")
	c.Set("Cache-Control", "no-store")
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		out := &eventWriter{w: w, job: j}
		if err := out.relay(first); err != nil {
			// The caller is gone: the flush failed. The job's end lets the
			// reducer stop the engine's work.
			gone()
		}
	})
	return nil
}

// eventWriter writes one stream of server-sent events to a caller.
type eventWriter struct {
	w   *bufio.Writer
	job *modelJob
}

func (e *eventWriter) relay(first *piece) error {
	comments := time.NewTicker(commentEvery)
	defer comments.Stop()
	if first != nil {
		if done, err := e.piece(*first); done || err != nil {
			return err
		}
	}
	for {
		select {
		case p, ok := <-e.job.pieces:
			if !ok {
				return e.refusal(e.job.handedOn())
			}
			if done, err := e.piece(p); done || err != nil {
				return err
			}
		case <-comments.C:
			if _, err := e.w.WriteString(": waiting\n\n"); err != nil {
				return err
			}
			if err := e.w.Flush(); err != nil {
				return err
			}
		}
	}
}

func (e *eventWriter) piece(p piece) (done bool, err error) {
	if p.refusal != nil {
		return true, e.refusal(p.refusal)
	}
	if err := e.event("", p.offset, e.job.event(p)); err != nil {
		return true, err
	}
	if !p.end {
		return false, nil
	}
	if _, err := e.w.WriteString("data: " + engineapi.DoneMarker + "\n\n"); err != nil {
		return true, err
	}
	return true, e.w.Flush()
}

// refusal ends the stream with an event that tells the outcome and how to go on.
func (e *eventWriter) refusal(r *outcome.Refusal) error {
	_, requestID, _ := engineapi.SplitWireID(e.job.wireID)
	body := errorEvent{Body: r.Body(requestID)}
	if r.RetryAfter > 0 {
		body.Resume = &resumeHint{
			Path:              "/v1/requests/" + requestID + "/resume",
			Entries:           "/v1/entries",
			RetryAfterSeconds: r.RetryAfter.Seconds(),
		}
	}
	return e.event("error", -1, body)
}

// errorEvent is the data of an error event.
type errorEvent struct {
	outcome.Body
	// Resume tells how to go on; it is left out when nothing would come of it.
	Resume *resumeHint `json:"resume,omitempty"`
}

type resumeHint struct {
	Path              string  `json:"path"`
	Entries           string  `json:"entries"`
	RetryAfterSeconds float64 `json:"retry_after_seconds"`
}

func (e *eventWriter) event(name string, id int, body any) error {
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
