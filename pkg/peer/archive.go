package peer

import (
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
		packed, err := compress(data)
		if err != nil {
			return nil, err
		}
		out = append(out, packed)
		entries = entries[n:]
	}
	return out, nil
}

// Entries decompresses an archive. It returns ErrInvalidMessage if the archive is malformed or too
// large.
func (a Archive) Entries() ([]fleet.Entry, error) {
	data, err := decompress(a, maxArchiveBytes)
	if err != nil {
		return nil, err
	}
	var out []fleet.Entry
	if err := record.Unmarshal(data, &out); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "decode entries of %d bytes", len(data)), ErrInvalidMessage)
	}
	return out, nil
}
