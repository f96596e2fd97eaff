package completion

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
)

// Tokens travel through the serving path as an event stream: the ID of an event
// is the token's index, so that the path can resume a stream that broke without
// knowing what a token is.
const (
	eventID   = "id: "
	eventData = "\ndata: "
	eventEnd  = "\n\n"
)

// resumeFrom returns the index of the token after the last one delivered.
func resumeFrom(lastEvent string) (int, error) {
	if lastEvent == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(lastEvent)
	return n + 1, errors.Wrap(err, "ID of the last event")
}

func encodeToken(t external.Token) ([]byte, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, errors.Wrap(err, "token")
	}
	return fmt.Appendf(nil, "%s%d%s%s%s", eventID, t.Index, eventData, data, eventEnd), nil
}

// tokenBody is a stream of tokens as the body of an answer. It ends with io.EOF
// after the token that is marked as the last one, and with any other error before.
type tokenBody struct {
	stream external.TokenStream
	// cancel tells the engine to stop; it is called unless the last token came.
	cancel  func()
	pending []byte
	done    bool
}

// Read implements io.Reader.
func (b *tokenBody) Read(p []byte) (int, error) {
	if len(b.pending) == 0 {
		if b.done {
			return 0, io.EOF
		}
		t, err := b.stream.Next()
		if err != nil {
			return 0, err
		}
		b.done = t.Done
		if b.pending, err = encodeToken(t); err != nil {
			return 0, err
		}
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *tokenBody) Close() error {
	if !b.done {
		b.done = true
		go b.cancel()
	}
	return b.stream.Close()
}

// tokenReader turns bytes of an event stream back into tokens.
type tokenReader struct{ pending []byte }

// take returns the tokens that are complete with p.
func (r *tokenReader) take(p []byte) ([]external.Token, error) {
	r.pending = append(r.pending, p...)
	var tokens []external.Token
	for {
		event, rest, found := bytes.Cut(r.pending, []byte(eventEnd))
		if !found {
			return tokens, nil
		}
		_, data, _ := bytes.Cut(event, []byte(eventData))
		var t external.Token
		if err := json.Unmarshal(data, &t); err != nil {
			return nil, errors.Wrap(err, "token")
		}
		tokens = append(tokens, t)
		r.pending = rest
	}
}
