// Package httpadapter implements the interfaces of package external with JSON over
// HTTP.
package httpadapter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/strictclient"
	"github.com/tealvane/tealvane/pkg/bodybudget"
	"github.com/tealvane/tealvane/pkg/external"
	"go.opentelemetry.io/otel/propagation"
)

const (
	maxResponseBytes = 16 << 20
	// maxSystemBytes bounds the memory of the responses of one system that are read at once.
	maxSystemBytes = 64 << 20
	maxErrorBytes  = 4 << 10
	// maxRetryAfter caps the value of Retry-After.
	maxRetryAfter = 24 * time.Hour
)

// client is the HTTP client that the adapters share.
type client struct {
	http *http.Client
	// bodies holds the memory for the responses of each system, by its address.
	bodies *bodybudget.Keyed
}

// newClient returns a client that does not follow redirects, so that a call
// reaches only the addressed system. The transport must not be in use yet.
func newClient(transport *http.Transport) client {
	return client{http: &http.Client{
		Transport:     strictclient.Wrap(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}, bodies: bodybudget.NewKeyed(maxSystemBytes)}
}

// doJSON sends in as JSON and decodes the response into out. Either may be nil.
func (c client) doJSON(ctx context.Context, method, target string, in, out any) error {
	resp, err := c.send(ctx, method, target, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := c.decode(resp, out); err != nil {
		return errors.Wrapf(external.ErrUnavailable, "%s %s: %v", method, target, err)
	}
	return nil
}

// errTooLong is returned for a response of more than maxResponseBytes.
var errTooLong = errors.New("response is too long")

// decode decodes a response into out, which may be nil. The response is read to its end, so that the connection can be
// reused.
func (c client) decode(resp *http.Response, out any) error {
	if resp.ContentLength > maxResponseBytes {
		return errTooLong
	}
	limited := io.LimitReader(resp.Body, maxResponseBytes)
	if out == nil {
		_, err := io.Copy(io.Discard, limited)
		return err
	}
	data, release, err := c.bodies.Read(resp.Request.URL.Host, limited, resp.ContentLength)
	if err != nil {
		return err
	}
	defer release()
	return json.Unmarshal(data, out)
}

// send returns the response to a call if its status is 2xx. The error wraps
// ErrRejected if the call certainly had no effect: no connection was established,
// or the status is 4xx.
func (c client) send(ctx context.Context, method, target string, in any) (*http.Response, error) {
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrapf(external.ErrRejected, "encode request: %v", err)
		}
		body = encoded
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(external.ErrRejected, "%v", err)
	}
	// Do not set Idempotency-Key: net/http retries a POST that has one when the
	// connection breaks, and the request would run twice.
	req.Header.Set("Content-Type", "application/json")
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, errors.Wrapf(external.ErrRefused, "%v", err)
		}
		if !connected.Load() {
			return nil, errors.Wrapf(external.ErrRejected, "%v", err)
		}
		return nil, errors.Wrapf(external.ErrUnavailable, "%v", err)
	}
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, newStatusError(resp)
}

// statusError is a response with a status other than 2xx.
type statusError struct {
	code int
	body []byte
}

func (e *statusError) Error() string { return http.StatusText(e.code) + ": " + string(e.body) }

func newStatusError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	status := &statusError{resp.StatusCode, bytes.TrimSpace(body)}
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		rejected := errors.Mark(status, external.ErrRejected)
		if p := parseRetryAfter(resp); p > 0 {
			return &external.RetryAfterError{RetryAfter: p, Cause: rejected}
		}
		return rejected
	}
	return errors.Mark(status, external.ErrUnavailable)
}

// parseRetryAfter returns the Retry-After of a 429 response, or 0. The date form of
// the header is ignored because clocks may differ.
func parseRetryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 || resp.StatusCode != http.StatusTooManyRequests {
		return 0
	}
	return min(time.Duration(min(seconds, math.MaxInt32))*time.Second, maxRetryAfter)
}

func asStatusError(err error) (*statusError, bool) {
	var status *statusError
	ok := errors.As(err, &status)
	return status, ok
}

func buildURL(base, path string, query url.Values) string {
	target := base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	return target
}
