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
	// Offset is the id of the last event that the caller has.
	Offset int `json:"offset"`
	// Text is all text up to it. Without it the entry needs the engine or a
	// record that stands exactly there.
	Text string `json:"text"`
	// Stream false asks for the whole answer in one body. Default true.
	Stream *bool `json:"stream,omitempty"`
}

// postResume goes on with a stream that broke, at any entry. The request has
// been accepted before, so that no refusal may say that it was not run.
func (s *Server) postResume(c *fiber.Ctx) error {
	err := s.resume(c)
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return asUnknown(refusal)
	}
	return err
}

// asUnknown gives the refusal with the outcome unknown in place of "not run".
func asUnknown(refusal *outcome.Refusal) *outcome.Refusal {
	r := *refusal
	if r.Outcome == outcome.NotRun {
		r.Outcome = outcome.Unknown
	}
	return &r
}

func (s *Server) resume(c *fiber.Ctx) error {
	k, refusal := s.readCall(c)
	if refusal != nil {
		return refusal
	}
	k.requestID = strings.Clone(c.Params("id"))
	c.Set(outcome.HeaderRequestID, k.requestID)
	if !requestIDForm.MatchString(k.requestID) {
		return invalid("the request id is malformed")
	}
	want, refusal := parseResume(k)
	if refusal != nil {
		return refusal
	}
	record := s.findRecord(c, k)
	if record == nil {
		return &outcome.Refusal{
			Status: http.StatusNotFound, Code: outcome.CodeNotFound, Outcome: outcome.Unknown,
			Message: "no entry knows this request of this member; send it again",
		}
	}
	if record.Finished {
		return s.answerFinished(c, k, want, record)
	}
	return s.goOn(c, k, want, record)
}

func parseResume(k *call) (*resumeRequest, *outcome.Refusal) {
	want := &resumeRequest{}
	if len(k.body) > 0 {
		if err := json.Unmarshal(k.body, want); err != nil {
			return nil, invalid("the body is not the JSON of a resume request")
		}
	}
	if last := k.headers["Last-Event-ID"]; last != "" && want.Offset == 0 {
		offset, err := strconv.Atoi(last)
		if err != nil {
			return nil, invalid("Last-Event-ID is not an offset")
		}
		want.Offset = offset
	}
	if want.Offset < 0 || (want.Offset == 0 && want.Text != "") {
		return nil, invalid("offset and text don't fit together")
	}
	return want, nil
}

// findRecord looks here and then at the other entries, under the member of the
// credential: another member's request id finds nothing.
func (s *Server) findRecord(c *fiber.Ctx, k *call) *pb.StreamRecord {
	own := s.records.lookup(k.member.Name, k.requestID)
	if own != nil && (own.Finished || s.jobs.runs(own.WireId)) {
		return own
	}
	return further(own, s.peers.lookup(c.UserContext(), k.member.Name, k.requestID))
}

// answerFinished gives the rest of a stream that had ended.
func (s *Server) answerFinished(c *fiber.Ctx, k *call, want *resumeRequest, record *pb.StreamRecord) error {
	rest, ok := strings.CutPrefix(record.Text, want.Text)
	if !ok || (want.Text == "" && want.Offset != 0 && want.Offset != int(record.Tokens)) {
		// Without the caller's text it is not known where its part ends.
		return s.goOn(c, k, want, record)
	}
	if want.Text == "" && want.Offset != 0 {
		rest = ""
	}
	j, refusal := s.jobOf(k, want, record)
	if refusal != nil {
		return refusal
	}
	j.record.finish([]byte(record.Text), int(record.Tokens))
	s.records.ended(j.record, time.Now())
	tokens := int(record.Tokens) - want.Offset
	if tokens > 0 {
		j.pieces <- piece{offset: int(record.Tokens), tokens: tokens, text: rest}
	}
	j.pieces <- piece{offset: int(record.Tokens), end: true, finish: finishLength}
	close(j.pieces)
	if !j.request.Stream {
		return s.answerWhole(c, j)
	}
	return s.answerStream(c, j, func() {})
}

// goOn takes a stream over: at the engine that runs it, else at another from
// the text that the caller has.
func (s *Server) goOn(c *fiber.Ctx, k *call, want *resumeRequest, record *pb.StreamRecord) error {
	j, refusal := s.jobOf(k, want, record)
	if refusal != nil {
		return refusal
	}
	s.cancels.keep(record.WireId)
	s.jobs.takeOver(c.UserContext(), record.WireId)
	s.peers.handOver(record.Owner, k.member.Name, k.requestID)
	j.arrived.Work.Resumed = true
	j.arrived.Attempt = record.Attempt
	j.arrived.Server, j.arrived.Incarnation = record.Server, record.Incarnation
	return s.answerModel(c, j)
}

// jobOf makes the job of a record from what the caller has.
func (s *Server) jobOf(k *call, want *resumeRequest, record *pb.StreamRecord) (*modelJob, *outcome.Refusal) {
	first := *k
	first.body = record.Body
	req, service, refusal := parseCompletion(&first)
	if refusal != nil {
		return nil, refusal
	}
	req.Stream = want.Stream == nil || *want.Stream
	if want.Offset > req.MaxTokens {
		return nil, invalid("offset is beyond the answer's end")
	}
	j := s.newModelJob(&first, req, service, record.WireId)
	j.record.follows(record)
	j.offset, j.from, j.text = want.Offset, want.Offset, []byte(want.Text)
	if want.Text == "" && want.Offset > 0 {
		j.useRecordedText(record)
	}
	j.arrived.Offset = want.Offset
	if j.lacksText {
		j.record.progress([]byte(j.known.text), j.known.tokens)
	} else {
		j.record.progress(j.text, j.offset)
	}
	return j, nil
}
