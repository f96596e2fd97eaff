package entryhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/completion"
)

// A lookup crashes each service that runs it, and its desk sends it again and again, at any
// host. Each call was a new one to its host, which sent it to up to four services; seven
// calls ended twelve of them, and nobody's lookups were answered.
func TestCrashingCallIsKeptFromServices(t *testing.T) {
	threeHosts(t, func(is *is.I, f *fakes, hosts []*fakeHost) {
		const body = `"a number that no register holds"`
		var services []*fakeEngine
		for i := range 12 {
			e := f.joinService(fmt.Sprint("s", i), "lookup")
			f.mu.Lock()
			e.crashOn = body
			f.mu.Unlock()
			services = append(services, e)
		}
		time.Sleep(settleTime)
		crashed := func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			n := 0
			for _, e := range services {
				if e.dead {
					n++
				}
			}
			return n
		}
		call := func(h *fakeHost) *completion.Refusal {
			c := &testCall{id: completion.NewRequestID(), model: "lookup", key: "", body: body}
			c.do(h)
			return c.refusal
		}
		for i := 0; crashed() < 3; i++ {
			is.True(call(hosts[i%2]) != nil)
		}
		time.Sleep(3 * time.Second)
		before := crashed()
		for _, h := range hosts {
			is.True(call(h) != nil)
		}
		is.True(crashed()-before <= 3)
		c := &testCall{id: "another", model: "lookup"}
		c.do(hosts[0])
		is.Equal(c.refusal, nil)
	})
}
