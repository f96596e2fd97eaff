package openai

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/tealvane/tealvane/internal/api/callers"
	"github.com/tealvane/tealvane/pkg/completion"
)

// generateRequest holds the fields that chat and text completions share.
type generateRequest struct {
	model       string
	prompt      string
	maxTokens   callers.OptInt
	temperature callers.OptFloat64
	key         callers.OptString
	deadlineMs  callers.OptInt64
}

// start validates a completion request and starts it.
func (h Handler) start(ctx context.Context, in generateRequest) (*completion.Stream, *completion.Refusal) {
	entry, m, refusal := findModel(ctx, in.model, false)
	if refusal != nil {
		return nil, refusal
	}
	key, refusal := completion.KeyFor(entry.Contract.Customer, m, in.key.Or(""))
	if refusal != nil {
		return nil, refusal
	}
	if key != nil {
		// The request continues after its caller disconnects, so that a retry
		// finds the recorded response.
		ctx = context.WithoutCancel(ctx)
	}
	return h.Runner.Start(ctx, completion.Call{
		Customer:    entry.Contract.Customer,
		Model:       m,
		Weight:      entry.Contract.Weight,
		Rank:        entry.Contract.Class(m).RefuseRank,
		RequestID:   completion.NewRequestID(),
		Key:         key,
		Digest:      completion.Digest(in.model, in.prompt),
		Deadline:    h.deadlineFor(entry, m, in.deadlineMs),
		Prompt:      in.prompt,
		MaxTokens:   in.maxTokens.Or(0),
		Temperature: in.temperature.Or(0),
	})
}

// result is a completion that was read to its end.
type result struct {
	id     string
	text   string
	tokens int
	reason string
}

// eventEncoder encodes a started completion as an event stream.
type eventEncoder func(*completion.Stream) (io.ReadCloser, *completion.Refusal)

// generate runs a completion. If stream is set, it returns the event stream that
// encode produces. Otherwise it returns the complete result.
func (h Handler) generate(ctx context.Context, in generateRequest, stream bool, encode eventEncoder) (io.ReadCloser, result, *completion.Refusal) {
	tokenStream, refusal := h.start(ctx, in)
	if refusal != nil {
		return nil, result{}, refusal
	}
	if stream {
		body, refusal := encode(tokenStream)
		return body, result{}, refusal
	}
	out := result{id: tokenStream.Call.RequestID}
	out.text, out.tokens, out.reason, refusal = tokenStream.Collect()
	return nil, out, refusal
}

// CreateChatCompletion implements callers.Handler.
func (h Handler) CreateChatCompletion(ctx context.Context, req *callers.ChatRequest, params callers.CreateChatCompletionParams) (callers.CreateChatCompletionRes, error) {
	events, result, refusal := h.generate(ctx, generateRequest{
		model:       req.Model,
		prompt:      chatPrompt(req.Messages),
		maxTokens:   req.MaxTokens,
		temperature: req.Temperature,
		key:         params.IdempotencyKey,
		deadlineMs:  params.XDeadlineMs,
	}, req.Stream.Or(false), h.Chat)
	switch {
	case refusal != nil:
		return nil, refusal
	case events != nil:
		return &callers.CreateChatCompletionOKTextEventStream{Data: events}, nil
	}
	return &callers.ChatCompletion{
		ID:      result.id,
		Object:  "chat.completion",
		Created: h.Host.Now().Unix(),
		Model:   req.Model,
		Choices: []callers.ChatChoice{{
			Message:      callers.ChatMessage{Role: "assistant", Content: result.text},
			FinishReason: result.reason,
		}},
		Usage: callers.TokenUsage{CompletionTokens: result.tokens},
	}, nil
}

// chatPrompt joins the messages into one prompt. Engines apply their own chat
// template.
func chatPrompt(messages []callers.ChatMessage) string {
	parts := make([]string, len(messages))
	for i, m := range messages {
		parts[i] = m.Role + ": " + m.Content
	}
	return strings.Join(parts, "\n")
}

// CreateCompletion implements callers.Handler.
func (h Handler) CreateCompletion(ctx context.Context, req *callers.CompletionRequest, params callers.CreateCompletionParams) (callers.CreateCompletionRes, error) {
	events, result, refusal := h.generate(ctx, generateRequest{
		model:       req.Model,
		prompt:      req.Prompt,
		maxTokens:   req.MaxTokens,
		temperature: req.Temperature,
		key:         params.IdempotencyKey,
		deadlineMs:  params.XDeadlineMs,
	}, req.Stream.Or(false), h.Text)
	switch {
	case refusal != nil:
		return nil, refusal
	case events != nil:
		return &callers.CreateCompletionOKTextEventStream{Data: events}, nil
	}
	out := newCompletion(result.id, req.Model, h.Host.Now(), result.text, result.tokens, result.reason)
	return &out, nil
}

func newCompletion(id, model string, now time.Time, text string, tokens int, reason string) callers.Completion {
	return callers.Completion{
		ID:      id,
		Object:  "text_completion",
		Created: now.Unix(),
		Model:   model,
		Choices: []callers.CompletionChoice{{Text: text, FinishReason: reason}},
		Usage:   callers.TokenUsage{CompletionTokens: tokens},
	}
}

// ListModels implements callers.Handler.
func (h Handler) ListModels(ctx context.Context) (*callers.ModelList, error) {
	c := callerContract(ctx).Contract
	out := &callers.ModelList{Object: "list", Data: []callers.ModelEntry{}}
	for _, m := range c.Models {
		if m.Loadable() {
			out.Data = append(out.Data, callers.ModelEntry{ID: m.Name, Object: "model", OwnedBy: c.Customer})
		}
	}
	return out, nil
}
