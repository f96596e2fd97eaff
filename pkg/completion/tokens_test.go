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

// fixedStream yields given tokens and then an error.
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

// A model writes an empty line, and a reader of its answer gets the rest of the
// token as if it were another event, or loses it: tokens of any text have to
// come out as they went in, however the bytes are cut on their way.
func TestTokensSurviveTheEventStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []external.Token
		for i, text := range rapid.SliceOfN(rapid.String(), 0, 6).Draw(t, "texts") {
			want = append(want, external.Token{RequestID: "r", Index: i, Text: text + "\n\nid: 9\n\n"})
		}
		want = append(want, external.Token{RequestID: "r", Index: len(want), Done: true, Reason: "stop"})
		body := &tokenBody{stream: &fixedStream{tokens: append([]external.Token(nil), want...)}}
		var in tokenReader
		var got []external.Token
		for {
			buf := make([]byte, rapid.IntRange(1, 64).Draw(t, "read"))
			n, err := body.Read(buf)
			tokens, decodeErr := in.take(buf[:n])
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
			t.Fatalf("%d tokens, %d were sent", len(got), len(want))
		}
		for i := range want {
			if got[i] != want[i] {
				t.Fatalf("%+v instead of %+v", got[i], want[i])
			}
		}
	})
}

// An engine breaks its stream off. The body must not end as if it were whole,
// and an engine whose answer is given up must be told, once.
func TestUnfinishedStreamIsNoEnd(t *testing.T) {
	is := is.New(t)
	told := make(chan struct{}, 2)
	stream := &fixedStream{tokens: []external.Token{{Text: "a"}}}
	body := &tokenBody{stream: stream, cancel: func() { told <- struct{}{} }}
	_, err := io.ReadAll(body)
	is.True(errors.Is(err, external.ErrBroken))
	is.NoErr(body.Close())
	is.NoErr(body.Close())
	<-told
	is.True(stream.closed)
	is.Equal(len(told), 0)
}

// A caller is told "not run" of a call that an endpoint may have run, and sends
// it once more: whatever the queue says, the serving path's word counts.
func TestRefusalsKeepTheirPromise(t *testing.T) {
	detail := NotRun("log_unavailable", 0, "the log is down")
	for _, c := range []struct {
		name   string
		in     serve.Refusal
		notRun bool
	}{
		{"the queue's", serve.Refusal{Cause: "queue_too_long", NotRun: true}, true},
		{"the same after a run", serve.Refusal{Cause: "queue_too_long"}, false},
		{"of the key", serve.Refusal{Cause: causeKey, NotRun: true, Detail: detail}, true},
		{"of the key after a run", serve.Refusal{Cause: causeKey, Detail: detail}, false},
		{"another attempt may run", serve.Refusal{Cause: causeKey, Detail: OutcomeUnknown("taken")}, false},
		{"a broken answer", serve.Refusal{Cause: serve.CauseBroken, Detail: context.Canceled}, false},
		{"all endpoints rejected it", serve.Refusal{Cause: serve.CauseNoRoom, NotRun: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := refusalOf(c.in)
			is.Equal(got.NotRun(), c.notRun)
			is.True(!got.NotRun() || got.RetryAfter > 0)
			is.True(got.Message != "")
		})
	}
}
