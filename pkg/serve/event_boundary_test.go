package serve

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against taking a stream that ends within an event for a complete one, and the reverse.
func TestInsideEvent(t *testing.T) {
	for stream, want := range map[string]bool{
		"":                              false,
		"\n":                            false,
		"\r\n":                          false,
		"id: 1\nda":                     true,
		"id: 1\ndata: a":                true,
		"id: 1\ndata: a\n":              true,
		"id: 1\r\ndata: a\r\n":          true,
		"id: 1\r\ndata: a\r\n\r":        true,
		"id: 1\ndata: a\n\n":            false,
		"id: 1\r\ndata: a\r\n\r\n":      false,
		"id: 1\rdata: a\r\r":            false,
		"id: 1\ndata: a\n\r\n":          false,
		"id: 1\ndata: a\n\n\n\n":        false,
		"id: 1\ndata: a\n\nid: 2\n":     true,
		"id: 1\ndata: a\n\n: comment\n": true,
	} {
		t.Run(stream, func(t *testing.T) {
			is := is.New(t)
			var once, split eventBoundary
			once.add([]byte(stream))
			for i := range len(stream) {
				split.add([]byte(stream[i : i+1]))
			}
			is.Equal(once.insideEvent(), want)
			is.Equal(split.insideEvent(), want)
		})
	}
}
