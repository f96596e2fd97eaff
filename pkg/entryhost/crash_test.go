package entryhost

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/completion"
	"github.com/tealvane/tealvane/pkg/record"
)

// Guards against a retried call that crashes one service after another because it is not blocked.
func TestCrashingCallIsBlocked(t *testing.T) {
	withThreeHosts(t, func(is *is.I, f *fakeCluster, hosts []*fakeHost) {
		const body = `"a number that no register holds"`
		for i := range 12 {
			f.joinService(fmt.Sprint("s", i), "lookup")
		}
		f.mu.Lock()
		for _, e := range f.engines {
			e.crashOn = body
		}
		f.mu.Unlock()
		time.Sleep(settleTime)
		call := func(h *fakeHost) *completion.Refusal {
			c := &testCall{id: completion.NewRequestID(), model: "lookup", key: "", body: body}
			c.send(h)
			return c.refusal
		}
		for i := 0; f.crashCount() < 3; i++ {
			is.True(call(hosts[i%2]) != nil)
		}
		time.Sleep(3 * time.Second)
		before := f.crashCount()
		for _, h := range hosts {
			is.True(call(h) != nil)
		}
		is.True(f.crashCount()-before <= maxExtraCrashes)
		c := &testCall{id: "another", model: "lookup"}
		c.send(hosts[0])
		is.Equal(c.refusal, nil)
	})
}

// Guards against crashes of a single service being counted as one because it restarts under the
// same name.
func TestCrashingCallIsBlockedWithSingleService(t *testing.T) {
	withThreeHosts(t, func(is *is.I, f *fakeCluster, hosts []*fakeHost) {
		const body = `"a number that no register holds"`
		f.mu.Lock()
		for _, e := range f.engines {
			e.crashOn = body
		}
		f.mu.Unlock()
		for i := range 30 {
			c := &testCall{id: completion.NewRequestID(), model: "lookup", body: body, timeout: time.Second}
			c.send(hosts[i%3])
			is.True(c.refusal != nil)
			time.Sleep(2 * time.Second)
		}
		is.True(f.crashCount() <= 3+maxExtraCrashes)
	})
}

// Guards against a deferred request that crashes endpoints and is retried until it expires.
func TestCrashingDeferredRequestFails(t *testing.T) {
	withThreeHosts(t, func(is *is.I, f *fakeCluster, hosts []*fakeHost) {
		const prompt = "a dossier that no engine survives"
		f.mu.Lock()
		for _, e := range f.engines {
			e.crashOn = prompt
		}
		f.mu.Unlock()
		time.Sleep(settleTime)
		body, err := json.Marshal(completion.DeferredBody{Prompt: prompt})
		is.NoErr(err)
		id := completion.NewRequestID()
		deferred := record.DeferredRequest{ID: id, Customer: "c", Model: "m0", Body: body}
		is.NoErr(hosts[0].appendWithTimeout(context.Background(), record.Record{ID: record.NewID(), Defer: &deferred}))
		time.Sleep(2 * time.Minute)
		r, ok := hosts[1].state.Deferred.Get(id)
		is.True(ok)
		if r.Answer == nil {
			t.Error("deferred request is still being retried")
			return
		}
		is.True(r.Answer.Status != http.StatusOK)
		is.True(f.crashCount() <= 3+maxExtraCrashes)
	})
}

// maxExtraCrashes bounds the further endpoints that a request may crash after it has crashed
// three.
const maxExtraCrashes = 3
