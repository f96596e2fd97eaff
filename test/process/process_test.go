package process_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"

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
