// Package strictclient makes transports of net/http fail for responses that are broken but that net/http accepts.
package strictclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/tealvane/tealvane/internal/duplexconn"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// Transport is a round tripper that returns only valid responses: no head, of an interim response either, has more than
// upstream.MaxHeadBytes.
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
	resp, err := t.transport.RoundTrip(r.WithContext(checkInterim(r.Context())))
	if err != nil {
		return nil, err
	}
	if err := upstream.CheckHead(resp); err != nil {
		_ = resp.Body.Close() // Without reading it, which closes the connection.
		return nil, err
	}
	return resp, nil
}

// checkInterim returns a context that fails a request for an invalid interim response, or for too many. A transport
// leaves it to such a hook to bound their number.
func checkInterim(ctx context.Context) context.Context {
	received := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if received++; received > upstream.MaxInterimResponses {
				return upstream.ErrHeadTooLong
			}
			return upstream.CheckFieldNames(http.Header(header))
		},
	})
}
