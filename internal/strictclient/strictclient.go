// Package strictclient makes transports of net/http fail for responses that are broken but that net/http accepts.
package strictclient

import (
	"context"
	"net"
	"net/http"

	"github.com/tealvane/tealvane/internal/duplexconn"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// Transport is a round tripper that returns only valid responses, whose heads have up to upstream.MaxHeadBytes.
type Transport struct {
	transport *http.Transport
}

// Wrap returns a round tripper that uses a transport with a DialContext. The transport must not be in use yet.
func Wrap(t *http.Transport) *Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return duplexconn.New(c), nil
	}
	t.MaxResponseHeaderBytes = upstream.MaxHeadBytes
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := upstream.CheckHead(resp); err != nil {
		_ = resp.Body.Close() // Without reading it, which closes the connection.
		return nil, err
	}
	return resp, nil
}
