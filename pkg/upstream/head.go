package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// MaxHeadBytes bounds what is read for the head of a response, with the interim responses before it.
const MaxHeadBytes = 64 << 10

// ErrHeadTooLong is returned if an endpoint sends MaxHeadBytes, or MaxInterimResponses, without a complete
// head of a response.
var ErrHeadTooLong = errors.New("head of the response is too long")

// ErrMalformedHead is returned if an endpoint sends something else than a response of HTTP/1.
var ErrMalformedHead = errors.New("head of the response is malformed")

// isInterim reports whether a response with a status precedes another one.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckHead returns an error marked ErrMalformedHead if a response, which no request has asked to be a switch of
// protocols, is not a final one of HTTP/1. net/http reads any number of three digits as a status.
func CheckHead(r *http.Response) error {
	if r.StatusCode < http.StatusOK {
		return errors.Wrapf(ErrMalformedHead, "status %03d", r.StatusCode)
	}
	return CheckFieldNames(r.Header)
}

// CheckFieldNames returns an error marked ErrMalformedHead if a name is not valid. net/http accepts names with blanks,
// and ignores such a field where it frames the body.
func CheckFieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrap(ErrMalformedHead, "invalid field name")
		}
	}
	return nil
}

// headError returns the error of a failed read of a head without the bytes that were read, which would
// be logged with it.
func (l *headLimiter) headError(err error) error {
	if l.srcErr != nil {
		// net/textproto takes what came of the last line for a whole one.
		return errors.Wrap(l.srcErr, "head of the response is incomplete")
	}
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrHeadTooLong) || errors.As(err, &network) {
		return err
	}
	return ErrMalformedHead
}

// headLimiter bounds the bytes read from a connection while a head is read. net/http sets no bound.
type headLimiter struct {
	src io.Reader
	// limited is set while a head is read, of which up to remaining further bytes are read.
	limited   bool
	remaining int
	// srcErr is the error that has ended the connection within the head.
	srcErr error
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.src.Read(p)
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.src.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if l.srcErr == nil {
		l.srcErr = err
	}
	return n, err
}

// begin starts a head, of which buffered bytes may have been read already.
func (l *headLimiter) begin(buffered *bufio.Reader) {
	l.limited, l.remaining = true, MaxHeadBytes-buffered.Buffered()
}

// bytesRead returns how many bytes were read for the current or last head.
func (l *headLimiter) bytesRead() int { return MaxHeadBytes - l.remaining }

// end ends a head; the body after it has no limit.
func (l *headLimiter) end() { l.limited = false }
