package peer

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/record"
)

// ErrInvalidMessage means that a message is too large or malformed.
var ErrInvalidMessage = errors.New("invalid peer message")

const (
	frameHeaderBytes = 4
	// compressedFlag is set in the length of a frame whose body is compressed.
	compressedFlag = 1 << 31
	// minCompressedBytes is the size from which bodies are compressed.
	minCompressedBytes = 2 << 10
)

func writeFrame(w io.Writer, v any) error {
	body, err := record.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode peer message")
	}
	if len(body) > maxMessageBytes {
		return errors.Wrapf(ErrInvalidMessage, "encoded size %d bytes, limit %d", len(body), maxMessageBytes)
	}
	length := uint32(len(body))
	if len(body) >= minCompressedBytes {
		packed, err := compress(body)
		if err != nil {
			return err
		}
		if len(packed) < len(body) {
			body, length = packed, uint32(len(packed))|compressedFlag
		}
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeaderBytes+len(body)), length)
	_, err = w.Write(append(frame, body...))
	return err
}

// readFrame reads one message. It returns io.EOF if the stream ends before the message starts.
func readFrame(r io.Reader, v any) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(header[:])
	size := length &^ compressedFlag
	if size > maxMessageBytes {
		return errors.Wrapf(ErrInvalidMessage, "body size %d bytes, limit %d", size, maxMessageBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return errors.Wrapf(ErrInvalidMessage, "read body of %d bytes: %v", size, err)
	}
	if length&compressedFlag != 0 {
		var err error
		if body, err = decompress(body, maxMessageBytes); err != nil {
			return err
		}
	}
	if err := record.Unmarshal(body, v); err != nil {
		return errors.Wrapf(ErrInvalidMessage, "decode body of %d bytes: %v", size, err)
	}
	return nil
}
