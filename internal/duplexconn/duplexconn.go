// Package duplexconn tells the regular end of a connection from its loss while the connection is also written.
package duplexconn

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection whose peer ends its direction only after it has received what it needs. Read and Write may be
// called concurrently.
type Conn struct {
	net.Conn
	// writing is held during a write. It guards writeErr, the first error of one.
	writing  sync.Mutex
	writeErr error
}

// New returns a connection that reads from and writes to c. Nothing else may do so.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements io.Reader. It returns io.EOF only if the peer has closed its direction. The kernel reports an error
// that ends the connection once, to a read or to a write, and the end of the data to later reads: the error may have
// gone to a write, which Read therefore ends.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if cause := c.lossBeforeEnd(); cause != nil {
			return n, cause
		}
	}
	return n, err
}

// lossBeforeEnd returns the error that has ended the connection before the peer closed its direction, if a write has
// got it.
func (c *Conn) lossBeforeEnd() error {
	if !c.writing.TryLock() {
		// A write that has got another error returns that one.
		if err := c.SetWriteDeadline(time.Unix(0, 1)); err != nil {
			return err
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	// Linux reports EPIPE for a reset after the end of the data, and ECONNRESET for one before it.
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}
