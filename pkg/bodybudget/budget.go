// Package bodybudget bounds the memory that the bodies of all requests of a host take together. It does no I/O
// apart from the reader that it is given.
package bodybudget

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrExhausted is returned for a body that does not fit beside those of the other requests.
var ErrExhausted = errors.New("no memory for the body")

// firstBuffer is the size of the first buffer, in bytes, for a body of unknown length.
const firstBuffer = 16 << 10

// Budget counts the memory of bodies in bytes. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu             sync.Mutex
	used, rejected int64
}

// New returns a budget of limit bytes, or one without a bound if limit is 0.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes in use and the number of bodies that did not fit so far.
func (b *Budget) Used() (bytes, rejected int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.rejected
}

func (b *Budget) take(bytes int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && bytes > b.limit-b.used {
		b.rejected++
		return ErrExhausted
	}
	b.used += bytes
	return nil
}

func (b *Budget) put(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}

// Read reads a body of a length, or of unknown length if it is negative, and returns it with a function that
// gives its memory back. If it does not fit, the error is ErrExhausted: at once where the length is known.
func (b *Budget) Read(src io.Reader, length int64) (body []byte, release func(), err error) {
	if length < 0 {
		return b.readAll(src)
	}
	if err := b.take(length); err != nil {
		return nil, nil, err
	}
	body = make([]byte, length)
	if _, err := io.ReadFull(src, body); err != nil {
		b.put(length)
		return nil, nil, err
	}
	return body, func() { b.put(length) }, nil
}

// readAll reads a body of unknown length. While its buffer grows, the former one takes memory too.
func (b *Budget) readAll(src io.Reader) (body []byte, release func(), err error) {
	if err := b.take(firstBuffer); err != nil {
		return nil, nil, err
	}
	size := int64(firstBuffer)
	buf := make([]byte, 0, size)
	for {
		n, err := src.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, func() { b.put(size) }, nil
		}
		if err == nil && len(buf) == cap(buf) {
			err = b.take(2 * size)
			if err == nil {
				buf = append(make([]byte, 0, 2*size), buf...)
				b.put(size)
				size *= 2
			}
		}
		if err != nil {
			b.put(size)
			return nil, nil, err
		}
	}
}
