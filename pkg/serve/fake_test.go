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

// errReset is how a broken connection shows.
var errReset = errors.New("connection reset")

// script is what an endpoint does with one request.
type script struct {
	verdict serve.Verdict
	status  int
	// notSent fails before anything is sent, lost after the run.
	notSent, lost bool
	// says is what the endpoint says of itself.
	says signals.Answer
	// pause is asked for with an answer that cannot be passed on.
	pause time.Duration
	// unreachable fails as no connection can be made.
	unreachable bool
	// hang answers nothing until the request is cancelled.
	hang bool
	// events of a stream; a negative broken sends all of them.
	events, broken int
	// took passes before the answer.
	took time.Duration
}

// world is the truth behind a fake backend.
type world struct {
	mu      sync.Mutex
	scripts map[fleet.EndpointID][]script
	// runs holds the endpoints that ran each request, in order.
	runs  map[string][]fleet.EndpointID
	sends []serve.Send
	// cancelled counts runs that were stopped by the host.
	cancelled int
	// told is what endpoints say of a request that has not been answered.
	told     serve.Run
	ready    []fleet.Endpoint
	comingAt time.Time
	farUntil time.Time
}

func newWorld(ids ...string) *world {
	w := &world{scripts: map[fleet.EndpointID][]script{}, runs: map[string][]fleet.EndpointID{}}
	for _, id := range ids {
		w.ready = append(w.ready, fleet.Endpoint{ID: fleet.EndpointID(id), Slots: 8})
	}
	w.told = serve.Run{Held: true}
	return w
}

// does sets what an endpoint does with its next requests; after them it serves.
func (w *world) does(id string, s ...script) { w.scripts[fleet.EndpointID(id)] = s }

// Find implements serve.Placement.
func (w *world) Find(time.Time, serve.Need) serve.Found {
	w.mu.Lock()
	defer w.mu.Unlock()
	return serve.Found{Ready: slices.Clone(w.ready), ComingAt: w.comingAt, FarUntil: w.farUntil, Known: true}
}

func (w *world) setReady(ids ...string) {
	other := newWorld(ids...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ready = other.ready
}

func (w *world) next(r *serve.Request, s serve.Send) script {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends = append(w.sends, s)
	act := script{status: 200, broken: -1}
	if list := w.scripts[s.Endpoint.ID]; len(list) > 0 {
		act = list[0]
		w.scripts[s.Endpoint.ID] = list[1:]
	}
	if act.status == 0 {
		act.status = 200
	}
	if !act.notSent && !act.unreachable && act.verdict == serve.Answered {
		w.runs[r.ID] = append(w.runs[r.ID], s.Endpoint.ID)
	}
	return act
}

// Send implements serve.Backend.
func (w *world) Send(ctx context.Context, r *serve.Request, s serve.Send) (*serve.Answer, error) {
	act := w.next(r, s)
	if act.unreachable {
		return nil, fmt.Errorf("%w: %w", serve.ErrNotSent, serve.ErrUnreachable)
	}
	if act.notSent {
		return nil, fmt.Errorf("%w: refused", serve.ErrNotSent)
	}
	if act.hang {
		act.took = time.Hour
	}
	select {
	case <-time.After(act.took):
	case <-ctx.Done():
		w.mu.Lock()
		w.cancelled++
		w.mu.Unlock()
		return nil, ctx.Err()
	}
	if act.pause > 0 {
		return nil, &serve.UnusableError{Signals: signals.Answer{Pause: act.pause}, Cause: errReset}
	}
	if act.lost {
		return nil, errReset
	}
	return &serve.Answer{Verdict: act.verdict, Status: act.status, Signals: act.says, Body: io.NopCloser(body(r, s, act))}, nil
}

// Run implements serve.Backend.
func (w *world) Run(context.Context, *serve.Request, fleet.Endpoint) (serve.Run, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.told, nil
}

// body is an event stream from the event after the last one on, or plain text.
func body(r *serve.Request, s serve.Send, act script) io.Reader {
	if r.Route.Kind != fleet.Stream {
		return strings.NewReader(fmt.Sprintf("%s from %s", r.ID, s.Endpoint.ID))
	}
	last := 0
	_, _ = fmt.Sscan(s.LastEvent, &last) // An empty ID starts at the first event.
	var out bytes.Buffer
	for n := last + 1; n <= act.events; n++ {
		if act.broken >= 0 && n > act.broken {
			fmt.Fprintf(&out, "id: %d\nda", n)
			return io.MultiReader(&out, failing{})
		}
		fmt.Fprintf(&out, "id: %d\ndata: %d\n\n", n, n)
	}
	return &out
}

// failing breaks off.
type failing struct{}

// Read implements io.Reader.
func (failing) Read([]byte) (int, error) { return 0, errReset }

// sink records an answer.
type sink struct {
	status  int
	begun   int
	body    bytes.Buffer
	refusal *serve.Refusal
	aborted bool
	// gone makes the client take nothing; leave is called with the first bytes.
	gone  bool
	leave func()
}

func (s *sink) Begin(a *serve.Answer) { s.status = a.Status; s.begun++ }
func (s *sink) Write(p []byte) error {
	if s.gone {
		return errReset
	}
	s.body.Write(p)
	if s.leave != nil {
		s.leave()
	}
	return nil
}
func (s *sink) Abort()                 { s.aborted = true }
func (s *sink) Refuse(r serve.Refusal) { s.refusal = &r }
func (s *sink) promises() bool         { return s.refusal != nil && s.refusal.NotRun }

// newServer returns a server on a world with a budget that allows retries.
func newServer(w *world) *serve.Server {
	health := serve.NewHealth()
	budget := retry.NewBudget(retry.Limits{Ratio: 1, Extra: 100, Window: 10 * time.Second}, 1)
	return &serve.Server{
		Backend: w,
		Queue:   serve.NewDispatcher("z", w, health, time.Now, func() {}),
		Health:  health,
		Budget:  budget,
		Now:     time.Now,
		Tracer:  noop.NewTracerProvider().Tracer(""),
	}
}

// dispatcher returns the queue of a server that newServer made.
func dispatcher(s *serve.Server) *serve.Dispatcher { return s.Queue.(*serve.Dispatcher) }

// request returns a request of a kind with five seconds to live.
func request(id string, kind fleet.Kind, resumable bool) *serve.Request {
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
