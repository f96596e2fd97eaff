package serve_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/admission"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
)

func TestHoldUnderContention(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name                       string
		objective, timeout, waited time.Duration
		wait, firstByte            time.Duration
		hold                       bool
		until                      time.Duration
	}{
		{"unknown wait", second, 10 * second, 0, 0, 100 * time.Millisecond, true, 5500 * time.Millisecond},
		{"in time for the objective", second, 10 * second, 0, 800 * time.Millisecond, 100 * time.Millisecond, true, 5500 * time.Millisecond},
		{"long objective", 8 * second, 10 * second, 0, 7 * second, second, true, 7 * second},
		{"late, but the client still waits", second, 10 * second, 0, 3 * second, 100 * time.Millisecond, true, 5 * second},
		{"late and beyond half of the time", second, 10 * second, 0, 6 * second, 100 * time.Millisecond, false, 0},
		{"late and waited for half of the time", second, 10 * second, 5 * second, 0, 100 * time.Millisecond, false, 5 * second},
		{"no time left to run", 9 * second, 10 * second, 0, 8 * second, 3 * second, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := requestWithObjective(c.objective, c.timeout)
			now := r.Arrived.Add(c.waited)
			in := serve.HoldInput{Now: now, Ready: true, HasEndpoints: true, Contention: &serve.ContentionInput{Wait: c.wait, FirstByte: c.firstByte}}
			until, after, hold := serve.Hold(r, in)
			is.Equal(hold, c.hold)
			is.Equal(until, r.Arrived.Add(c.until))
			if !hold {
				is.True(after >= 150*time.Millisecond && after <= r.Deadline.Sub(now)/3)
			}
		})
	}
}

// Guards against requests that are held although they cannot be served in time, and against refusing
// them late.
func TestRequestWithoutTimeForExpectedWaitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.ready[0].Slots = 1
		b.setScript("a", script{latency: 10 * time.Second, broken: -1})
		s := newServer(b)
		dispatcher(s).Contention = func(string) bool { return true }
		setLevel(s, fleet.FullShare, 6*time.Second)
		first := request("r1", fleet.AtMostOnce, false)
		first.Deadline = first.Arrived.Add(20 * time.Second)
		go s.Serve(t.Context(), first, &sink{})
		synctest.Wait()
		start := time.Now()
		var out sink
		got := s.Serve(t.Context(), request("r2", fleet.AtMostOnce, false), &out)
		is.Equal(got.Refusal.Cause, serve.CauseContention)
		is.True(out.promisesNotRun())
		is.Equal(time.Since(start), time.Duration(0))
		time.Sleep(20 * time.Second)
	})
}

// Guards against slots that go to requests which miss their objective anyway, or to requests with
// time to spare before those without.
func TestOrderOfWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.setReady()
		s := newServer(b)
		d := dispatcher(s)
		d.Contention = func(string) bool { return true }
		b.readyAt = time.Now().Add(4 * time.Second)
		granted := make(chan string, 8)
		enqueue := func(id string, priority int, objective time.Duration) {
			r := request(id, fleet.AtMostOnce, false)
			r.Route.Priority, r.Route.Objective = priority, objective
			r.Deadline = r.Arrived.Add(30 * time.Second)
			go func() {
				if e, refusal := d.Acquire(t.Context(), r, serve.PriorAttempts{}); refusal == nil {
					granted <- r.ID
					time.Sleep(time.Millisecond)
					d.Release(r, e.ID, serve.SlotResult{Duration: time.Millisecond})
				}
			}()
			synctest.Wait()
		}
		enqueue("late", 0, 500*time.Millisecond)
		enqueue("due now", 0, 2200*time.Millisecond)
		enqueue("spare", 0, 8*time.Second)
		enqueue("other priority", 1, 2100*time.Millisecond)
		time.Sleep(2 * time.Second)
		enqueue("on time", 0, 400*time.Millisecond)
		b.setReady("a")
		b.mu.Lock()
		b.ready[0].Slots = 1
		b.mu.Unlock()
		d.DispatchWaiting()
		var order []string
		for range 5 {
			order = append(order, <-granted)
		}
		time.Sleep(time.Second) // The last slot is released.
		is.Equal(order, []string{"due now", "on time", "spare", "late", "other priority"})
	})
}

// Guards against a client that is refused twice although it returned when it was told to, and
// against an advantage for one that returned earlier.
func TestReturnAtToldTimeIsPreferred(t *testing.T) {
	const share = 200
	for _, early := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newServer(newFakeBackend("a"))
			dispatcher(s).Contention = func(string) bool { return true }
			// IDs beyond the share of new requests, but within that of returns.
			var ids []string
			for i := 0; len(ids) < 2; i++ {
				id := fmt.Sprint("r", i)
				if f := admission.Fraction(id); f > 0.25 && f < 0.45 {
					ids = append(ids, id)
				}
			}
			serveOnce := func(id string) serve.Result {
				setLevel(s, share, 300*time.Millisecond)
				r := request(id, fleet.AtMostOnce, false)
				r.Fingerprint = fleet.Fingerprint{Content: 7, Caller: 1}
				return s.Serve(t.Context(), r, &sink{})
			}
			got := serveOnce(ids[0])
			is.Equal(got.Refusal.Cause, serve.CauseContention)
			wait := got.Refusal.RetryAfter
			if early {
				wait -= time.Millisecond
			}
			time.Sleep(wait)
			is.Equal(serveOnce(ids[1]).Complete, !early)
		})
	}
}

// Guards against a long wait of the past that refuses all requests which could show that slots have
// become free sooner.
func TestPastWaitDoesNotRefuseForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.ready[0].Slots = 1
		s := newServer(b)
		d := dispatcher(s)
		d.Contention = func(string) bool { return true }
		hold := func(latency time.Duration) {
			b.setScript("a", script{latency: latency, broken: -1})
			r := request("r", fleet.AtMostOnce, false)
			r.Deadline = r.Arrived.Add(20 * time.Second)
			go s.Serve(t.Context(), r, &sink{})
			synctest.Wait()
		}
		serveNext := func(timeout time.Duration) serve.Result {
			b.mu.Lock()
			b.scripts["a"] = append(b.scripts["a"], script{broken: -1})
			b.mu.Unlock()
			r := request("next", fleet.AtMostOnce, false)
			r.Deadline = r.Arrived.Add(timeout)
			return s.Serve(t.Context(), r, &sink{})
		}
		hold(2400 * time.Millisecond)
		is.True(serveNext(5 * time.Second).Complete) // it waited
		hold(400 * time.Millisecond)
		is.Equal(serveNext(4*time.Second).Refusal.Cause, serve.CauseContention)
		time.Sleep(2 * time.Second)
		for range 4 { // Arrivals keep the statistics.
			is.True(serveNext(4 * time.Second).Complete)
			time.Sleep(300 * time.Millisecond)
		}
		hold(400 * time.Millisecond)
		is.True(serveNext(4 * time.Second).Complete)
		time.Sleep(5 * time.Second)
	})
}

// Guards against streams that are refused for a share of new requests although they have begun: only few endpoints
// can serve the rest, and it is lost.
func TestStreamThatGoesOnIsNotRefusedForContention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a")
		b.setVersions("1")
		b.setScript("a", script{events: 3, broken: -1})
		s := newServer(b)
		s.Versions = &fakeVersions{found: serve.StreamVersion{Service: "s", Required: fleet.RequireVersion("1")}}
		dispatcher(s).Contention = func(string) bool { return true }
		setLevel(s, 0, 6*time.Second)
		var fresh, goesOn sink
		s.Serve(t.Context(), request("new", fleet.Stream, true), &fresh)
		is.Equal(fresh.refusal.Cause, serve.CauseContention)
		r := request("taken-up", fleet.Stream, true)
		r.LastEvent = "2"
		s.Serve(t.Context(), r, &goesOn)
		is.Equal(goesOn.status, 200)
	})
}

// Guards against new requests that get no free slot under contention while one stream waits for its software version,
// and against streams of one account that keep all others from their share.
func TestStreamThatGoesOnStarvesNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newFakeBackend("a", "b")
		b.setVersions("2", "1")
		b.ready[0].Slots, b.ready[1].Slots = 1, 1
		d := dispatcher(newServer(b))
		d.Contention = func(string) bool { return true }
		held := map[string]*serve.Request{}
		for _, version := range []string{"1", "2"} { // All slots are in use.
			held[version] = request("held-"+version, fleet.Stream, true)
			_, refusal := d.Acquire(t.Context(), held[version], serve.PriorAttempts{Version: fleet.RequireVersion(version)})
			is.True(refusal == nil)
		}
		granted := make(chan string, 8)
		acquire := func(id, account string, version fleet.VersionRequirement) {
			go func() {
				r := request(id, fleet.Stream, true)
				r.Account = account
				if _, refusal := d.Acquire(t.Context(), r, serve.PriorAttempts{Version: version}); refusal == nil {
					granted <- id
				}
			}()
			synctest.Wait()
		}
		acquire("stream", "x", fleet.RequireVersion("1"))
		acquire("new", "y", fleet.VersionRequirement{})
		d.Release(held["2"], "a", serve.SlotResult{})
		is.Equal(<-granted, "new")
		d.Release(held["1"], "b", serve.SlotResult{})
		is.Equal(<-granted, "stream")
		time.Sleep(time.Minute)
	})
}
