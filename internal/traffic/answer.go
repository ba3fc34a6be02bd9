package traffic

import (
	"encoding/json"
	"strings"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"goldcrestseam.dev/goldcrestseam/internal/engineapi"
	"goldcrestseam.dev/goldcrestseam/internal/outcome"
)

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	// Model is the name of the service.
	Model     string  `json:"model"`
	Prompt    string  `json:"prompt"`
	MaxTokens int     `json:"max_tokens"`
	Stream    bool    `json:"stream"`
	Seed      *uint64 `json:"seed,omitempty"`
	// Chat selects the chat completion format for the answer. It is part of
	// the body in the stream record, so a resume answers in the same format.
	Chat bool `json:"chat,omitempty"`
}

// completionEvent is the data of one event of a stream, or the body of an
// answer that is not streamed.
type completionEvent struct {
	ID        string             `json:"id"`
	Object    string             `json:"object"`
	RequestID string             `json:"request_id"`
	Offset    int                `json:"offset"`
	Tokens    int                `json:"tokens"`
	Text      string             `json:"text"`
	Choices   []completionChoice `json:"choices"`
	Usage     *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// Delta and Message are used for chat completions only: Delta in a stream,
	// Message in a body that is not streamed.
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Seed      *uint64       `json:"seed,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// roleAssistant is the role of messages that the model generates.
const roleAssistant = "assistant"

// postChat handles a chat completion by concatenating its messages into one
// prompt, since the engines take plain prompts. All models share this layout;
// a model that needs its own chat template needs it added here.
func (s *Server) postChat(c *fiber.Ctx) error {
	call, refusal := s.readCall(c)
	defer call.release()
	if refusal != nil {
		return refusal
	}
	if refusal := chatToCompletion(call); refusal != nil {
		return refusal
	}
	req, service, refusal := parseCompletion(call)
	if refusal != nil {
		return refusal
	}
	wireID := engineapi.WireID(call.member.Name, call.requestID, uuid.NewString()[:8])
	return s.answerModel(c, s.newModelJob(call, req, service, wireID))
}

// chatToCompletion replaces the body of the chat request with that of the
// equivalent completion request.
func chatToCompletion(call *callerCall) *outcome.Refusal {
	var chat chatRequest
	if err := json.Unmarshal(call.body, &chat); err != nil {
		return invalid("the body is not the JSON of a chat completion request")
	}
	if len(chat.Messages) == 0 {
		return invalid("messages is missing")
	}
	var prompt strings.Builder
	for _, m := range chat.Messages {
		prompt.WriteString(m.Role + ": " + m.Content + "\n")
	}
	prompt.WriteString(roleAssistant + ": ")
	call.body = encodeCompletion(&completionRequest{
		Model: chat.Model, Prompt: prompt.String(), MaxTokens: chat.MaxTokens,
		Stream: chat.Stream, Seed: chat.Seed, Chat: true,
	})
	return nil
}

// event formats an answer part as the completion or chat event that the caller
// asked for.
func (j *modelJob) event(p answerPart) completionEvent {
	_, requestID, _ := engineapi.SplitWireID(j.wireID)
	event := completionEvent{
		ID: "cmpl-" + requestID, Object: "text_completion", RequestID: requestID,
		Offset: p.offset, Tokens: p.tokens, Text: p.text,
		Choices: []completionChoice{{Text: p.text}},
	}
	if p.finishReason != "" {
		event.Choices[0].FinishReason = &p.finishReason
	}
	if j.request.Chat {
		event.ID, event.Object = "chatcmpl-"+requestID, "chat.completion.chunk"
		event.Choices[0].Delta = &chatMessage{Content: p.text}
	}
	return event
}

// completeAnswer returns the body of an answer that is not streamed: the last
// part with the answer's full text and usage.
func (j *modelJob) completeAnswer(p answerPart, text string) completionEvent {
	event := j.event(p)
	choice := &event.Choices[0]
	event.Text, choice.Text = text, text
	event.Tokens = p.offset - j.resumeOffset
	event.Usage = &completionUsage{PromptTokens: estimatePromptTokens(j.request.Prompt), CompletionTokens: p.offset}
	if j.request.Chat {
		event.Object = "chat.completion"
		choice.Delta, choice.Message = nil, &chatMessage{Role: roleAssistant, Content: text}
	}
	return event
}
