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

// Tokens pass through package serve as a server-sent event stream. The ID of an
// event is the token's index, so that serve can resume a broken stream without
// decoding tokens.
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
	return n + 1, errors.Wrap(err, "parse the ID of the last event")
}

func encodeToken(t external.Token) ([]byte, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, errors.Wrap(err, "encode token")
	}
	return fmt.Appendf(nil, "%s%d%s%s%s", eventID, t.Index, eventData, data, eventEnd), nil
}

// tokenBody encodes a stream of tokens as a response body. Read returns io.EOF
// only after the token with Done; a stream that breaks earlier returns its error.
type tokenBody struct {
	stream external.TokenStream
	// cancel is called by Close unless the last token was read.
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

// tokenDecoder decodes tokens from an event stream.
type tokenDecoder struct{ pending []byte }

// decode appends p to the input and returns the tokens that are now complete.
func (d *tokenDecoder) decode(p []byte) ([]external.Token, error) {
	d.pending = append(d.pending, p...)
	var tokens []external.Token
	for {
		event, rest, found := bytes.Cut(d.pending, []byte(eventEnd))
		if !found {
			return tokens, nil
		}
		_, data, _ := bytes.Cut(event, []byte(eventData))
		var t external.Token
		if err := json.Unmarshal(data, &t); err != nil {
			return nil, errors.Wrap(err, "decode token")
		}
		tokens = append(tokens, t)
		d.pending = rest
	}
}
