package gateway

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// fleetHosts is the number of hosts of the largest known deployment.
const fleetHosts = 985

// startHosts returns the numbers of hosts to start. SIM_HOSTS replaces them, for runs by hand. The race
// detector takes minutes for large numbers.
func startHosts(t *testing.T) []int {
	hosts := []int{6, 60}
	if !raceEnabled {
		hosts = append(hosts, 300, fleetHosts)
	}
	if v := os.Getenv("SIM_HOSTS"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			t.Fatal(err)
		}
		hosts = []int{n}
	}
	return hosts
}

// Guards against a fleet that does not come up when all hosts and endpoints start at once, or again after
// all hosts were killed, because together they ask more of the store and of each other than these can answer.
func TestAllHostsStartAtOnce(t *testing.T) {
	const (
		endpointsPerHost = 10
		maxStart         = 10 * time.Second
		maxRestart       = 6 * time.Second
		maxCallsPerHost  = 5
		// minCalls allows for the calls of the hosts that read everything.
		minCalls = 500
		// Endpoints register while the hosts start.
		endpointsStartWithin = 2 * time.Second
		heartbeatInterval    = 5 * time.Second
		// maxSimEndpoints bounds the entries of the list, which each host keeps.
		maxSimEndpoints = 600
	)
	for _, hosts := range startHosts(t) {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(time.Minute) // All loops end before the bubble does.
				}()
				listWeight := (endpointsPerHost*hosts + maxSimEndpoints - 1) / maxSimEndpoints
				endpoints := endpointsPerHost * hosts / listWeight
				f := newEmptyFleetSim(listWeight)
				go f.runEndpoints(ctx, endpoints, endpointsStartWithin, heartbeatInterval)
				run := func(what string, limit time.Duration) []*simHost {
					begin := time.Now()
					calls, read := f.store.totalCalls(), f.store.readBytes
					all := f.startAll(ctx, hosts, 300*time.Millisecond)
					n, first := f.unready(all, endpoints)
					for n > 0 && time.Since(begin) < 3*limit {
						time.Sleep(100 * time.Millisecond)
						n, first = f.unready(all, endpoints)
					}
					took := time.Since(begin)
					made := f.store.totalCalls() - calls
					t.Logf("%s of %d hosts: %v, %d calls, %.1f MB read, %d reads rejected, %d messages refused, %v", what, hosts, took, made, float64(f.store.readBytes-read)/1e6, f.store.rejected, f.refused, f.store.calls)
					if n > 0 || took > limit {
						t.Errorf("%s of %d hosts: %d not ready after %v, want all within %v; %s", what, hosts, n, took, limit, first)
					}
					if made > max(minCalls, maxCallsPerHost*hosts) {
						t.Errorf("%s of %d hosts: %d calls to the store, want at most %d", what, hosts, made, max(minCalls, maxCallsPerHost*hosts))
					}
					return all
				}
				all := run("start", maxStart)
				if token := all[0].election.Newest().Token; token != 1 {
					t.Errorf("claim %d after the start of %d hosts, want the first", token, hosts)
				}
				f.kill(all)
				time.Sleep(time.Second)
				run("restart", maxRestart)
			})
		})
	}
}

// Guards against hosts that start among so many that their append is rejected, and that then read the hosts while
// few are known: they would take themselves for some of few.
func TestRejectedAppendDelaysReadOfHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // All loops end before the bubble does.
		}()
		f := newFleetSim(1)
		f.store.mu.Lock()
		f.store.topic(fleet.TopicHosts).appendsDone = time.Now().Add(storeMaxQueue + time.Second)
		f.store.mu.Unlock()
		f.start(ctx, 0)
		time.Sleep(minAnnounceWait - time.Millisecond)
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		if f.store.calls["put hosts"] == 0 || f.store.calls["extent hosts"]+f.store.calls["page hosts"] > 0 {
			t.Errorf("calls %v before the entry of the host is written, want appends only", f.store.calls)
		}
	})
}
