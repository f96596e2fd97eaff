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

// fakeEngine is a model engine or plain service. It records what it ran.
type fakeEngine struct {
	cluster     *fakeCluster
	name        string
	fencing     bool
	memoryMB    int64
	loadTime    time.Duration
	incarnation record.Incarnation
	fenceToken  record.Offset
	replicas    map[record.ReplicaID]*fakeReplica
	ran         []string
	dead        bool
	// truncateAfter interrupts each stream after that many tokens, mislabelTokens fails each stream,
	// and loseResponses drops the responses to that many requests.
	truncateAfter  int
	mislabelTokens bool
	loseResponses  int
	// crashOn is the body or prompt that crashes the engine.
	crashOn string
	crashes int
	// rejectPause is the pause requested when rejecting calls. Zero means that calls are accepted.
	// rejected counts the rejected calls.
	rejectPause time.Duration
	rejected    int
	started     []time.Time
}

type fakeReplica struct {
	external.EngineReplica
	readyAt time.Time
}

func (e *fakeEngine) restart() {
	e.incarnation = record.Incarnation(uuid.NewString())
	e.fenceToken = 0
	e.replicas = map[record.ReplicaID]*fakeReplica{}
}

// maybeCrash crashes the engine if body is crashOn. The engine restarts after restartDelay. The
// cluster must be locked.
func (e *fakeEngine) maybeCrash(body string) {
	if e.crashOn == "" || body != e.crashOn {
		return
	}
	e.dead = true
	e.crashes++
	time.AfterFunc(restartDelay, func() {
		e.cluster.mu.Lock()
		defer e.cluster.mu.Unlock()
		e.dead = false
		e.restart()
		for i, listed := range e.cluster.hostList {
			if listed.Name == e.name {
				e.cluster.hostList[i].Incarnation = e.incarnation
			}
		}
	})
}

// restartDelay is the time between a crash and the restart.
const restartDelay = 3 * time.Second

// crashCount returns the number of crashes of all engines.
func (f *fakeCluster) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.engines {
		n += e.crashes
	}
	return n
}

// fakeEngines is the engine adapter of one host. It implements external.Engine.
type fakeEngines struct{ host *fakeHost }

// lockEngine returns an engine with the cluster locked. On error the cluster is not locked.
func (a fakeEngines) lockEngine(addr string) (*fakeEngine, error) {
	time.Sleep(messageDelay)
	a.host.cluster.mu.Lock()
	e := a.host.cluster.engines[addr]
	if e == nil || e.dead || a.host.dead.Load() {
		a.host.cluster.mu.Unlock()
		return nil, external.ErrRefused
	}
	return e, nil
}

// Status implements external.Engine.
func (a fakeEngines) Status(_ context.Context, addr string) (external.EngineStatus, error) {
	e, err := a.lockEngine(addr)
	if err != nil {
		return external.EngineStatus{}, err
	}
	defer a.host.cluster.mu.Unlock()
	s := external.EngineStatus{Incarnation: e.incarnation, MemoryMB: e.memoryMB}
	for _, r := range e.replicas {
		s.Replicas = append(s.Replicas, r.EngineReplica)
	}
	return s, nil
}

// Order implements external.Engine.
func (a fakeEngines) Order(ctx context.Context, o pool.Order) (pool.OrderResult, error) {
	e, err := a.lockEngine(o.Addr)
	if err != nil {
		return pool.OrderRejected, err
	}
	refused := e.incarnation != o.Incarnation || e.fencing && o.Fence < e.fenceToken
	if refused {
		a.host.cluster.mu.Unlock()
		return pool.OrderRejected, external.ErrRejected
	}
	e.fenceToken = max(e.fenceToken, o.Fence)
	if o.Kind == pool.OrderUnload {
		defer a.host.cluster.mu.Unlock()
		if r := e.replicas[o.Replica]; r != nil && r.Running > 0 {
			return pool.OrderRejected, external.ErrRejected
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
	remaining := time.Until(r.readyAt)
	a.host.cluster.mu.Unlock()
	select {
	case <-time.After(remaining):
		return pool.OrderOK, nil
	case <-ctx.Done():
		return pool.OrderUnknown, ctx.Err()
	}
}

const (
	fakeServiceTime = 50 * time.Millisecond
	fakeTokens      = 5
)

// Generate implements external.Engine.
func (a fakeEngines) Generate(ctx context.Context, addr string, r external.GenerateRequest) (external.TokenStream, error) {
	e, err := a.lockEngine(addr)
	if err != nil {
		return nil, err
	}
	defer a.host.cluster.mu.Unlock()
	replica := e.replicas[r.Replica]
	if replica == nil || time.Now().Before(replica.readyAt) {
		return nil, external.ErrNotLoaded
	}
	e.ran = append(e.ran, r.RequestID)
	e.maybeCrash(r.Prompt)
	e.started = append(e.started, time.Now())
	if e.loseResponses > 0 {
		e.loseResponses--
		return nil, external.ErrUnavailable
	}
	replica.Running++
	return &fakeStream{ctx: ctx, engine: e, replica: replica, request: r, next: r.ResumeFrom, truncateAfter: e.truncateAfter, mislabelTokens: e.mislabelTokens}, nil
}

type fakeStream struct {
	ctx            context.Context
	engine         *fakeEngine
	replica        *fakeReplica
	request        external.GenerateRequest
	next           int
	sent           int
	truncateAfter  int
	mislabelTokens bool
	closed         bool
}

// fakeText returns the complete response to a prompt.
func fakeText(prompt string) string { return strings.Repeat(prompt+" ", fakeTokens) }

// Next implements external.TokenStream. Mislabeled tokens are reported as a broken stream, as
// httpadapter does.
func (s *fakeStream) Next() (external.Token, error) {
	select {
	case <-time.After(fakeServiceTime / fakeTokens):
	case <-s.ctx.Done():
		return external.Token{}, s.ctx.Err()
	}
	s.engine.cluster.mu.Lock()
	defer s.engine.cluster.mu.Unlock()
	if s.engine.dead || s.mislabelTokens || s.truncateAfter > 0 && s.sent >= s.truncateAfter {
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
	s.engine.cluster.mu.Lock()
	defer s.engine.cluster.mu.Unlock()
	if !s.closed {
		s.closed = true
		s.replica.Running--
	}
	return nil
}

// Call implements external.Engine.
func (a fakeEngines) Call(_ context.Context, addr string, c external.ServiceCall) (external.ServiceResponse, error) {
	e, err := a.lockEngine(addr)
	if err != nil {
		return external.ServiceResponse{}, err
	}
	if e.rejectPause > 0 {
		defer a.host.cluster.mu.Unlock()
		e.rejected++
		return external.ServiceResponse{}, &external.RetryAfterError{RetryAfter: e.rejectPause, Cause: external.ErrRejected}
	}
	e.ran = append(e.ran, c.RequestID)
	run := len(e.ran)
	e.maybeCrash(string(c.Body))
	lose := e.loseResponses > 0 || e.dead
	if lose && !e.dead {
		e.loseResponses--
	}
	a.host.cluster.mu.Unlock()
	time.Sleep(fakeServiceTime)
	if lose || a.host.dead.Load() {
		return external.ServiceResponse{}, external.ErrUnavailable
	}
	return external.ServiceResponse{RequestID: c.RequestID, Status: 200, Body: []byte(fmt.Sprintf(`"%s run %d"`, e.name, run))}, nil
}

func (fakeEngines) Cancel(context.Context, string, string) error { return nil }

func (fakeEngines) CacheEvents(context.Context, string, uint64) ([]external.CacheEvent, error) {
	return nil, nil
}

func (fakeEngines) ExportKV(context.Context, string, string) ([]byte, error)     { return nil, nil }
func (fakeEngines) ImportKV(context.Context, string, string, []byte) error       { return nil }
func (fakeEngines) SetRole(context.Context, string, string, record.Offset) error { return nil }

// ranRequests returns the IDs of all requests that endpoints ran.
func (f *fakeCluster) ranRequests() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ran []string
	for _, e := range f.engines {
		ran = append(ran, e.ran...)
	}
	return ran
}
