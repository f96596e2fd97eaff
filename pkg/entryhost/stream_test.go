package entryhost

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/completion"
	"github.com/tealvane/tealvane/pkg/openai"
	"github.com/tealvane/tealvane/pkg/record"
)

// stream returns all that a caller of a streamed completion reads.
func stream(h *fakeHost, model, id string) (string, *completion.Refusal) {
	entry, _ := h.state.Contracts.Get("c")
	m, _ := entry.Contract.Model(model)
	in := completion.Call{Customer: "c", Model: m, RequestID: id, Deadline: time.Now().Add(maxWait), Prompt: id}
	if m.NonIdempotent {
		in.Key = &record.Key{Customer: "c", Value: uuid.Must(uuid.NewV7()).String()}
	}
	a, refusal := h.runner.Start(context.Background(), in)
	if refusal != nil {
		return "", refusal
	}
	events, refusal := h.door().Text(a)
	if refusal != nil {
		return "", refusal
	}
	defer events.Close()
	data, _ := io.ReadAll(events)
	return string(data), nil
}

// A reader takes half an answer for the whole one: the engine breaks each
// stream after two tokens. An idempotent request is resumed until it is whole;
// one that may not run again ends with an error and without the end marker.
func TestBrokenStreamIsResumedOrSaidToBeBroken(t *testing.T) {
	threeHosts(t, func(is *is.I, f *fakes, hosts []*fakeHost) {
		for _, e := range f.engines {
			e.cutAfter = 2
		}
		whole, refusal := stream(hosts[0], "m1", "q1")
		is.Equal(refusal, nil)
		is.Equal(strings.Count(whole, "q1 "), fakeTokens)
		is.True(strings.HasSuffix(whole, openai.StreamEnd))

		broken, refusal := stream(hosts[0], "once", "q2")
		is.Equal(refusal, nil)
		is.Equal(strings.Count(broken, "q2 "), 2)
		is.True(strings.Contains(broken, "broken_stream"))
		is.True(!strings.Contains(broken, "[DONE]"))
	})
}
