// Package strictclient makes transports of net/http fail for responses that are broken but that net/http accepts.
package strictclient

import (
	"context"
	"net"
	"net/http"

	"github.com/tealvane/tealvane/internal/duplexconn"
)

// Wrap returns a round tripper that uses a transport with a DialContext. The transport must not be in use yet.
func Wrap(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return duplexconn.New(c), nil
	}
	return t
}
