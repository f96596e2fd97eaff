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

// stream returns the body of a streamed completion.
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
	events, refusal := h.callersAPI().Text(a)
	if refusal != nil {
		return "", refusal
	}
	defer events.Close()
	data, _ := io.ReadAll(events)
	return string(data), nil
}

// Guards against a truncated stream that looks complete. Streams of idempotent requests are
// resumed, others end with an error and without the end marker.
func TestBrokenStreamIsResumedOrReported(t *testing.T) {
	withThreeHosts(t, func(is *is.I, f *fakeCluster, hosts []*fakeHost) {
		for _, e := range f.engines {
			e.truncateAfter = 2
		}
		complete, refusal := stream(hosts[0], "m1", "q1")
		is.Equal(refusal, nil)
		is.Equal(strings.Count(complete, "q1 "), fakeTokens)
		is.True(strings.HasSuffix(complete, openai.StreamEnd))

		broken, refusal := stream(hosts[0], "once", "q2")
		is.Equal(refusal, nil)
		is.Equal(strings.Count(broken, "q2 "), 2)
		is.True(strings.Contains(broken, "broken_stream"))
		is.True(!strings.Contains(broken, "[DONE]"))
	})
}
