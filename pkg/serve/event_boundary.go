package serve

import (
	"bytes"
	"slices"
)

// eventBoundary tracks whether a stream of events that is forwarded as it comes has ended an event. The zero
// value stands for an empty stream.
type eventBoundary struct {
	// tail holds the last bytes of the stream, as many as the longest of blankLines.
	tail    []byte
	started bool
	// hasEvent is set once an event is complete.
	hasEvent bool
}

// blankLines are the ways in which the line ends before and of a blank line, which ends an event, can be
// written.
var blankLines = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r"), []byte("\n\r\n"), []byte("\r\r\n")}

const longestBlankLine = 4

// add adds the next bytes of the stream.
func (b *eventBoundary) add(p []byte) {
	if !b.hasEvent {
		b.hasEvent = b.completesEvent(p)
	}
	b.started = b.started || len(bytes.TrimLeft(p, "\r\n")) > 0
	b.tail = append(b.tail, p[max(0, len(p)-longestBlankLine):]...)
	b.tail = b.tail[max(0, len(b.tail)-longestBlankLine):]
}

// completesEvent reports whether the next bytes of the stream complete an event.
func (b *eventBoundary) completesEvent(p []byte) bool {
	joined := slices.Concat(b.tail, p)
	if !b.started {
		joined = bytes.TrimLeft(joined, "\r\n")
	}
	return slices.ContainsFunc(blankLines, func(line []byte) bool { return bytes.Contains(joined, line) })
}

// insideEvent reports whether an event has begun and not ended.
func (b *eventBoundary) insideEvent() bool {
	if !b.started {
		return false
	}
	for _, line := range blankLines {
		if bytes.HasSuffix(b.tail, line) {
			return false
		}
	}
	return true
}
