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

// Guards against requests at different hosts that fail or load a model more than once.
func TestColdAndWarmRequestsAtThreeHosts(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	for _, e := range c.entryHosts {
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

// Guards against a crash of the pool's owner that interrupts loaded models or prevents further
// models from being loaded.
func TestOwnerCrash(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	is.Equal(c.entryHosts[0].complete("summary", "x").status, http.StatusOK)
	killed := c.owner(c.entryHosts[0])
	killed.signal(syscall.SIGKILL)
	killed.waitForExit()
	for _, e := range c.others(killed) {
		is.Equal(e.complete("summary", "x").status, http.StatusOK)
	}
	for _, e := range c.others(killed) {
		c.waitUntil("cold answer after the takeover", func() bool {
			return e.complete("summary-tax", "x").status == http.StatusOK
		})
	}
}

// Guards against requests that are aborted when two of three hosts, including the owner of the
// pool, shut down gracefully under load.
func TestTwoHostsTerminatedUnderLoad(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	is.Equal(c.entryHosts[0].complete("summary", "x").status, http.StatusOK)
	owner := c.owner(c.entryHosts[0])
	others := c.others(owner)
	prompt := strings.TrimSpace(strings.Repeat("word ", 50))
	var stop atomic.Bool
	var clients sync.WaitGroup
	var served, failed atomic.Int64
	for _, e := range c.entryHosts {
		for range 4 {
			clients.Go(func() {
				for !stop.Load() {
					r := e.complete("summary", prompt)
					switch {
					case errors.Is(r.err, syscall.ECONNREFUSED):
						return
					case r.err != nil || r.status != http.StatusOK || !strings.Contains(r.body, prompt):
						failed.Add(1)
						t.Logf("unexpected response from %s: status %d, body %q, error %v", e.name, r.status, r.body, r.err)
					default:
						served.Add(1)
					}
				}
			})
		}
	}
	c.waitUntil("served requests", func() bool { return served.Load() > 20 })
	owner.signal(syscall.SIGTERM)
	others[0].signal(syscall.SIGTERM)
	is.Equal(owner.waitForExit(), 0)
	is.Equal(others[0].waitForExit(), 0)
	after := served.Load()
	c.waitUntil("served requests at the last host", func() bool { return served.Load() > after+20 })
	stop.Store(true)
	clients.Wait()
	is.Equal(failed.Load(), int64(0))
	is.Equal(c.owner(others[1]), others[1])
}

// Guards against a paused and resumed owner whose stale decisions exceed the contract or the
// memory of an engine after another host has taken over the pool.
func TestPausedOwner(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	is.Equal(c.entryHosts[0].complete("summary", "x").status, http.StatusOK)
	paused := c.owner(c.entryHosts[0])
	others := c.others(paused)
	paused.signal(syscall.SIGSTOP)
	c.waitUntil("cold answer after the takeover", func() bool {
		return others[0].complete("summary-tax", "x").status == http.StatusOK
	})
	paused.signal(syscall.SIGCONT)
	c.waitUntil("answer of the resumed host", func() bool {
		return paused.complete("summary-tax", "x").status == http.StatusOK
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

// Guards against a call that runs twice because its host crashes and the caller retries it with
// the same key at another host.
func TestRetryAfterHostCrashRunsOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	first := c.entryHosts[0]
	screen := func(e *entryHost, key, body string) response {
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
	c.waitUntil("runs", func() bool { return len(c.observed("screening-1").Ran) > 5 })
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
