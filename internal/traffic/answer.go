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
	// Model names the service.
	Model     string  `json:"model"`
	Prompt    string  `json:"prompt"`
	MaxTokens int     `json:"max_tokens"`
	Stream    bool    `json:"stream"`
	Seed      *uint64 `json:"seed,omitempty"`
	// Chat asks for the answer in the form of chat completions. It stands in
	// the kept body, so that a resume goes on in the same form.
	Chat bool `json:"chat,omitempty"`
}

// completionEvent is the data of one event of a stream, and the body of an
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
	// Delta and Message are for chat completions: a part and the whole.
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

// roleAssistant is the role of what a model says.
const roleAssistant = "assistant"

// postChat takes a chat completion as a completion of its messages, one after
// the other. The engines of this system take prompts; one whose model wants
// another layout of messages needs it here.
func (s *Server) postChat(c *fiber.Ctx) error {
	k, refusal := s.readCall(c)
	if refusal != nil {
		return refusal
	}
	if refusal := chatToCompletion(k); refusal != nil {
		return refusal
	}
	req, service, refusal := parseCompletion(k)
	if refusal != nil {
		return refusal
	}
	wireID := engineapi.WireID(k.member.Name, k.requestID, uuid.NewString()[:8])
	return s.answerModel(c, s.newModelJob(k, req, service, wireID))
}

// chatToCompletion puts the body of a completion in the place of the chat's.
func chatToCompletion(k *call) *outcome.Refusal {
	var chat chatRequest
	if err := json.Unmarshal(k.body, &chat); err != nil {
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
	body, err := json.Marshal(completionRequest{
		Model: chat.Model, Prompt: prompt.String(), MaxTokens: chat.MaxTokens,
		Stream: chat.Stream, Seed: chat.Seed, Chat: true,
	})
	if err != nil {
		return invalid("the messages can't be read")
	}
	k.body = body
	return nil
}

// event gives a piece in the form that the caller asked for.
func (j *modelJob) event(p piece) completionEvent {
	_, requestID, _ := engineapi.SplitWireID(j.wireID)
	event := completionEvent{
		ID: "cmpl-" + requestID, Object: "text_completion", RequestID: requestID,
		Offset: p.offset, Tokens: p.tokens, Text: p.text,
		Choices: []completionChoice{{Text: p.text}},
	}
	if p.finish != "" {
		event.Choices[0].FinishReason = &p.finish
	}
	if j.request.Chat {
		event.ID, event.Object = "chatcmpl-"+requestID, "chat.completion.chunk"
		event.Choices[0].Delta = &chatMessage{Content: p.text}
	}
	return event
}

// whole gives the last piece with all of the answer's text, for one body.
func (j *modelJob) whole(p piece, text string) completionEvent {
	event := j.event(p)
	choice := &event.Choices[0]
	event.Text, choice.Text = text, text
	event.Tokens = p.offset - j.from
	event.Usage = &completionUsage{PromptTokens: promptTokens(j.request.Prompt), CompletionTokens: p.offset}
	if j.request.Chat {
		event.Object = "chat.completion"
		choice.Delta, choice.Message = nil, &chatMessage{Role: roleAssistant, Content: text}
	}
	return event
}
