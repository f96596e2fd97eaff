package peer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/record"
)

// Guards against a list of endpoints that is too large for one message, and against sending
// several times more bytes than needed.
func TestArchivesHoldAllEntries(t *testing.T) {
	is := is.New(t)
	const endpoints = 2*archiveChunk + 1
	entries := make([]fleet.Entry, endpoints)
	size := 0
	for i := range entries {
		value := fmt.Appendf(nil, `{"service":"s","address":"10.0.%d.%d:8080","zone":"a","version":"v1","slots":16,"state":"ready","cold-remaining-ms":0,"models":[{"name":"m%d","version":1,"adapters":[]}],"sequence":4}`, i/250, i%250, i%264)
		entries[i] = fleet.Entry{Key: fmt.Sprint("e", i), Value: value, Offset: fleet.Position(i)}
		size += len(value)
	}
	archives, err := NewArchives(entries)
	is.NoErr(err)
	is.Equal(len(archives), 3)
	var got []fleet.Entry
	packed := 0
	for _, a := range archives {
		part, err := a.Entries()
		is.NoErr(err)
		got = append(got, part...)
		packed += len(a)
	}
	is.Equal(got, entries)
	is.True(packed < size/3)
}

// Guards against a message that decompresses to more than the memory of a host.
func TestArchiveSizeIsBounded(t *testing.T) {
	is := is.New(t)
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestCompression)
	is.NoErr(err)
	zeros := make([]byte, 1<<20)
	for range maxArchiveBytes>>20 + 2 {
		_, err := w.Write(zeros)
		is.NoErr(err)
	}
	is.NoErr(w.Close())
	_, err = Archive(packed.Bytes()).Entries()
	is.True(errors.Is(err, ErrInvalidMessage))
}

// Guards against a crash by a malformed archive.
func FuzzArchive(f *testing.F) {
	archives, err := NewArchives([]fleet.Entry{{Key: "e", Value: []byte("v"), Offset: 7}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(archives[0]))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Archive(data).Entries(); err != nil && !errors.Is(err, ErrInvalidMessage) {
			t.Errorf("unexpected error: %v", err)
		}
	})
}

// Guards against long lists in messages taking several times the bytes that they need between
// availability zones.
func TestLargeMessagesAreCompressed(t *testing.T) {
	is := is.New(t)
	sent := Response{Notice: &fleet.Notice{Token: 1}}
	for i := range 1000 {
		sent.Notice.Endpoints = append(sent.Notice.Endpoints, fleet.Placement{Endpoint: fleet.EndpointID(fmt.Sprintf("i-%x@17730021224%d", i*7919, i%1000)), Models: []fleet.ModelPlacement{{Model: fmt.Sprint("model", i%264)}, {Model: fmt.Sprint("model", i*31%264)}}})
	}
	plain, err := record.Marshal(sent)
	is.NoErr(err)
	var wire bytes.Buffer
	is.NoErr(writeFrame(&wire, sent))
	is.True(wire.Len() < len(plain)/2)
	var got Response
	is.NoErr(readFrame(&wire, &got))
	is.Equal(got, sent)
}

// Guards against a small frame that decompresses to more than a message may have.
func TestFrameSizeIsBounded(t *testing.T) {
	is := is.New(t)
	packed, err := compress(make([]byte, maxMessageBytes+1))
	is.NoErr(err)
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(packed))|compressedFlag)
	var got Response
	is.True(errors.Is(readFrame(bytes.NewReader(append(frame, packed...)), &got), ErrInvalidMessage))
}
