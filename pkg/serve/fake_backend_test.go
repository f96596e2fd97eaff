package serve_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/retry"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/signals"
	"go.opentelemetry.io/otel/trace/noop"
)

var errReset = errors.New("connection reset")

// script is the behavior of an endpoint for one request.
type script struct {
	class  serve.ResponseClass
	status int
	// notSent fails before the request is sent, lost fails after it has run.
	notSent, lost bool
	// signals is reported with the response.
	signals signals.Response
	// pause is requested with a response that cannot be forwarded.
	pause time.Duration
	// unreachable fails because no connection can be made.
	unreachable bool
	// hang sends no response until the request is canceled.
	hang bool
	// events is the number of events of a stream. broken is the number of events after which
	// the stream breaks off, or negative to send all of them.
	events, broken int
	// framing is that of the response. endsInside ends the stream with a part of an event.
	framing    serve.Framing
	endsInside bool
	// latency passes before the response.
	latency time.Duration
	// size, if not 0, is the size of a plain body in bytes, which breaks off after breakAt bytes
	// unless breakAt is negative.
	size, breakAt int
}

// fakeBackend is a Backend and a Placement with scripted endpoints.
type fakeBackend struct {
	mu      sync.Mutex
	scripts map[fleet.EndpointID][]script
	// runs holds the endpoints that ran each request, in order.
	runs  map[string][]fleet.EndpointID
	sends []serve.Send
	// canceled counts runs that the host canceled.
	canceled int
	// status is what endpoints report for a request without a response.
	status serve.RunStatus
	ready  []fleet.Endpoint
	// otherModels is set if there are endpoints of all versions, with other models.
	otherModels bool
	// loadsModel is set if an endpoint without the model can load it from a copy.
	loadsModel  bool
	readyAt     time.Time
	coldReadyAt time.Time
}

func newFakeBackend(ids ...string) *fakeBackend {
	b := &fakeBackend{scripts: map[fleet.EndpointID][]script{}, runs: map[string][]fleet.EndpointID{}}
	for _, id := range ids {
		b.ready = append(b.ready, fleet.Endpoint{ID: fleet.EndpointID(id), Slots: 8})
	}
	b.status = serve.RunStatus{Active: true}
	return b
}

// setScript sets the behavior of an endpoint for its next requests. After them it responds with
// status 200.
func (b *fakeBackend) setScript(id string, s ...script) { b.scripts[fleet.EndpointID(id)] = s }

// Find implements serve.Placement.
func (b *fakeBackend) Find(_ time.Time, n serve.Need) serve.Location {
	b.mu.Lock()
	defer b.mu.Unlock()
	ready := slices.DeleteFunc(slices.Clone(b.ready), func(e fleet.Endpoint) bool { return !n.Version.Allows(e) })
	return serve.Location{Ready: ready, ReadyAt: b.readyAt, ColdReadyAt: b.coldReadyAt, LoadsModel: b.loadsModel && len(ready) == 0, HasEndpoints: len(ready) > 0 || !n.Version.Set || b.otherModels}
}

func (b *fakeBackend) setReady(ids ...string) {
	other := newFakeBackend(ids...)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = other.ready
}

func (b *fakeBackend) next(r *serve.Request, s serve.Send) script {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sends = append(b.sends, s)
	sc := script{status: 200, broken: -1}
	if list := b.scripts[s.Endpoint.ID]; len(list) > 0 {
		sc = list[0]
		b.scripts[s.Endpoint.ID] = list[1:]
	}
	if sc.status == 0 {
		sc.status = 200
	}
	if !sc.notSent && !sc.unreachable && sc.class == serve.Completed {
		b.runs[r.ID] = append(b.runs[r.ID], s.Endpoint.ID)
	}
	return sc
}

// Send implements serve.Backend.
func (b *fakeBackend) Send(ctx context.Context, r *serve.Request, s serve.Send) (*serve.Response, error) {
	sc := b.next(r, s)
	if sc.unreachable {
		return nil, fmt.Errorf("%w: %w", serve.ErrNotSent, serve.ErrUnreachable)
	}
	if sc.notSent {
		return nil, fmt.Errorf("%w: refused", serve.ErrNotSent)
	}
	if sc.hang {
		sc.latency = time.Hour
	}
	select {
	case <-time.After(sc.latency):
	case <-ctx.Done():
		b.mu.Lock()
		b.canceled++
		b.mu.Unlock()
		return nil, ctx.Err()
	}
	if sc.pause > 0 {
		return nil, &serve.UnusableError{Signals: signals.Response{RetryAfter: sc.pause}, Cause: errReset}
	}
	if sc.lost {
		return nil, errReset
	}
	body := responseBody(r, s, sc)
	if sc.endsInside {
		body = io.MultiReader(body, strings.NewReader("id: 9\nda"))
	}
	return &serve.Response{Class: sc.class, Status: sc.status, Signals: sc.signals, Framing: sc.framing, Events: r.Route.Kind == fleet.Stream, Body: io.NopCloser(body)}, nil
}

// RunStatus implements serve.Backend.
func (b *fakeBackend) RunStatus(context.Context, *serve.Request, fleet.Endpoint) (serve.RunStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.status, nil
}

// responseBody returns an event stream that starts after the last event of the request, or
// plain text.
func responseBody(r *serve.Request, s serve.Send, sc script) io.Reader {
	if r.Route.Kind != fleet.Stream && sc.size > 0 {
		body := strings.Repeat(string(s.Endpoint.ID), sc.size)
		if sc.breakAt >= 0 {
			return io.MultiReader(strings.NewReader(body[:sc.breakAt]), brokenReader{})
		}
		return strings.NewReader(body)
	}
	if r.Route.Kind != fleet.Stream {
		return strings.NewReader(fmt.Sprintf("%s from %s", r.ID, s.Endpoint.ID))
	}
	last := 0
	_, _ = fmt.Sscan(s.LastEvent, &last) // Without an ID, the stream starts at the first event.
	var out bytes.Buffer
	for n := last + 1; n <= sc.events; n++ {
		if sc.broken >= 0 && n > sc.broken {
			fmt.Fprintf(&out, "id: %d\nda", n)
			return io.MultiReader(&out, brokenReader{})
		}
		fmt.Fprintf(&out, "id: %d\ndata: %d\n\n", n, n)
	}
	return &out
}

// brokenReader returns errReset on every read.
type brokenReader struct{}

// Read implements io.Reader.
func (brokenReader) Read([]byte) (int, error) { return 0, errReset }

// sink records a response.
type sink struct {
	status  int
	begun   int
	body    bytes.Buffer
	refusal *serve.Refusal
	aborted bool
	// gone makes writes fail; onWrite is called after each write.
	gone    bool
	onWrite func()
}

func (s *sink) Begin(response *serve.Response) { s.status = response.Status; s.begun++ }
func (s *sink) Write(p []byte) error {
	if s.gone {
		return errReset
	}
	s.body.Write(p)
	if s.onWrite != nil {
		s.onWrite()
	}
	return nil
}
func (s *sink) Abort()                 { s.aborted = true }
func (s *sink) Refuse(r serve.Refusal) { s.refusal = &r }
func (s *sink) promisesNotRun() bool   { return s.refusal != nil && s.refusal.NotRun }

// newServer returns a server for a fake backend, with a retry budget that allows retries.
func newServer(b *fakeBackend) *serve.Server {
	health := serve.NewHealth()
	budget := retry.NewBudget(retry.Limits{Ratio: 1, Extra: 100, Window: 10 * time.Second}, 1)
	return &serve.Server{
		Backend: b,
		Queue:   serve.NewDispatcher("z", b, health, time.Now, func() {}),
		Health:  health,
		Budget:  budget,
		Now:     time.Now,
		Tracer:  noop.NewTracerProvider().Tracer(""),
	}
}

// dispatcher returns the dispatcher of a server returned by newServer.
func dispatcher(s *serve.Server) *serve.Dispatcher { return s.Queue.(*serve.Dispatcher) }

// request returns a request of the given kind with a deadline of five seconds.
func request(id string, kind fleet.RouteKind, resumable bool) *serve.Request {
	now := time.Now()
	return &serve.Request{
		ID:             id,
		Route:          fleet.Route{Kind: kind, Resumable: resumable, Attempts: 2, Objective: 400 * time.Millisecond, MaxGap: 400 * time.Millisecond},
		Service:        "s",
		Model:          "m",
		Arrived:        now,
		Deadline:       now.Add(5 * time.Second),
		ClientDeadline: now.Add(5 * time.Second),
	}
}
