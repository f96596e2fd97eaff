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

// A lookup crashes each service that runs it, and its desk sends it again and again, at any
// host. Each call was a new one to its host, which sent it to up to four services; seven
// calls ended twelve of them, and nobody's lookups were answered.
func TestCrashingCallIsKeptFromServices(t *testing.T) {
	threeHosts(t, func(is *is.I, f *fakes, hosts []*fakeHost) {
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
			c.do(h)
			return c.refusal
		}
		for i := 0; f.allCrashes() < 3; i++ {
			is.True(call(hosts[i%2]) != nil)
		}
		time.Sleep(3 * time.Second)
		before := f.allCrashes()
		for _, h := range hosts {
			is.True(call(h) != nil)
		}
		is.True(f.allCrashes()-before <= strayRuns)
		c := &testCall{id: "another", model: "lookup"}
		c.do(hosts[0])
		is.Equal(c.refusal, nil)
	})
}

// There is one service only. A lookup ends it each time that it runs, and each time it comes back
// under its name. Its ends were taken for one, and the lookup was never blocked.
func TestCrashingCallAtASingleService(t *testing.T) {
	threeHosts(t, func(is *is.I, f *fakes, hosts []*fakeHost) {
		const body = `"a number that no register holds"`
		f.mu.Lock()
		for _, e := range f.engines {
			e.crashOn = body
		}
		f.mu.Unlock()
		for i := range 30 {
			c := &testCall{id: completion.NewRequestID(), model: "lookup", body: body, wait: time.Second}
			c.do(hosts[i%3])
			is.True(c.refusal != nil)
			time.Sleep(2 * time.Second)
		}
		is.True(f.allCrashes() <= 3+strayRuns)
	})
}

// A deferred request crashes each engine that runs it. Its host ran it again every five
// seconds, for as long as deferred requests are kept, which is a day. It ends with an
// error that says so.
func TestCrashingDeferredRequestEnds(t *testing.T) {
	threeHosts(t, func(is *is.I, f *fakes, hosts []*fakeHost) {
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
		deferred := record.Deferred{ID: id, Customer: "c", Model: "m0", Body: body}
		is.NoErr(hosts[0].appendSoon(context.Background(), record.Record{ID: record.NewID(), Defer: &deferred}))
		time.Sleep(2 * time.Minute)
		r, ok := hosts[1].state.Deferred.Get(id)
		is.True(ok)
		if r.Answer == nil {
			t.Error("the request is still run again and again")
			return
		}
		is.True(r.Answer.Status != http.StatusOK)
		is.True(f.allCrashes() <= 3+strayRuns)
	})
}

// strayRuns is how many more endpoints a call may reach after it has ended three.
const strayRuns = 3
