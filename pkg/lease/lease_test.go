package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/lease"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

const ttl = 4 * time.Second

func session(host string, renewed record.Offset) state.Session {
	return state.Session{HostRef: record.HostRef{Host: host, Incarnation: record.Incarnation(host)}, Renewed: renewed}
}

// Guards against all owners expiring after an outage of the log, during which no host could
// renew.
func TestLogOutageDoesNotExpireSessions(t *testing.T) {
	is := is.New(t)
	w := lease.NewWatcher(ttl)
	start := time.Unix(0, 0)
	s := session("a", 1)
	w.Observe(start, []state.Session{s}, true)
	for i := range 60 {
		w.Observe(start.Add(time.Duration(i)*time.Second), []state.Session{s}, false)
	}
	is.True(w.Live(start.Add(60*time.Second), s.HostRef))
	w.Observe(start.Add(61*time.Second), []state.Session{s}, true)
	w.Observe(start.Add(66*time.Second), []state.Session{s}, true)
	is.True(!w.Live(start.Add(66*time.Second), s.HostRef))
}

// Guards against two leaving hosts that hand a pool to each other until both have stopped.
func TestLeavingHostsDoNotClaim(t *testing.T) {
	is := is.New(t)
	w := lease.NewWatcher(ttl)
	now := time.Unix(0, 0)
	leaving := session("a", 1)
	leaving.Leaving = true
	staying := session("b", 2)
	w.Observe(now, []state.Session{leaving, staying}, true)
	is.Equal(w.Candidates(now), []record.HostRef{staying.HostRef})
	for i := range 50 {
		pool := fmt.Sprint("p", i)
		is.True(!w.ShouldClaim(now, leaving.HostRef, pool, record.HostRef{}))
		is.True(w.ShouldClaim(now, staying.HostRef, pool, record.HostRef{}))
	}
}

// Guards against several hosts claiming one pool, and against all pools of a failed host
// going to the same host.
func TestOneHostClaimsEachPool(t *testing.T) {
	is := is.New(t)
	w := lease.NewWatcher(ttl)
	now := time.Unix(0, 0)
	sessions := []state.Session{session("a", 1), session("b", 2), session("c", 3)}
	w.Observe(now, sessions, true)
	claims := map[string]int{}
	for i := range 300 {
		claimed := 0
		for _, s := range sessions {
			if w.ShouldClaim(now, s.HostRef, fmt.Sprint("p", i), record.HostRef{Host: "dead"}) {
				claimed++
				claims[s.Host]++
			}
		}
		is.Equal(claimed, 1)
	}
	for _, n := range claims {
		is.True(n > 50)
	}
}
