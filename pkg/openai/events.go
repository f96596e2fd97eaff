package openai

import (
	"encoding/json"
	"io"

	"github.com/tealvane/tealvane/internal/api/callers"
	"github.com/tealvane/tealvane/pkg/completion"
	"github.com/tealvane/tealvane/pkg/external"
)

// StreamEnd is the last event of a whole answer, and of no other.
const StreamEnd = "data: [DONE]\n\n"

// chunk is one event of a stream, in the form that OpenAI clients expect.
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
	// Error is a pointer, because only the pointer knows how to leave out the
	// fields that are not set; a value fails to encode.
	Error *callers.ErrorDetail `json:"error"`
}

// Chat returns the event stream of a chat completion.
func (d Door) Chat(ans *completion.Answer) (io.ReadCloser, *completion.Refusal) {
	return d.events(ans, chatChunk)
}

// Text returns the event stream of a plain completion.
func (d Door) Text(ans *completion.Answer) (io.ReadCloser, *completion.Refusal) {
	return d.events(ans, textChunk)
}

// events turns an answer into an event stream. It returns once the first
// token has come, so that a failure before it is a plain refusal. A stream
// that breaks later ends with an error event and without the end marker.
func (d Door) events(ans *completion.Answer, form func(external.Token) (string, chunkChoice)) (io.ReadCloser, *completion.Refusal) {
	first, refusal := ans.Next()
	if refusal != nil {
		ans.Close()
		return nil, refusal
	}
	reader, writer := io.Pipe()
	w := &eventWriter{answer: ans, form: form, out: writer}
	d.Runner.Go(func() { w.run(first) })
	return reader, nil
}

type eventWriter struct {
	answer *completion.Answer
	form   func(external.Token) (string, chunkChoice)
	out    *io.PipeWriter
	// gone is set when the caller no longer reads.
	gone bool
}

func (w *eventWriter) run(token external.Token) {
	defer w.out.Close()
	defer w.answer.Close()
	for {
		w.token(token)
		if token.Done {
			w.write(StreamEnd)
			return
		}
		if w.gone && w.answer.Call.Key == nil {
			return
		}
		next, refusal := w.answer.Next()
		if refusal != nil {
			w.fail(refusal)
			return
		}
		token = next
	}
}

func (w *eventWriter) token(t external.Token) {
	object, choice := w.form(t)
	if t.Done {
		choice.FinishReason = &t.Reason
	}
	w.event(chunk{
		ID:      w.answer.Call.RequestID,
		Object:  object,
		Created: w.answer.Started.Unix(),
		Model:   w.answer.Call.Model.Name,
		Choices: []chunkChoice{choice},
	})
}

func (w *eventWriter) fail(r *completion.Refusal) {
	w.event(errorEvent{&callers.ErrorDetail{Code: r.Code, Message: r.Message}})
}

func (w *eventWriter) event(v any) {
	body, err := json.Marshal(v)
	if err != nil {
		w.gone = true
		return
	}
	w.write("data: " + string(body) + "\n\n")
}

func (w *eventWriter) write(s string) {
	if w.gone {
		return
	}
	if _, err := io.WriteString(w.out, s); err != nil {
		w.gone = true
	}
}
