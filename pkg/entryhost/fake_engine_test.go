package entryhost

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/record"
)

// fakeEngine is a model engine or plain service. What it notes is what the
// tests check against.
type fakeEngine struct {
	fakes       *fakes
	name        string
	fencing     bool
	memoryMB    int64
	loadTime    time.Duration
	incarnation record.Incarnation
	token       record.Offset
	replicas    map[record.ReplicaID]*fakeReplica
	ran         []string
	dead        bool
	// cutAfter breaks each stream after that many tokens, cross mislabels them,
	// loseAnswers runs calls and loses the answers.
	cutAfter    int
	cross       bool
	loseAnswers int
	// crashOn is the body or prompt of a call that ends the engine.
	crashOn string
	crashes int
	// busyFor is the pause with which the engine rejects all calls, 0 for none; asked counts calls.
	busyFor time.Duration
	asked   int
	started []time.Time
}

type fakeReplica struct {
	external.EngineReplica
	readyAt time.Time
}

func (e *fakeEngine) restart() {
	e.incarnation = record.Incarnation(uuid.NewString())
	e.token = 0
	e.replicas = map[record.ReplicaID]*fakeReplica{}
}

// crashIf ends the engine if that is what a call does; it is back after some seconds. The
// fakes are locked.
func (e *fakeEngine) crashIf(body string) {
	if e.crashOn == "" || body != e.crashOn {
		return
	}
	e.dead = true
	e.crashes++
	time.AfterFunc(crashTime, func() {
		e.fakes.mu.Lock()
		defer e.fakes.mu.Unlock()
		e.dead = false
		e.restart()
		for i, listed := range e.fakes.list {
			if listed.Name == e.name {
				e.fakes.list[i].Incarnation = e.incarnation
			}
		}
	})
}

// crashTime is how long a crashed engine is away.
const crashTime = 3 * time.Second

// allCrashes counts the crashes of all engines.
func (f *fakes) allCrashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		n += e.crashes
	}
	return n
}

// fakeEngines is the engine adapter of one host.
type fakeEngines struct{ host *fakeHost }

// reach returns an engine with the fakes locked, or an error without the lock.
func (a fakeEngines) reach(addr string) (*fakeEngine, error) {
	time.Sleep(hop)
	a.host.fakes.mu.Lock()
	e := a.host.fakes.engines[addr]
	if e == nil || e.dead || a.host.dead.Load() {
		a.host.fakes.mu.Unlock()
		return nil, external.ErrRefused
	}
	return e, nil
}

// Status implements external.Engine.
func (a fakeEngines) Status(_ context.Context, addr string) (external.EngineStatus, error) {
	e, err := a.reach(addr)
	if err != nil {
		return external.EngineStatus{}, err
	}
	defer a.host.fakes.mu.Unlock()
	s := external.EngineStatus{Incarnation: e.incarnation, MemoryMB: e.memoryMB}
	for _, r := range e.replicas {
		s.Replicas = append(s.Replicas, r.EngineReplica)
	}
	return s, nil
}

// Order implements external.Engine.
func (a fakeEngines) Order(ctx context.Context, o pool.Order) (pool.OrderResult, error) {
	e, err := a.reach(o.Addr)
	if err != nil {
		return pool.OrderRefused, err
	}
	refused := e.incarnation != o.Incarnation || e.fencing && o.Fence < e.token
	if refused {
		a.host.fakes.mu.Unlock()
		return pool.OrderRefused, external.ErrRejected
	}
	e.token = max(e.token, o.Fence)
	if o.Kind == pool.OrderUnload {
		defer a.host.fakes.mu.Unlock()
		if r := e.replicas[o.Replica]; r != nil && r.Running > 0 {
			return pool.OrderRefused, external.ErrRejected
		}
		delete(e.replicas, o.Replica)
		return pool.OrderOK, nil
	}
	r := e.replicas[o.Replica]
	if r == nil {
		r = &fakeReplica{
			EngineReplica: external.EngineReplica{ID: o.Replica, Model: o.Model, MemoryMB: o.MemoryMB},
			readyAt:       time.Now().Add(e.loadTime),
		}
		e.replicas[o.Replica] = r
	}
	left := time.Until(r.readyAt)
	a.host.fakes.mu.Unlock()
	select {
	case <-time.After(left):
		return pool.OrderOK, nil
	case <-ctx.Done():
		return pool.OrderUnknown, ctx.Err()
	}
}

const (
	fakeService = 50 * time.Millisecond
	fakeTokens  = 5
)

// Generate implements external.Engine.
func (a fakeEngines) Generate(ctx context.Context, addr string, r external.GenerateRequest) (external.TokenStream, error) {
	e, err := a.reach(addr)
	if err != nil {
		return nil, err
	}
	defer a.host.fakes.mu.Unlock()
	replica := e.replicas[r.Replica]
	if replica == nil || time.Now().Before(replica.readyAt) {
		return nil, external.ErrNotLoaded
	}
	e.ran = append(e.ran, r.RequestID)
	e.crashIf(r.Prompt)
	e.started = append(e.started, time.Now())
	if e.loseAnswers > 0 {
		e.loseAnswers--
		return nil, external.ErrUnavailable
	}
	replica.Running++
	return &fakeStream{ctx: ctx, engine: e, replica: replica, request: r, next: r.ResumeFrom, cutAfter: e.cutAfter, cross: e.cross}, nil
}

type fakeStream struct {
	ctx      context.Context
	engine   *fakeEngine
	replica  *fakeReplica
	request  external.GenerateRequest
	next     int
	sent     int
	cutAfter int
	cross    bool
	closed   bool
}

// fakeText is the answer to a prompt, which names the request.
func fakeText(prompt string) string { return strings.Repeat(prompt+" ", fakeTokens) }

// Next implements external.TokenStream. The adapter's own checks stand in
// httpadapter; here a crossed answer already shows as broken.
func (s *fakeStream) Next() (external.Token, error) {
	select {
	case <-time.After(fakeService / fakeTokens):
	case <-s.ctx.Done():
		return external.Token{}, s.ctx.Err()
	}
	s.engine.fakes.mu.Lock()
	defer s.engine.fakes.mu.Unlock()
	if s.engine.dead || s.cross || s.cutAfter > 0 && s.sent >= s.cutAfter {
		return external.Token{}, external.ErrBroken
	}
	t := external.Token{RequestID: s.request.RequestID, Index: s.next, Text: s.request.Prompt + " "}
	if s.next == fakeTokens {
		t.Text, t.Done, t.Reason = "", true, "stop"
	}
	s.next++
	s.sent++
	return t, nil
}

// Close implements external.TokenStream.
func (s *fakeStream) Close() error {
	s.engine.fakes.mu.Lock()
	defer s.engine.fakes.mu.Unlock()
	if !s.closed {
		s.closed = true
		s.replica.Running--
	}
	return nil
}

// Call implements external.Engine.
func (a fakeEngines) Call(_ context.Context, addr string, c external.ServiceCall) (external.ServiceAnswer, error) {
	e, err := a.reach(addr)
	if err != nil {
		return external.ServiceAnswer{}, err
	}
	if e.busyFor > 0 {
		defer a.host.fakes.mu.Unlock()
		e.asked++
		return external.ServiceAnswer{}, &external.PauseError{Pause: e.busyFor, Cause: external.ErrRejected}
	}
	e.ran = append(e.ran, c.RequestID)
	run := len(e.ran)
	e.crashIf(string(c.Body))
	lose := e.loseAnswers > 0 || e.dead
	if lose && !e.dead {
		e.loseAnswers--
	}
	a.host.fakes.mu.Unlock()
	time.Sleep(fakeService)
	if lose || a.host.dead.Load() {
		return external.ServiceAnswer{}, external.ErrUnavailable
	}
	return external.ServiceAnswer{RequestID: c.RequestID, Status: 200, Body: []byte(fmt.Sprintf(`"%s run %d"`, e.name, run))}, nil
}

func (fakeEngines) Cancel(context.Context, string, string) error { return nil }

func (fakeEngines) CacheEvents(context.Context, string, uint64) ([]external.CacheEvent, error) {
	return nil, nil
}

func (fakeEngines) ExportKV(context.Context, string, string) ([]byte, error)     { return nil, nil }
func (fakeEngines) ImportKV(context.Context, string, string, []byte) error       { return nil }
func (fakeEngines) SetRole(context.Context, string, string, record.Offset) error { return nil }

// allRan returns the IDs of all requests that the endpoints ran.
func (f *fakes) allRan() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ran []string
	for _, e := range f.engines {
		ran = append(ran, e.ran...)
	}
	return ran
}
