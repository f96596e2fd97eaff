package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/record"
)

const (
	// archiveChunk is the maximum number of entries in one archive.
	archiveChunk = 1000
	// maxArchiveBytes bounds the size of an archive after decompression.
	maxArchiveBytes = 32 << 20
)

// Archive is a compressed list of entries as stored.
type Archive []byte

// NewArchives compresses entries into archives of limited size.
func NewArchives(entries []fleet.Entry) ([]Archive, error) {
	var out []Archive
	for len(entries) > 0 {
		n := min(archiveChunk, len(entries))
		data, err := record.Marshal(entries[:n])
		if err != nil {
			return nil, errors.Wrap(err, "encode entries")
		}
		var packed bytes.Buffer
		w, err := flate.NewWriter(&packed, flate.BestSpeed)
		if err != nil {
			return nil, errors.Wrap(err, "compress entries")
		}
		// Writes to a buffer do not fail.
		_, _ = w.Write(data)
		_ = w.Close()
		out = append(out, packed.Bytes())
		entries = entries[n:]
	}
	return out, nil
}

// Entries decompresses an archive. It returns ErrInvalidMessage if the archive is malformed or too
// large.
func (a Archive) Entries() ([]fleet.Entry, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(a)), maxArchiveBytes+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decompress entries"), ErrInvalidMessage)
	}
	if len(data) > maxArchiveBytes {
		return nil, errors.Wrapf(ErrInvalidMessage, "archive of %d bytes exceeds %d bytes", len(a), maxArchiveBytes)
	}
	var out []fleet.Entry
	if err := record.Unmarshal(data, &out); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "decode entries of %d bytes", len(data)), ErrInvalidMessage)
	}
	return out, nil
}
