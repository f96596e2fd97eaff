package serve

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"go.opentelemetry.io/otel/trace"
)

// errClientWrite marks that the client takes no more bytes.
var errClientWrite = errors.New("client takes no more")

// errGivenUp marks tries that this host gave up for another.
var errGivenUp = errors.New("try was given up")

// forward passes an answer on to the client.
func (x *exchange) forward(a *Answer, w *watcher, id fleet.EndpointID) error {
	body := &noted{in: a.Body, note: func() {
		x.server.Health.Byte(x.server.Now(), id)
		if w != nil {
			w.progress()
		}
	}}
	if x.request.Route.Kind == fleet.Stream && a.Status < 300 {
		if x.request.Route.Resumable {
			return x.forwardEvents(a, body)
		}
		return x.forwardRaw(a, body, nil)
	}
	head, err := io.ReadAll(io.LimitReader(body, bufferedBody))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if len(head) < bufferedBody {
		x.begin(a)
		return x.write(head)
	}
	return x.forwardRaw(a, body, head)
}

// noted calls note for each read that brought bytes.
type noted struct {
	in   io.Reader
	note func()
}

// Read implements io.Reader.
func (n *noted) Read(p []byte) (int, error) {
	k, err := n.in.Read(p)
	if k > 0 {
		n.note()
	}
	return k, err
}

func (x *exchange) begin(a *Answer) {
	if x.begun {
		x.result.Resumed++
		return
	}
	x.begun = true
	x.result.FirstByte = x.server.Now().Sub(x.request.Arrived)
	x.sink.Begin(a)
}

func (x *exchange) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if err := x.sink.Write(p); err != nil {
		return errors.Mark(err, errClientWrite)
	}
	return nil
}

// forwardRaw copies a body as its bytes come.
func (x *exchange) forwardRaw(a *Answer, body io.Reader, head []byte) error {
	buf := make([]byte, 8<<10)
	if len(head) > 0 {
		x.begin(a)
		if err := x.write(head); err != nil {
			return err
		}
	}
	for {
		n, err := body.Read(buf)
		if n > 0 || err == io.EOF {
			if !x.begun {
				x.begin(a)
			}
			if werr := x.write(buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read body")
		}
	}
}

// forwardEvents passes on whole events only. A stream that breaks goes on with
// the event after the last one delivered; a part of an event that went out
// would be joined with the next run's and spoil both.
func (x *exchange) forwardEvents(a *Answer, body io.Reader) error {
	in := &events{in: body}
	first := true
	for {
		whole, id, err := in.next()
		if err == io.EOF {
			if first {
				x.begin(a)
			}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if first {
			x.begin(a)
			first = false
		}
		if err := x.write(whole); err != nil {
			return err
		}
		if id != "" {
			x.lastEvent = id
		}
	}
}

// watcher gives a try up when its endpoint has fallen silent and the request
// may run elsewhere.
type watcher struct {
	mu    sync.Mutex
	timer *time.Timer
	last  time.Time
	// moved is set once the endpoint has sent something.
	moved bool
	now   func() time.Time
}

func (x *exchange) watch(ctx context.Context, cancel context.CancelCauseFunc, e fleet.Endpoint) *watcher {
	s := x.server
	start := s.Now()
	w := &watcher{now: s.Now, last: start}
	route := x.request.Route
	if !route.Repeatable() || x.result.Runs+1 >= route.Attempts || route.Objective == 0 {
		// Without an objective nothing tells a slow answer from a hung endpoint.
		return w
	}
	patience := x.patience()
	ask := askAfter
	check := func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.timer == nil {
			return
		}
		if !w.moved && s.Now().Sub(start) >= ask {
			ask *= 2
			go x.askForRun(ctx, e, w, cancel)
		}
		quiet := s.Now().Sub(w.last)
		hung := quiet >= patience || (quiet >= silentLimit && s.Health.Silent(s.Now(), e.ID) >= silentLimit)
		// Without another endpoint a second run would only add to the load that
		// makes this one slow, and throw away what it has done.
		if hung && s.Queue.HasOther(x.request, e.ID) && x.takeRetry() {
			s.Health.Suspect(s.Now(), e.ID)
			cancel(errors.Wrapf(errGivenUp, "nothing came for %v", quiet.Round(time.Millisecond)))
			return
		}
		w.timer.Reset(min(patience, silentLimit) / 3)
	}
	w.mu.Lock()
	w.timer = time.AfterFunc(min(patience, silentLimit), check)
	w.mu.Unlock()
	return w
}

// askForRun gives a try up whose answer is lost: its endpoint has ended the run, or
// has begun to answer and nothing has come. Such requests of models with a single
// replica waited until their clients left, 12 s with an objective of 3 s, since no
// other endpoint could take them.
func (x *exchange) askForRun(ctx context.Context, e fleet.Endpoint, w *watcher, cancel context.CancelCauseFunc) {
	ctx, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	run, err := x.server.Backend.Run(ctx, x.request, e)
	if err != nil {
		// Nothing is known of the run; the other timeouts of the try go on.
		trace.SpanFromContext(ctx).RecordError(err)
		return
	}
	if run.Held && !run.Begun {
		return
	}
	if w.unmoved() && x.takeRetry() {
		cancel(errors.Wrapf(errGivenUp, "answer is lost: held there %t, begun %t", run.Held, run.Begun))
	}
}

// patience is how long a repeatable request waits for the next byte.
func (x *exchange) patience() time.Duration {
	route := x.request.Route
	if x.begun {
		return max(gapPatience*route.MaxGap, silentLimit)
	}
	usual := x.server.Queue.ServiceTime(x.request.Service)
	if route.Kind == fleet.Stream {
		usual = 0
	}
	return max(minPatience, time.Duration(patienceObjectives*float64(route.Objective)), patienceServices*usual)
}

// progress notes that the endpoint has sent something for this request.
func (w *watcher) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = w.now()
	w.moved = true
}

// unmoved tells whether the try still waits for its first byte.
func (w *watcher) unmoved() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.timer != nil && !w.moved
}

func (w *watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
