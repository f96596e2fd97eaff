package httpadapter

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
)

const (
	appendTimeout   = 2 * time.Second
	responseTimeout = 2 * time.Second
)

// defaultTransport returns a transport with the default settings of net/http.
func defaultTransport() *http.Transport { return http.DefaultTransport.(*http.Transport).Clone() }

// Log is the client of one stream of the log service.
type Log struct {
	client
	base string
}

// NewLog returns a client for a stream of the log service at the base URL.
func NewLog(base, stream string) *Log {
	return &Log{newClient(defaultTransport()), base + "/v1/streams/" + url.PathEscape(stream)}
}

type appendRequest struct {
	Data []byte `json:"data"`
}

type appendResponse struct {
	Offset record.Offset `json:"offset"`
}

// Append implements external.Log.
func (l *Log) Append(ctx context.Context, data []byte) (record.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var out appendResponse
	err := l.doJSON(ctx, http.MethodPost, l.base+"/records", appendRequest{data}, &out)
	if status, ok := asStatusError(err); ok && status.code >= 400 && status.code < 500 && status.code != http.StatusTooManyRequests {
		err = errors.Mark(err, external.ErrInvalid)
	}
	return out.Offset, errors.Wrap(err, "append")
}

type readResponse struct {
	Entries []external.Entry `json:"entries"`
}

type trimmedResponse struct {
	First record.Offset `json:"first"`
}

// Read implements external.LogReader.
func (l *Log) Read(ctx context.Context, from record.Offset, limit int, wait time.Duration) ([]external.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var out readResponse
	err := l.doJSON(ctx, http.MethodGet, buildURL(l.base, "/records", query), nil, &out)
	if status, ok := asStatusError(err); ok && status.code == http.StatusGone {
		var trimmed trimmedResponse
		if json.Unmarshal(status.body, &trimmed) == nil {
			return nil, &external.TrimmedError{First: trimmed.First}
		}
	}
	if err != nil {
		return nil, errors.Wrapf(external.ErrUnavailable, "read: %v", err)
	}
	return out.Entries, nil
}

// HostList is the client of the platform's list of hosts.
type HostList struct {
	client
	base string
}

// NewHostList returns a client for the host list at the base URL.
func NewHostList(base string) *HostList { return &HostList{newClient(defaultTransport()), base} }

type listResponse struct {
	Hosts []external.ListedHost `json:"hosts"`
}

// List implements external.HostList.
func (h *HostList) List(ctx context.Context) ([]external.ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	var out listResponse
	err := h.doJSON(ctx, http.MethodGet, h.base+"/v1/hosts", nil, &out)
	return out.Hosts, errors.Wrap(err, "list hosts")
}

// WeightStore is the client of the weight store.
type WeightStore struct {
	client
	base string
}

// NewWeightStore returns a client for the weight store at the base URL.
func NewWeightStore(base string) *WeightStore {
	return &WeightStore{newClient(defaultTransport()), base}
}

// Limits implements external.WeightStore.
func (w *WeightStore) Limits(ctx context.Context) (external.StoreLimits, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	var out external.StoreLimits
	err := w.doJSON(ctx, http.MethodGet, w.base+"/v1/limits", nil, &out)
	return out, errors.Wrap(err, "get limits of the weight store")
}
