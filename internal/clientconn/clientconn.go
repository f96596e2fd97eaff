// Package clientconn gives HTTP handlers access to the connection of a request.
package clientconn

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
)

type contextKey struct{}

// ErrUnknown is returned if the context has no TCP connection. The server then lacks Save.
var ErrUnknown = errors.New("the connection of the request is not known")

// Save makes a connection available to the handlers of its requests. It is the ConnContext of an http.Server.
func Save(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// lingerer is implemented by TCP connections.
type lingerer interface {
	SetLinger(seconds int) error
}

// defaultLinger is the value that closes a connection with FIN.
const defaultLinger = -1

// SetReset sets whether the connection of a request is reset instead of closed, also if the process ends. ctx
// is the context of the request.
func SetReset(ctx context.Context, reset bool) error {
	c, ok := ctx.Value(contextKey{}).(lingerer)
	if !ok {
		return ErrUnknown
	}
	linger := defaultLinger
	if reset {
		linger = 0
	}
	return errors.Wrap(c.SetLinger(linger), "set how the client's connection ends")
}
