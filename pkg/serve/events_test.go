package serve

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

func drain(in io.Reader) (out []byte, last string, err error) {
	e := &events{in: in}
	for {
		whole, id, err := e.next()
		out = append(out, whole...)
		if id != "" {
			last = id
		}
		if err != nil {
			return out, last, err
		}
	}
}

func TestEventsAreWhole(t *testing.T) {
	is := is.New(t)
	stream := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"
	out, last, err := drain(iotest.OneByteReader(bytes.NewBufferString(stream)))
	is.Equal(string(out), "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n")
	is.Equal(last, "2")
	is.True(errors.Is(err, errPartialEvent))
}

// However a stream is cut into reads, the same bytes go out: all of a complete
// stream, and of one that ends within an event the same whole events. Blank lines
// before the event that broke may belong to either side.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("data\r\n\r\n\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		once, lastOnce, err := drain(bytes.NewReader(stream))
		split, lastSplit, errSplit := drain(iotest.OneByteReader(bytes.NewReader(stream)))
		if err != errSplit {
			t.Fatalf("%v and %v", err, errSplit)
		}
		if err == io.EOF && !bytes.Equal(once, stream) {
			t.Fatalf("%q of a complete stream %q", once, stream)
		}
		if err != io.EOF {
			once, split = bytes.TrimRight(once, "\r\n"), bytes.TrimRight(split, "\r\n")
		}
		if !bytes.HasPrefix(stream, once) {
			t.Fatalf("%q is no prefix of %q", once, stream)
		}
		if !bytes.Equal(once, split) || lastOnce != lastSplit {
			t.Fatalf("%q and %q", once, split)
		}
	})
}
