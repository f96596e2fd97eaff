package serve

import (
	"bytes"
	"errors"
	"io"
)

// errPartialEvent means that a stream ended within an event.
var errPartialEvent = errors.New("stream ended within an event")

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// events splits a stream into whole events, so that a stream that breaks can go
// on at another endpoint after the last event that was delivered.
type events struct {
	in      io.Reader
	pending []byte
	buf     [4 << 10]byte
}

// next returns whole events that have come, with the ID of the last one that
// has any. At the end of a complete stream it returns io.EOF; bytes that belong
// to no whole event are an error then.
func (e *events) next() (whole []byte, lastID string, err error) {
	for {
		if end := lastEventEnd(e.pending); end > 0 {
			whole = bytes.Clone(e.pending[:end])
			e.pending = append(e.pending[:0], e.pending[end:]...)
			return whole, lastEventID(whole), nil
		}
		if len(e.pending) > maxEventBytes {
			return nil, "", errPartialEvent
		}
		n, err := e.in.Read(e.buf[:])
		e.pending = append(e.pending, e.buf[:n]...)
		if err == nil || lastEventEnd(e.pending) > 0 {
			continue
		}
		if !errors.Is(err, io.EOF) || len(e.pending) == 0 {
			return nil, "", err
		}
		if len(bytes.TrimSpace(e.pending)) > 0 {
			return nil, "", errPartialEvent
		}
		// Line ends after the last event are part of the body: without them the
		// client would get less than the endpoint sent.
		whole, e.pending = e.pending, nil
		return whole, "", nil
	}
}

// lastEventEnd is the length of the whole events at the start of p.
func lastEventEnd(p []byte) int {
	lf := bytes.LastIndex(p, []byte("\n\n"))
	crlf := bytes.LastIndex(p, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && crlf+2 > lf:
		return crlf + 4
	case lf >= 0:
		return lf + 2
	default:
		return 0
	}
}

// lastEventID returns the last ID among whole events, empty without one.
func lastEventID(whole []byte) string {
	id := ""
	for _, line := range bytes.Split(whole, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(rest, []byte(" ")))
		}
	}
	return id
}
