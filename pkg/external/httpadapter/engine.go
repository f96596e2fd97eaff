package httpadapter

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
)

const (
	dialTimeout         = time.Second
	statusTimeout       = time.Second
	cancelTimeout       = time.Second
	maxIdleConnsPerHost = 256
	maxTokenLineBytes   = 1 << 20
)

// Engine is the client of model endpoints and plain services.
type Engine struct {
	client
}

// NewEngine returns a client for all endpoints.
func NewEngine() *Engine {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Engine{newClient(transport)}
}

// Status implements external.Engine.
func (e *Engine) Status(ctx context.Context, addr string) (external.EngineStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var out external.EngineStatus
	err := e.doJSON(ctx, http.MethodGet, addr+"/v1/status", nil, &out)
	return out, errors.Wrap(err, "engine status")
}

// Generate implements external.Engine.
func (e *Engine) Generate(ctx context.Context, addr string, r external.GenerateRequest) (external.TokenStream, error) {
	resp, err := e.send(ctx, http.MethodPost, addr+"/v1/generate", r)
	if status, ok := asStatusError(err); ok && status.code == http.StatusNotFound {
		return nil, errors.Mark(err, external.ErrNotLoaded)
	}
	if err != nil {
		return nil, errors.Wrap(err, "generate")
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxTokenLineBytes)
	return &tokenStream{requestID: r.RequestID, next: r.ResumeFrom, body: resp.Body, lines: lines}, nil
}

// tokenStream verifies that each token belongs to the request and has the next
// index. This detects a late response of another request on a reused connection.
// A stream that ends without the token with Done is truncated.
type tokenStream struct {
	requestID string
	next      int
	body      io.ReadCloser
	lines     *bufio.Scanner
}

// Next implements external.TokenStream.
func (s *tokenStream) Next() (external.Token, error) {
	if !s.lines.Scan() {
		return external.Token{}, errors.Wrapf(external.ErrBroken, "stream ended before its last token: %v", s.lines.Err())
	}
	var t external.Token
	if err := json.Unmarshal(s.lines.Bytes(), &t); err != nil {
		return external.Token{}, errors.Wrapf(external.ErrBroken, "decode token: %v", err)
	}
	if t.RequestID != s.requestID {
		return external.Token{}, errors.Wrapf(external.ErrBroken, "token is for request %q, want %q", t.RequestID, s.requestID)
	}
	if t.Index != s.next {
		return external.Token{}, errors.Wrapf(external.ErrBroken, "token index is %d, want %d", t.Index, s.next)
	}
	s.next++
	return t, nil
}

// Close implements external.TokenStream.
func (s *tokenStream) Close() error { return s.body.Close() }

type cancelRequest struct {
	RequestID string `json:"request_id"`
}

// Cancel implements external.Engine.
func (e *Engine) Cancel(ctx context.Context, addr, requestID string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	err := e.doJSON(ctx, http.MethodPost, addr+"/v1/cancel", cancelRequest{requestID}, nil)
	return errors.Wrap(err, "cancel")
}

// Call implements external.Engine.
func (e *Engine) Call(ctx context.Context, addr string, c external.ServiceCall) (external.ServiceResponse, error) {
	var out external.ServiceResponse
	if err := e.doJSON(ctx, http.MethodPost, addr+"/v1/call", c, &out); err != nil {
		return external.ServiceResponse{}, errors.Wrap(err, "call")
	}
	if out.RequestID != c.RequestID {
		return external.ServiceResponse{}, errors.Wrapf(external.ErrBroken, "response is for request %q, want %q", out.RequestID, c.RequestID)
	}
	return out, nil
}

type cacheEventsResponse struct {
	Events []external.CacheEvent `json:"events"`
}

// CacheEvents implements external.Engine.
func (e *Engine) CacheEvents(ctx context.Context, addr string, from uint64) ([]external.CacheEvent, error) {
	var out cacheEventsResponse
	query := url.Values{"from": {strconv.FormatUint(from, 10)}}
	err := e.doJSON(ctx, http.MethodGet, buildURL(addr, "/v1/cache-events", query), nil, &out)
	return out.Events, errors.Wrap(err, "cache events")
}

type kvCache struct {
	RequestID string `json:"request_id"`
	Data      []byte `json:"data"`
}

// ExportKV implements external.Engine.
func (e *Engine) ExportKV(ctx context.Context, addr, requestID string) ([]byte, error) {
	var out kvCache
	err := e.doJSON(ctx, http.MethodPost, addr+"/v1/kv/export", kvCache{RequestID: requestID}, &out)
	return out.Data, errors.Wrap(err, "export KV cache")
}

// ImportKV implements external.Engine.
func (e *Engine) ImportKV(ctx context.Context, addr, requestID string, data []byte) error {
	err := e.doJSON(ctx, http.MethodPost, addr+"/v1/kv/import", kvCache{requestID, data}, nil)
	return errors.Wrap(err, "import KV cache")
}

type roleRequest struct {
	Role  string        `json:"role"`
	Fence record.Offset `json:"fence"`
}

// SetRole implements external.Engine.
func (e *Engine) SetRole(ctx context.Context, addr, role string, fence record.Offset) error {
	err := e.doJSON(ctx, http.MethodPost, addr+"/v1/orders/role", roleRequest{role, fence}, nil)
	return errors.Wrap(err, "set role")
}
