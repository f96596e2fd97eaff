package entryhost

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/api/callers"
)

// callScreen calls the service "screen" with an idempotency key.
func callScreen(h *fakeHost, id, key string) *testCall {
	c := &testCall{id: id, model: "screen", key: key}
	c.send(h)
	return c
}

// Guards against a retry being refused because a call that was not run still holds the key.
func TestRefusedCallReleasesKey(t *testing.T) {
	withThreeHosts(t, func(is *is.I, f *fakeCluster, hosts []*fakeHost) {
		e := f.joinService("s0", "screen")
		time.Sleep(settleTime)
		key := uuid.Must(uuid.NewV7()).String()
		f.setDead(e, true)
		refused := callScreen(hosts[0], "first", key)
		is.True(refused.refusal != nil)
		is.Equal(refused.refusal.Code, callers.ErrorDetailCodeNotRun)
		f.setDead(e, false)
		time.Sleep(settleTime)
		is.Equal(callScreen(hosts[1], "second", key).refusal, nil)
	})
}

// Guards against a retry that waits until its deadline although the response is lost and the outcome
// unknown.
func TestRetryAfterLostResponseFailsFast(t *testing.T) {
	withThreeHosts(t, func(is *is.I, f *fakeCluster, hosts []*fakeHost) {
		e := f.joinService("s0", "screen")
		time.Sleep(settleTime)
		key := uuid.Must(uuid.NewV7()).String()
		f.mu.Lock()
		e.loseResponses = 1
		f.mu.Unlock()
		lost := callScreen(hosts[0], "first", key)
		is.True(lost.refusal != nil)
		is.Equal(lost.refusal.Code, callers.ErrorDetailCodeOutcomeUnknown)
		again := callScreen(hosts[1], "second", key)
		is.True(again.refusal != nil)
		is.Equal(again.refusal.Code, callers.ErrorDetailCodeOutcomeUnknown)
		is.True(again.end.Sub(again.start) < time.Second)
		is.Equal(len(f.ranRequests()), 1)
	})
}

// joinService adds a service to a running cluster.
func (f *fakeCluster) joinService(name, service string) *fakeEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addService(name, service)
}

func (f *fakeCluster) setDead(e *fakeEngine, dead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.dead = dead
}
