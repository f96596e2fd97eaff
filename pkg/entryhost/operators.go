package entryhost

import (
	"bytes"
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/tealvane/tealvane/internal/api/operators"
	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/finding"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

const (
	// maxRequestBytes bounds the body of a request to the operators' API.
	maxRequestBytes   = 4 << 20
	readHeaderTimeout = 10 * time.Second
)

// operatorsAPI implements operators.Handler and operators.SecurityHandler.
type operatorsAPI struct{ host *Host }

func (h *Host) operatorsServer() (*http.Server, error) {
	api := operatorsAPI{h}
	server, err := operators.NewServer(api, api, operators.WithTracerProvider(h.provider), operators.WithErrorHandler(api.writeError))
	if err != nil {
		return nil, err
	}
	return &http.Server{Handler: http.MaxBytesHandler(server, maxRequestBytes), ReadHeaderTimeout: readHeaderTimeout}, nil
}

// statusError is an error with an HTTP status code.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }

func (e *statusError) Unwrap() error { return e.err }

var errOperatorToken = &statusError{http.StatusUnauthorized, errors.New("missing or invalid bearer token for operators")}

// HandleBearer implements operators.SecurityHandler. If no token is configured, the API listens on
// a loopback address only and accepts any token.
func (a operatorsAPI) HandleBearer(ctx context.Context, _ operators.OperationName, t operators.Bearer) (context.Context, error) {
	want := a.host.settings.Operators.TokenSHA256
	if want != "" && subtle.ConstantTimeCompare([]byte(want), contract.TokenDigest(t.Token)) != 1 {
		return ctx, errOperatorToken
	}
	return ctx, nil
}

// NewError implements operators.Handler. It converts an error to a response.
func (a operatorsAPI) NewError(_ context.Context, err error) *operators.ErrorStatusCode {
	out := &operators.ErrorStatusCode{StatusCode: http.StatusBadRequest, Response: operators.Error{Message: err.Error()}}
	var security *ogenerrors.SecurityError
	var status *statusError
	var found finding.List
	switch {
	case errors.As(err, &status):
		out.StatusCode = status.status
	case errors.As(err, &security):
		out.StatusCode = http.StatusUnauthorized
	}
	if errors.As(err, &found) {
		out.StatusCode = http.StatusUnprocessableEntity
		for _, f := range found {
			out.Response.Findings = append(out.Response.Findings, operators.Finding{Line: f.Line, Field: f.Field, Message: f.Message})
		}
	}
	return out
}

func (a operatorsAPI) writeError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	out := a.NewError(ctx, err)
	body, _ := out.Response.MarshalJSON()
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(out.StatusCode)
	_, _ = w.Write(body)
}

// ListContracts implements operators.Handler.
func (a operatorsAPI) ListContracts(context.Context) ([]operators.Contract, error) {
	list := []operators.Contract{}
	for _, customer := range a.host.state.Contracts.Customers() {
		if e, ok := a.host.state.Contracts.Get(customer); ok {
			list = append(list, contractView(e))
		}
	}
	return list, nil
}

func contractView(e state.ContractEntry) operators.Contract {
	return operators.Contract{
		Customer: e.Contract.Customer,
		Version:  int64(e.Version),
		Offset:   int64(e.Offset),
		Document: string(e.Document),
	}
}

// GetContract implements operators.Handler.
func (a operatorsAPI) GetContract(_ context.Context, params operators.GetContractParams) (*operators.Contract, error) {
	e, ok := a.host.state.Contracts.Get(params.Customer)
	if !ok {
		return nil, &statusError{http.StatusNotFound, errors.Newf("no contract for customer %q", params.Customer)}
	}
	out := contractView(e)
	return &out, nil
}

// PublishContract implements operators.Handler. Invalid documents are rejected before they are
// appended. Concurrent publications are resolved when the record is applied, by their base
// version.
func (a operatorsAPI) PublishContract(ctx context.Context, req *operators.Publication, params operators.PublishContractParams) (*operators.Contract, error) {
	c, found := contract.Parse("", []byte(req.Document))
	if err := found.Err(); err != nil {
		return nil, err
	}
	if c.Customer != params.Customer {
		return nil, errors.Newf("the document names customer %q, but was published for %q", c.Customer, params.Customer)
	}
	if err := c.CheckCapacity(a.poolMemory(), a.otherContracts(params.Customer)).Err(); err != nil {
		return nil, err
	}
	out, err := a.host.journal.Append(ctx, record.Record{Contract: &record.Contract{
		Customer: params.Customer,
		Base:     uint64(req.BaseVersion),
		Document: []byte(req.Document),
	}})
	if err != nil {
		return nil, &statusError{http.StatusServiceUnavailable, err}
	}
	if out.Rejected != nil {
		return nil, &statusError{http.StatusConflict, out.Rejected}
	}
	return &operators.Contract{
		Customer: params.Customer,
		Version:  req.BaseVersion + 1,
		Offset:   int64(out.Offset),
		Document: req.Document,
	}, nil
}

// poolMemory returns the total memory of the known endpoints of each pool. It includes pools in
// the platform's host list that no contract uses yet.
func (a operatorsAPI) poolMemory() map[string]int64 {
	sums := map[string]int64{}
	a.host.membersMu.Lock()
	for _, l := range a.host.members.HealthCheckTargets() {
		if l.Pool != "" {
			sums[l.Pool] += 0
		}
	}
	a.host.membersMu.Unlock()
	for name := range sums {
		p := a.host.state.Pools.Get(name)
		if len(p.Endpoints) == 0 {
			sums[name] = unknownMemoryMB
		}
		for _, e := range p.Endpoints {
			if !e.Lost {
				sums[name] += e.MemoryMB
			}
		}
	}
	return sums
}

// unknownMemoryMB is the capacity assumed for a pool whose endpoints have not reported their
// memory.
const unknownMemoryMB = 1 << 40

func (a operatorsAPI) otherContracts(customer string) []*contract.Contract {
	var others []*contract.Contract
	for _, name := range a.host.state.Contracts.Customers() {
		if e, ok := a.host.state.Contracts.Get(name); ok && name != customer {
			others = append(others, e.Contract)
		}
	}
	return others
}

// GetHealth implements operators.Handler.
func (a operatorsAPI) GetHealth(context.Context) (operators.Text, error) {
	return operators.Text{Data: strings.NewReader("ok\n")}, nil
}

// GetReadiness implements operators.Handler.
func (a operatorsAPI) GetReadiness(context.Context) (operators.Text, error) {
	if !a.host.Ready() {
		return operators.Text{}, &statusError{http.StatusServiceUnavailable, errors.New("not ready: the host has not caught up with the log or is stopping")}
	}
	return operators.Text{Data: strings.NewReader("ready\n")}, nil
}

// GetMetrics implements operators.Handler.
func (a operatorsAPI) GetMetrics(ctx context.Context) (operators.Text, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "/metrics", nil)
	if err != nil {
		return operators.Text{}, err
	}
	out := &responseBuffer{header: http.Header{}}
	a.host.metrics.handler.ServeHTTP(out, r)
	return operators.Text{Data: &out.body}, nil
}

// responseBuffer is an http.ResponseWriter that keeps the response in memory.
type responseBuffer struct {
	header http.Header
	body   bytes.Buffer
}

func (w *responseBuffer) Header() http.Header { return w.header }

func (w *responseBuffer) Write(p []byte) (int, error) { return w.body.Write(p) }

func (w *responseBuffer) WriteHeader(int) {}
