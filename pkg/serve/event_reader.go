package serve

import (
	"bytes"
	"errors"
	"io"
)

// errPartialEvent is returned when a stream ends within an event or an event exceeds
// maxEventBytes.
var errPartialEvent = errors.New("stream ended within an event")

// maxEventBytes limits the size of one event of a stream. With the growth of its buffer, an event that does
// not end takes less than 1 MiB.
const maxEventBytes = 512 << 10

// eventReader splits a stream into complete events, so that a broken stream can be resumed at
// another endpoint after the last delivered event.
type eventReader struct {
	src     io.Reader
	pending []byte
	// searched is the length of the start of pending in which no event ends.
	searched int
	buf      [4 << 10]byte
}

// next returns the complete events read so far and the last ID among them. At the end of a
// complete stream it returns io.EOF. If the stream ends within an event or an event is too long,
// it returns errPartialEvent.
func (e *eventReader) next() (complete []byte, lastID string, err error) {
	for {
		if end := e.findEnd(); end > 0 {
			complete = bytes.Clone(e.pending[:end])
			e.pending = append(e.pending[:0], e.pending[end:]...)
			return complete, lastEventID(complete), nil
		}
		if len(e.pending) > maxEventBytes {
			return nil, "", errPartialEvent
		}
		n, err := e.src.Read(e.buf[:])
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
		// Trailing line ends are part of the body and are passed on.
		complete, e.pending, e.searched = e.pending, nil, 0
		return complete, "", nil
	}
}

// findEnd returns the length of the complete events in pending. It searches each byte once, however small the
// reads are.
func (e *eventReader) findEnd() int {
	from := max(0, e.searched-(longestBlankLine-1))
	end := lastEventEnd(e.pending[from:])
	if end > 0 {
		end += from
	}
	e.searched = len(e.pending) - end
	return end
}

// lastEventEnd returns the length of the complete events at the start of p.
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

// lastEventID returns the last event ID in events that is not empty, or an empty string if there is none.
func lastEventID(events []byte) string {
	id := ""
	for _, line := range bytes.Split(events, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		rest, ok := bytes.CutPrefix(line, []byte("id:"))
		if value := bytes.TrimPrefix(rest, []byte(" ")); ok && len(value) > 0 {
			id = string(value)
		}
	}
	return id
}
