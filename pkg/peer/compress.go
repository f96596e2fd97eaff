package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// compressors holds unused compressors, which take much memory to create.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		return err
	}
	return w
}}

// compress compresses data.
func compress(data []byte) ([]byte, error) {
	pooled := compressors.Get()
	w, ok := pooled.(*flate.Writer)
	if !ok {
		return nil, errors.Newf("create compressor: %v", pooled)
	}
	defer compressors.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}

// decompress returns at most limit bytes of decompressed data. It returns ErrInvalidMessage if the
// data is malformed or larger.
func decompress(data []byte, limit int) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), int64(limit)+1))
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "decompress %d bytes", len(data)), ErrInvalidMessage)
	}
	if len(out) > limit {
		return nil, errors.Wrapf(ErrInvalidMessage, "%d bytes decompress to more than %d", len(data), limit)
	}
	return out, nil
}
