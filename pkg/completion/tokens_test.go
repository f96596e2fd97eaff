package completion

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/proptest"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/serve"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { proptest.Main(m, 300, 30) }

// fixedStream returns its tokens and then external.ErrBroken.
type fixedStream struct {
	tokens []external.Token
	closed bool
}

// Next implements external.TokenStream.
func (s *fixedStream) Next() (external.Token, error) {
	if len(s.tokens) == 0 {
		return external.Token{}, external.ErrBroken
	}
	t := s.tokens[0]
	s.tokens = s.tokens[1:]
	return t, nil
}

// Close implements external.TokenStream.
func (s *fixedStream) Close() error {
	s.closed = true
	return nil
}

// Guards against tokens that are split or lost when their text contains event
// separators or the event stream is read in chunks of any size.
func TestTokenEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []external.Token
		for i, text := range rapid.SliceOfN(rapid.String(), 0, 6).Draw(t, "texts") {
			want = append(want, external.Token{RequestID: "r", Index: i, Text: text + "\n\nid: 9\n\n"})
		}
		want = append(want, external.Token{RequestID: "r", Index: len(want), Done: true, Reason: "stop"})
		body := &tokenBody{stream: &fixedStream{tokens: append([]external.Token(nil), want...)}}
		var decoder tokenDecoder
		var got []external.Token
		for {
			buf := make([]byte, rapid.IntRange(1, 64).Draw(t, "read"))
			n, err := body.Read(buf)
			tokens, decodeErr := decoder.decode(buf[:n])
			if decodeErr != nil {
				t.Fatal(decodeErr)
			}
			got = append(got, tokens...)
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if len(got) != len(want) {
			t.Fatalf("decoded %d tokens, want %d", len(got), len(want))
		}
		for i := range want {
			if got[i] != want[i] {
				t.Fatalf("token %d is %+v, want %+v", i, got[i], want[i])
			}
		}
	})
}

// Guards against a broken engine stream that reads as complete, and against a
// close that cancels the request at the engine more than once or not at all.
func TestTokenBodyReturnsErrorOnBrokenStream(t *testing.T) {
	is := is.New(t)
	canceled := make(chan struct{}, 2)
	stream := &fixedStream{tokens: []external.Token{{Text: "a"}}}
	body := &tokenBody{stream: stream, cancel: func() { canceled <- struct{}{} }}
	_, err := io.ReadAll(body)
	is.True(errors.Is(err, external.ErrBroken))
	is.NoErr(body.Close())
	is.NoErr(body.Close())
	<-canceled
	is.True(stream.closed)
	is.Equal(len(canceled), 0)
}

// Guards against a "not run" refusal for a call that an endpoint may have run:
// the NotRun flag of package serve takes precedence over the detail.
func TestConvertRefusalPreservesNotRun(t *testing.T) {
	detail := NotRun("log_unavailable", 0, "the log is down")
	for _, c := range []struct {
		name   string
		in     serve.Refusal
		notRun bool
	}{
		{"queue too long", serve.Refusal{Cause: "queue_too_long", NotRun: true}, true},
		{"queue too long after a run", serve.Refusal{Cause: "queue_too_long"}, false},
		{"idempotency key", serve.Refusal{Cause: causeKey, NotRun: true, Detail: detail}, true},
		{"idempotency key after a run", serve.Refusal{Cause: causeKey, Detail: detail}, false},
		{"key held by another attempt", serve.Refusal{Cause: causeKey, Detail: OutcomeUnknown("taken")}, false},
		{"broken response", serve.Refusal{Cause: serve.CauseBroken, Detail: context.Canceled}, false},
		{"rejected by all endpoints", serve.Refusal{Cause: serve.CauseNoRoom, NotRun: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := convertRefusal(c.in)
			is.Equal(got.NotRun(), c.notRun)
			is.True(!got.NotRun() || got.RetryAfter > 0)
			is.True(got.Message != "")
		})
	}
}
