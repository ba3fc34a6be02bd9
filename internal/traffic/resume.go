package traffic

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"goldcrestseam.dev/goldcrestseam/internal/outcome"
	"goldcrestseam.dev/goldcrestseam/internal/rpc/pb"
)

// resumeRequest is the body of POST /v1/requests/{id}/resume.
type resumeRequest struct {
	// Offset is the id of the last event that the caller received.
	Offset int `json:"offset"`
	// Text is the answer's full text up to Offset. Without it, the entry needs
	// the text from a record at exactly that offset, or from the engine.
	Text string `json:"text"`
	// Stream set to false selects an answer in one body. The default is true.
	Stream *bool `json:"stream,omitempty"`
}

// postResume resumes a broken stream, at any entry. The request was accepted
// before and may have run, so no refusal may have the outcome "not run".
func (s *Server) postResume(c *fiber.Ctx) error {
	err := s.resume(c)
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return withUnknownOutcome(refusal)
	}
	return err
}

// withUnknownOutcome returns a copy of the refusal with the outcome "not run"
// replaced by "unknown".
func withUnknownOutcome(refusal *outcome.Refusal) *outcome.Refusal {
	r := *refusal
	if r.Outcome == outcome.NotRun {
		r.Outcome = outcome.Unknown
	}
	return &r
}

func (s *Server) resume(c *fiber.Ctx) error {
	call, refusal := s.readCall(c)
	defer call.release()
	if refusal != nil {
		return refusal
	}
	call.requestID = strings.Clone(c.Params("id"))
	c.Set(outcome.HeaderRequestID, call.requestID)
	if !requestIDPattern.MatchString(call.requestID) {
		return invalid("the request id is malformed")
	}
	resume, refusal := parseResume(call)
	if refusal != nil {
		return refusal
	}
	record, complete := s.findRecord(c, call)
	if record == nil && !complete {
		return &outcome.Refusal{
			Status: http.StatusServiceUnavailable, Code: outcome.CodeStaleView, Outcome: outcome.Unknown,
			Message: "an entry that may know this request has not answered; resume it again", RetryAfter: time.Second,
		}
	}
	if record == nil {
		return &outcome.Refusal{
			Status: http.StatusNotFound, Code: outcome.CodeNotFound, Outcome: outcome.Unknown,
			Message: "no entry knows this request of this member; send it again",
		}
	}
	if record.Finished {
		return s.answerFinished(c, call, resume, record)
	}
	return s.continueStream(c, call, resume, record)
}

func parseResume(call *callerCall) (*resumeRequest, *outcome.Refusal) {
	resume := &resumeRequest{}
	if len(call.body) > 0 {
		if err := json.Unmarshal(call.body, resume); err != nil {
			return nil, invalid("the body is not the JSON of a resume request")
		}
	}
	if lastEventID := call.headers["Last-Event-ID"]; lastEventID != "" && resume.Offset == 0 {
		offset, err := strconv.Atoi(lastEventID)
		if err != nil {
			return nil, invalid("Last-Event-ID is not an offset")
		}
		resume.Offset = offset
	}
	if resume.Offset < 0 || (resume.Offset == 0 && resume.Text != "") {
		return nil, invalid("offset and text don't fit together")
	}
	return resume, nil
}

// findRecord looks for the record at this entry, then at the other entries. The
// lookup uses the authenticated member, so a request id of another member finds
// nothing. complete is false if it may be known to an entry that did not answer.
func (s *Server) findRecord(c *fiber.Ctx, call *callerCall) (record *pb.StreamRecord, complete bool) {
	own := s.records.lookup(call.member.Name, call.requestID)
	if own != nil && (own.Finished || s.jobs.isRunning(own.WireId)) {
		return own, true
	}
	others, complete := s.peers.lookup(c.UserContext(), call.member.Name, call.requestID)
	return moreAdvanced(own, others), complete
}

// answerFinished sends the rest of an answer whose stream has finished.
func (s *Server) answerFinished(c *fiber.Ctx, call *callerCall, resume *resumeRequest, record *pb.StreamRecord) error {
	rest, ok := strings.CutPrefix(record.Text, resume.Text)
	if !ok || (resume.Text == "" && resume.Offset != 0 && resume.Offset != int(record.Tokens)) {
		// Without the caller's text, the start of the missing part is unknown.
		return s.continueStream(c, call, resume, record)
	}
	if resume.Text == "" && resume.Offset != 0 {
		rest = ""
	}
	j, refusal := s.newResumedJob(call, resume, record)
	if refusal != nil {
		return refusal
	}
	j.record.setFinished([]byte(record.Text), int(record.Tokens))
	s.records.expireOwn(j.record, time.Now())
	tokens := int(record.Tokens) - resume.Offset
	if tokens > 0 {
		j.parts <- answerPart{offset: int(record.Tokens), tokens: tokens, text: rest}
	}
	j.parts <- answerPart{offset: int(record.Tokens), last: true, finishReason: finishLength}
	close(j.parts)
	if !j.request.Stream {
		return s.answerInOneBody(c, j)
	}
	return s.answerStream(c, j, func() {})
}

// continueStream takes over a stream: it reconnects to the engine that runs it
// or, if that fails, continues at another engine after the text that the caller
// has.
func (s *Server) continueStream(c *fiber.Ctx, call *callerCall, resume *resumeRequest, record *pb.StreamRecord) error {
	j, refusal := s.newResumedJob(call, resume, record)
	if refusal != nil {
		return refusal
	}
	if refusal := j.findOrigin(c.UserContext(), record); refusal != nil {
		return refusal
	}
	s.cancels.suppress(record.WireId)
	s.jobs.cancelAndWait(c.UserContext(), record.WireId)
	s.peers.notifyPreviousOwner(record.Owner, call.member.Name, call.requestID)
	j.arrived.Work.Resumed = true
	j.arrived.Attempt = record.Attempt
	j.arrived.Server, j.arrived.Incarnation = record.Server, record.Incarnation
	return s.answerModel(c, j)
}

// newResumedJob builds a job from a record and the caller's position in the
// answer.
func (s *Server) newResumedJob(call *callerCall, resume *resumeRequest, record *pb.StreamRecord) (*modelJob, *outcome.Refusal) {
	original := *call
	original.body = record.Body
	req, service, refusal := parseCompletion(&original)
	if refusal != nil {
		return nil, refusal
	}
	req.Stream = resume.Stream == nil || *resume.Stream
	if resume.Offset > req.MaxTokens {
		return nil, invalid("offset is beyond the answer's end")
	}
	j := s.newModelJob(&original, req, service, record.WireId)
	j.record.continueFrom(record)
	j.offset, j.resumeOffset, j.text = resume.Offset, resume.Offset, []byte(resume.Text)
	if resume.Text == "" && resume.Offset > 0 {
		j.useRecordedText(record)
	}
	j.arrived.Offset = resume.Offset
	if j.textIncomplete {
		j.record.setProgress([]byte(j.knownPrefix.text), j.knownPrefix.tokens)
	} else {
		j.record.setProgress(j.text, j.offset)
	}
	return j, nil
}
