package process_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/matryer/is"
)

// A user asks any of three entry hosts for a model that is not loaded, then
// again, and is answered both times; one load was made.
func TestColdAndWarmThroughThreeHosts(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	for _, e := range c.entries {
		r := e.complete("summary", "a b c")
		is.NoErr(r.err)
		is.Equal(r.status, http.StatusOK)
		is.True(strings.Contains(r.body, "summary answers: a b c"))
	}
	loads := 0
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		loads += c.observed(name).Loads
	}
	is.Equal(loads, 1)
}

// A user goes on being served when an entry host dies: the host that owns the
// pool is killed, warm models answer at the other hosts at once, and a model
// that was not loaded wakes after another host has taken the pool over.
func TestKilledOwner(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	is.Equal(c.entries[0].complete("summary", "x").status, http.StatusOK)
	dead := c.owner(c.entries[0])
	dead.signal(syscall.SIGKILL)
	dead.exited()
	for _, e := range c.others(dead) {
		is.Equal(e.complete("summary", "x").status, http.StatusOK)
	}
	for _, e := range c.others(dead) {
		c.until("cold answer after the take-over", func() bool {
			return e.complete("summary-tax", "x").status == http.StatusOK
		})
	}
}

// A user's stream is cut by a planned stop. Two of three hosts get SIGTERM at
// once, the owner of the pool among them, while streams are open at all hosts;
// each request is answered whole, or its connection was never accepted.
func TestTwoHostsTerminatedUnderLoad(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	is.Equal(c.entries[0].complete("summary", "x").status, http.StatusOK)
	owner := c.owner(c.entries[0])
	others := c.others(owner)
	prompt := strings.TrimSpace(strings.Repeat("word ", 50))
	var stop atomic.Bool
	var clients sync.WaitGroup
	var served, cut atomic.Int64
	for _, e := range c.entries {
		for range 4 {
			clients.Go(func() {
				for !stop.Load() {
					r := e.complete("summary", prompt)
					switch {
					case errors.Is(r.err, syscall.ECONNREFUSED):
						return
					case r.err != nil || r.status != http.StatusOK || !strings.Contains(r.body, prompt):
						cut.Add(1)
						t.Logf("%s: %d %s %v", e.name, r.status, r.body, r.err)
					default:
						served.Add(1)
					}
				}
			})
		}
	}
	c.until("served requests", func() bool { return served.Load() > 20 })
	owner.signal(syscall.SIGTERM)
	others[0].signal(syscall.SIGTERM)
	is.Equal(owner.exited(), 0)
	is.Equal(others[0].exited(), 0)
	after := served.Load()
	c.until("served requests at the last host", func() bool { return served.Load() > after+20 })
	stop.Store(true)
	clients.Wait()
	is.Equal(cut.Load(), int64(0))
	is.Equal(c.owner(others[1]), others[1])
}

// An owner is frozen, as by a paused virtual machine, and thawed after another
// host has taken its pool. Models wake meanwhile, and the thawed host's late
// decisions exceed neither the contract nor the memory of an engine.
func TestFrozenOwner(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	is.Equal(c.entries[0].complete("summary", "x").status, http.StatusOK)
	frozen := c.owner(c.entries[0])
	others := c.others(frozen)
	frozen.signal(syscall.SIGSTOP)
	c.until("cold answer after the take-over", func() bool {
		return others[0].complete("summary-tax", "x").status == http.StatusOK
	})
	frozen.signal(syscall.SIGCONT)
	c.until("answer of the thawed host", func() bool {
		return frozen.complete("summary-tax", "x").status == http.StatusOK
	})
	peak := map[string]int{}
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		o := c.observed(name)
		is.True(o.PeakMB <= 24000)
		for model, n := range o.Peak {
			peak[model] += n
		}
	}
	is.True(peak["summary"] <= 2)
	is.True(peak["summary-tax"] <= 1)
}

// A bank's screen is run twice and leaves two verdicts: the host that runs it
// is killed, and the caller repeats it with the same key at the other hosts.
func TestScreenRepeatedAfterKill(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	first := c.entries[0]
	screen := func(e *entry, key, body string) reply {
		return post(e.callers+"/v1/services/screening/calls", key, body)
	}
	keys := make([]string, 40)
	for i := range keys {
		keys[i] = uuid.Must(uuid.NewV7()).String()
	}
	var clients sync.WaitGroup
	for i := range keys {
		clients.Go(func() { screen(first, keys[i], fmt.Sprintf(`{"n":%d}`, i)) })
	}
	c.until("runs", func() bool { return len(c.observed("screening-1").Ran) > 5 })
	first.signal(syscall.SIGKILL)
	clients.Wait()
	for i, key := range keys {
		for _, e := range c.others(first) {
			r := screen(e, key, fmt.Sprintf(`{"n":%d}`, i))
			is.NoErr(r.err)
			is.True(r.status == http.StatusOK || strings.Contains(r.body, "outcome_unknown"))
		}
	}
	is.True(len(c.observed("screening-1").Ran) <= len(keys))
}
