package quarantine_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/quarantine"
	"github.com/tealvane/tealvane/pkg/serve"
	"pgregory.net/rapid"
)

// newHost returns the guard of a host for which all endpoints are alive.
func newHost(name string) *quarantine.Guard {
	return quarantine.NewGuard(quarantine.Config{
		Host:              name,
		Terminated:        func(context.Context, fleet.Endpoint) (bool, error) { return false, nil },
		ShutdownAnnounced: func(fleet.EndpointID) bool { return false },
		OnCrash:           func([]fleet.CrashReport) {},
		OnTrialChange:     func() {},
		Now:               time.Now,
		Log:               slog.New(slog.DiscardHandler),
	})
}

// addCrash records that an endpoint crashed while running several copies of a request.
func addCrash(g *quarantine.Guard, endpoint string, content uint64, copies int) {
	for i := range copies {
		c := fleet.CrashReport{Request: requestsBy(client, content)[0], Endpoint: fleet.EndpointID(endpoint), CopyID: fleet.CopyID(i + 1)}
		g.CrashLog.Add(time.Now(), []fleet.CrashReport{c})
	}
}

// exchange lets the hosts exchange trials. The first one is the controller.
func exchange(hosts ...*quarantine.Guard) {
	now := time.Now()
	hosts[0].Decide(now)
	hosts[0].Grant(now)
	for _, g := range hosts {
		g.UpdateTrials(now)
		for _, other := range hosts {
			other.Merge(now, g.Blocklist.All(now))
		}
	}
	time.Sleep(20 * time.Millisecond)
}

// Copies of a suspect request arrive at several hosts. If more than one host ran a copy at a time,
// they would crash as many endpoints before the third crash is detected.
func TestOneCopyRunsAcrossAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := []*quarantine.Guard{newHost("a"), newHost("b"), newHost("c")}
		addCrash(hosts[0], "e", harmful, 3)
		for range 50 {
			exchange(hosts...)
		}
		f := requestsBy(client, harmful)[0]
		running := make(chan serve.Probe, 9)
		for _, g := range hosts {
			for range 3 {
				go func() {
					for {
						p, _ := g.Enter(t.Context(), f, time.Now().Add(time.Hour))
						if p == nil {
							return // the request is blocked
						}
						if p.Await(t.Context()) {
							running <- p
							return
						}
						p.Done(fleet.Endpoint{}, serve.ProbeNotRun)
					}
				}()
			}
		}
		for round := range 2 {
			for range 60 {
				exchange(hosts...)
			}
			is.Equal(len(running), 1)
			addCrash(hosts[0], fmt.Sprint("further", round), harmful, 1)
			(<-running).Done(fleet.Endpoint{}, serve.ProbeInterrupted)
			time.Sleep(2 * time.Second)
		}
		for range 100 {
			exchange(hosts...)
		}
		is.Equal(len(running), 0)
		for _, g := range hosts {
			is.True(g.Blocked(f))
		}
	})
}

// A copy that was running before the trial started crashes another endpoint. No copy may be granted
// before that crash has been evaluated.
func TestNoGrantBeforeLastCrashIsEvaluated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newHost("a")
		addCrash(g, "e", harmful, 3)
		for range 100 {
			exchange(g)
		}
		addCrash(g, "e2", harmful, 1)
		p, ok := g.Enter(t.Context(), requestsBy(client, harmful)[0], time.Now().Add(time.Hour))
		is.True(ok)
		granted := make(chan bool, 1)
		go func() { granted <- p.Await(t.Context()) }()
		for range 40 {
			exchange(g)
		}
		is.Equal(len(granted), 0)
		for range 10 {
			exchange(g)
		}
		is.True(<-granted)
		p.Done(fleet.Endpoint{}, serve.ProbeNotRun)
	})
}

// Copies of a harmless request were running at an endpoint that crashed. A copy that is sent and
// answered later must clear the request at all hosts without a probe.
func TestServedCopyClearsTheTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := []*quarantine.Guard{newHost("a"), newHost("b")}
		f := requestsBy(client, innocent)[0]
		addCrash(hosts[0], "e", innocent, 3)
		time.Sleep(100 * time.Millisecond)
		sentAt := time.Now()
		time.Sleep(100 * time.Millisecond)
		hosts[1].RecordServed(fleet.Endpoint{ID: "e2"}, f, sentAt)
		for range 60 {
			exchange(hosts...)
		}
		for _, g := range hosts {
			is.True(!g.Suspected(f))
		}
		addCrash(hosts[0], "e3", innocent, 1)
		for range 25 {
			exchange(hosts...)
		}
		is.True(!hosts[0].Suspected(f)) // the earlier crash no longer counts
		addCrash(hosts[0], "e4", innocent, 3)
		for range 25 {
			exchange(hosts...)
		}
		is.True(hosts[1].Suspected(f))
	})
}

// Endpoints crash together and the copies of one request ran at only one of them. The request is
// not the cause.
func TestCorrelatedCrashesStartNoTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newHost("a")
		addCrash(g, "e", innocent, 3)
		addCrash(g, "e2", other, 1)
		for range 50 {
			exchange(g)
		}
		is.True(!g.Suspected(requestsBy(client, innocent)[0]))
	})
}

// A host that has a grant fails. The grant must expire, or no other copy runs until the trial
// itself does.
func TestGrantOfFailedHostExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newHost("a")
		addCrash(g, "e", harmful, 3)
		time.Sleep(time.Second)
		exchange(g)
		g.Merge(time.Now(), []fleet.Block{{
			Request: fleet.BlockedRequest{Content: harmful}, Since: time.Now().Unix(), Suspect: true,
			Trial: fleet.Trial{Stage: fleet.TrialGranted, Host: "lost"},
		}})
		p, ok := g.Enter(t.Context(), requestsBy(client, harmful)[0], time.Now().Add(time.Hour))
		is.True(ok)
		is.True(!p.Await(t.Context()))
		p.Done(fleet.Endpoint{}, serve.ProbeNotRun)
		for range 100 {
			exchange(g)
		}
		p, _ = g.Enter(t.Context(), requestsBy(client, harmful)[0], time.Now().Add(time.Hour))
		granted := make(chan bool, 1)
		go func() { granted <- p.Await(t.Context()) }()
		for range 10 {
			exchange(g)
		}
		is.True(<-granted)
		p.Done(fleet.Endpoint{}, serve.ProbeNotRun)
	})
}

// Hosts receive the stages of a trial in any order and more than once. They must converge to the
// same state and checksum.
func TestHostsConvergeOnTrial(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stages := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fleet.Block {
			return fleet.Block{
				Request: fleet.BlockedRequest{Content: rapid.Uint64Range(1, 2).Draw(t, "content")}, Since: start().Unix(), Suspect: true,
				Trial: fleet.Trial{
					Round: rapid.Int64Range(0, 2).Draw(t, "round"),
					Stage: fleet.TrialStage(rapid.IntRange(0, 3).Draw(t, "stage")),
					Host:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host"),
				},
			}
		}), 1, 12).Draw(t, "stages")
		a, b := quarantine.NewBlocklist(), quarantine.NewBlocklist()
		a.Add(start(), stages)
		b.Add(start(), rapid.Permutation(append(stages, stages[0])).Draw(t, "other order"))
		if a.Checksum() != b.Checksum() {
			t.Fatalf("checksums differ: one host has %v, the other %v", a.All(start()), b.All(start()))
		}
	})
}
