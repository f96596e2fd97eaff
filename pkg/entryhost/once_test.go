package entryhost

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/api/callers"
)

// screened sends a screen under a key to a host.
func screened(h *fakeHost, id, key string) *testCall {
	c := &testCall{id: id, model: "screen", key: key}
	c.do(h)
	return c
}

// A bank desk's screen reaches no endpoint and is refused as not run. The desk
// sends it again under the same key, as it was told to; the key was still held
// by the first try, and the screen was refused as if it might have run.
func TestKeyOfARefusedCallIsFreeAgain(t *testing.T) {
	threeHosts(t, func(is *is.I, f *fakes, hosts []*fakeHost) {
		e := f.joinService("s0", "screen")
		time.Sleep(settleTime)
		key := uuid.Must(uuid.NewV7()).String()
		f.setDead(e, true)
		refused := screened(hosts[0], "first", key)
		is.True(refused.refusal != nil)
		is.Equal(refused.refusal.Code, callers.ErrorDetailCodeNotRun)
		f.setDead(e, false)
		time.Sleep(settleTime)
		is.Equal(screened(hosts[1], "second", key).refusal, nil)
	})
}

// A screen runs and its answer is lost. The desk repeats it under its key at
// another host: it must hear at once that the outcome is unknown. Without a
// record of that it waited until its deadline for an answer that never comes.
func TestRepeatOfALostAnswerIsToldAtOnce(t *testing.T) {
	threeHosts(t, func(is *is.I, f *fakes, hosts []*fakeHost) {
		e := f.joinService("s0", "screen")
		time.Sleep(settleTime)
		key := uuid.Must(uuid.NewV7()).String()
		f.mu.Lock()
		e.loseAnswers = 1
		f.mu.Unlock()
		lost := screened(hosts[0], "first", key)
		is.True(lost.refusal != nil)
		is.Equal(lost.refusal.Code, callers.ErrorDetailCodeOutcomeUnknown)
		again := screened(hosts[1], "second", key)
		is.True(again.refusal != nil)
		is.Equal(again.refusal.Code, callers.ErrorDetailCodeOutcomeUnknown)
		is.True(again.end.Sub(again.start) < time.Second)
		is.Equal(len(f.allRan()), 1)
	})
}

// joinService adds a service while hosts run.
func (f *fakes) joinService(name, service string) *fakeEngine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addService(name, service)
}

func (f *fakes) setDead(e *fakeEngine, dead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.dead = dead
}
