// Package httpadapter meets the outside systems over HTTP and JSON.
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
	"github.com/tealvane/tealvane/pkg/external"
	"go.opentelemetry.io/otel/propagation"
)

const (
	// maxAnswerBytes bounds an answer that is read whole.
	maxAnswerBytes = 16 << 20
	maxErrorBytes  = 4 << 10
	// maxPause bounds a pause that an endpoint asks for.
	maxPause = 24 * time.Hour
)

// client is the common part of the adapters.
type client struct {
	http *http.Client
}

// newClient returns a client that never follows a redirect: a call must reach
// the system it was meant for, once.
func newClient(transport http.RoundTripper) client {
	return client{http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// call sends in as JSON and decodes the answer into out; either may be nil.
func (c client) call(ctx context.Context, method, target string, in, out any) error {
	resp, err := c.send(ctx, method, target, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	// Read to the end, so that the connection can be used again.
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err == nil && out != nil {
		err = json.Unmarshal(answer, out)
	}
	if err != nil {
		return errors.Wrapf(external.ErrUnavailable, "%s %s: %v", method, target, err)
	}
	return nil
}

// send returns the response to a call when its status is 2xx. The error wraps
// ErrRejected when the call certainly had no effect: no connection was made,
// or the other side said so with a 4xx status.
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
	// No Idempotency-Key is ever sent on: net/http repeats a POST that carries
	// one on its own when the connection breaks, and the request runs twice.
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
	return nil, statusError(resp)
}

// statusCode is an answer with a status outside 2xx.
type statusCode struct {
	code int
	body []byte
}

func (e *statusCode) Error() string { return http.StatusText(e.code) + ": " + string(e.body) }

func statusError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	status := &statusCode{resp.StatusCode, bytes.TrimSpace(body)}
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		rejected := errors.Mark(status, external.ErrRejected)
		if p := pause(resp); p > 0 {
			return &external.PauseError{Pause: p, Cause: rejected}
		}
		return rejected
	}
	return errors.Mark(status, external.ErrUnavailable)
}

// pause is for how long an answer asks for no further call, 0 for not at all. A date in place of
// seconds is left out: clocks differ.
func pause(resp *http.Response) time.Duration {
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || s < 0 || resp.StatusCode != http.StatusTooManyRequests {
		return 0
	}
	return min(time.Duration(min(s, math.MaxInt32))*time.Second, maxPause)
}

func statusOf(err error) (*statusCode, bool) {
	var status *statusCode
	ok := errors.As(err, &status)
	return status, ok
}

func join(base, path string, query url.Values) string {
	target := base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	return target
}
