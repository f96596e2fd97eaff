package openai

import (
	"encoding/json"
	"io"

	"github.com/tealvane/tealvane/internal/api/callers"
	"github.com/tealvane/tealvane/pkg/completion"
	"github.com/tealvane/tealvane/pkg/external"
)

// StreamEnd is the end marker of an event stream. It is sent only after a complete
// response.
const StreamEnd = "data: [DONE]\n\n"

// chunk is one event of a stream in the OpenAI format.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int         `json:"index"`
	Text         string      `json:"text,omitempty"`
	Delta        *chunkDelta `json:"delta,omitempty"`
	FinishReason *string     `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

func chatChunk(t external.Token) (object string, choice chunkChoice) {
	delta := &chunkDelta{Content: t.Text}
	if t.Index == 0 {
		delta.Role = "assistant"
	}
	return "chat.completion.chunk", chunkChoice{Delta: delta}
}

func textChunk(t external.Token) (object string, choice chunkChoice) {
	return "text_completion", chunkChoice{Text: t.Text}
}

type errorEvent struct {
	// Error is a pointer because only *callers.ErrorDetail implements
	// json.Marshaler; encoding the value fails on unset optional fields.
	Error *callers.ErrorDetail `json:"error"`
}

// Chat returns the event stream of a chat completion.
func (h Handler) Chat(tokenStream *completion.Stream) (io.ReadCloser, *completion.Refusal) {
	return h.eventStream(tokenStream, chatChunk)
}

// Text returns the event stream of a text completion.
func (h Handler) Text(tokenStream *completion.Stream) (io.ReadCloser, *completion.Refusal) {
	return h.eventStream(tokenStream, textChunk)
}

// eventStream encodes a completion as an event stream. It blocks until the first
// token arrives, so that an earlier failure is returned as a refusal. A stream
// that breaks later ends with an error event and without the end marker.
func (h Handler) eventStream(tokenStream *completion.Stream, encode func(external.Token) (string, chunkChoice)) (io.ReadCloser, *completion.Refusal) {
	first, refusal := tokenStream.Next()
	if refusal != nil {
		tokenStream.Close()
		return nil, refusal
	}
	reader, writer := io.Pipe()
	w := &eventWriter{tokenStream: tokenStream, encode: encode, out: writer}
	h.Runner.Go(func() { w.run(first) })
	return reader, nil
}

// eventWriter writes the tokens of a completion to a pipe as events.
type eventWriter struct {
	tokenStream *completion.Stream
	encode      func(external.Token) (string, chunkChoice)
	out         *io.PipeWriter
	// closed is set after a write or encoding fails. Later writes are dropped.
	closed bool
}

// run writes all events, beginning with the given token. After the caller
// disconnects it keeps reading the completion only if the call has an idempotency
// key, so that the complete response is recorded.
func (w *eventWriter) run(token external.Token) {
	defer w.out.Close()
	defer w.tokenStream.Close()
	for {
		w.writeToken(token)
		if token.Done {
			w.write(StreamEnd)
			return
		}
		if w.closed && w.tokenStream.Call.Key == nil {
			return
		}
		next, refusal := w.tokenStream.Next()
		if refusal != nil {
			w.writeError(refusal)
			return
		}
		token = next
	}
}

func (w *eventWriter) writeToken(t external.Token) {
	object, choice := w.encode(t)
	if t.Done {
		choice.FinishReason = &t.Reason
	}
	w.writeEvent(chunk{
		ID:      w.tokenStream.Call.RequestID,
		Object:  object,
		Created: w.tokenStream.Started.Unix(),
		Model:   w.tokenStream.Call.Model.Name,
		Choices: []chunkChoice{choice},
	})
}

func (w *eventWriter) writeError(r *completion.Refusal) {
	w.writeEvent(errorEvent{&callers.ErrorDetail{Code: r.Code, Message: r.Message}})
}

func (w *eventWriter) writeEvent(v any) {
	body, err := json.Marshal(v)
	if err != nil {
		w.closed = true
		return
	}
	w.write("data: " + string(body) + "\n\n")
}

func (w *eventWriter) write(s string) {
	if w.closed {
		return
	}
	if _, err := io.WriteString(w.out, s); err != nil {
		w.closed = true
	}
}
