package gateway_test

import (
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/internal/wait"
)

var (
	brittleSeed  = flag.Int64("brittle-seed", 1, "first seed of the soak of brittle endpoints")
	brittleSeeds = flag.Int("brittle-seeds", 2, "number of seeds of the soak of brittle endpoints")
)

const (
	brittleSlots = 4
	brittleLimit = 6
	brittleRun   = 60 * time.Millisecond
	// brittleSettle is how long endpoints say that they are brittle before they let fewer requests wait.
	brittleSettle = 2 * time.Second
)

// startBrittle starts plain endpoints with a queue, which fall over when they are brittle and reject too much.
func (d *deployment) startBrittle(n int) []*site.Endpoint {
	d.t.Helper()
	var out []*site.Endpoint
	for i := range n {
		out = append(out, d.startEndpoint(site.EndpointConfig{
			ID: fmt.Sprint("b", i), Service: "plain", Zone: "zone-a", Slots: brittleSlots, Queue: 3 * brittleSlots, FallTime: 300 * time.Millisecond,
			Behave: func(string, string, int) site.Behavior { return site.Behavior{Delay: brittleRun} },
		}))
	}
	return out
}

// setBrittle makes endpoints brittle, with a queue that gets short after the settle time.
func setBrittle(endpoints []*site.Endpoint, header string) {
	for _, e := range endpoints {
		e.SetBrittle(header, -1, -1)
	}
	time.AfterFunc(brittleSettle, func() {
		for _, e := range endpoints {
			e.SetBrittle(header, brittleLimit, 0)
		}
	})
}

func falls(endpoints []*site.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		n += e.Falls()
	}
	return n
}

// Guards against hosts that do not learn from one another's responses that endpoints are brittle, and so make them
// fall over, and against hosts that use none of the slots that others own.
func TestHostsShareSlotsOfBrittleEndpoints(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	endpoints := d.startBrittle(4)
	hosts := []*host{d.startHost("a"), d.startHost("b"), d.startHost("c")}
	d.waitForPeers(hosts...)
	setBrittle(endpoints, fmt.Sprint(brittleLimit))
	is.Equal(d.request(hosts[0], "/screen/", "").status, http.StatusOK)
	for _, h := range hosts {
		d.waitFor("all hosts know of it", func() bool { return h.SlotsLimited("plain") })
	}
	wait.For(t.Context(), brittleSettle)
	var served, other atomic.Int64
	var clients sync.WaitGroup
	for i := range 90 { // most of them at one host
		clients.Go(func() {
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
				if d.request(hosts[[]int{0, 1, 2, 2, 2}[i%5]], "/screen/", "").status == http.StatusOK {
					served.Add(1)
				} else {
					other.Add(1)
					wait.For(t.Context(), 50*time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	possible := float64(len(endpoints)*brittleSlots) * 3 / brittleRun.Seconds()
	t.Logf("%d served of %.0f possible, %d not, %d falls", served.Load(), possible, other.Load(), falls(endpoints))
	is.Equal(falls(endpoints), 0)
	is.True(float64(served.Load()) > possible/2)
	for _, e := range endpoints {
		e.SetBrittle("", -1, -1)
	}
	for _, h := range hosts {
		d.waitFor("endpoints are no longer brittle", func() bool {
			d.request(hosts[0], "/screen/", "")
			return !h.SlotsLimited("plain")
		})
	}
}

// brittleSoak adds brittle endpoints, and endpoints that fall over, to the faults of cutOffSoak.
type brittleSoak struct {
	*cutOffSoak
	brittle []*site.Endpoint
	// forced counts the falls that the soak itself has caused.
	forced int
}

func (s *brittleSoak) step(n int) {
	const (
		state = iota
		value
		fall
		burst
		other
		kinds = other + 4
	)
	switch s.rand.Intn(kinds) {
	case state:
		if s.rand.Intn(3) == 0 {
			for _, e := range s.brittle {
				e.SetBrittle("", -1, -1)
			}
			return
		}
		setBrittle(s.brittle, fmt.Sprint(brittleLimit))
	case value:
		header := []string{"garbage", "0", "3", "20.5"}[s.rand.Intn(4)]
		s.brittle[s.rand.Intn(len(s.brittle))].SetBrittle(header, -1, -1)
	case fall:
		e := s.brittle[s.rand.Intn(len(s.brittle))]
		e.Fall()
		s.forced++
	case burst:
		i := s.rand.Intn(*cutOffHosts)
		for k := range 20 {
			go func() { s.send(http.DefaultClient, s.host(i), fmt.Sprint("burst-", n, "-", k), "/screen/", "") }()
		}
	default:
		s.cutOffSoak.step(n)
	}
}

// Guards against requests that run twice or are mixed up, against orders beyond an endpoint's memory, and against hosts
// that do not recover, when endpoints become brittle, change what they say, and fall over beside lost links, stops and
// kills of hosts, and faults of the store.
func TestBrittleEndpointsUnderFailure(t *testing.T) {
	for seed := *brittleSeed; seed < *brittleSeed+int64(*brittleSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := &brittleSoak{cutOffSoak: &cutOffSoak{deployment: newDeployment(t), rand: rand.New(rand.NewSource(seed)), tries: map[string]int{}}}
			s.publish(config(1))
			for i := range 4 {
				s.endpoints = append(s.endpoints, s.startEngine(fmt.Sprint("e", i)))
			}
			s.brittle = append(s.startBrittle(4), s.endpoints[1:3]...)
			s.endpoints = append(s.endpoints, s.brittle[:4]...)
			for i := range *cutOffHosts {
				s.hosts = append(s.hosts, s.startHost(fmt.Sprint("h", i)))
			}
			s.waitForPeers(s.hosts...)
			var stop atomic.Bool
			var clients sync.WaitGroup
			for i := range *cutOffHosts {
				for n := range 6 {
					clients.Go(func() { s.client(i, n, &stop) })
				}
			}
			for n, end := 0, time.Now().Add(soakTime); time.Now().Before(end); n++ {
				s.step(n)
				wait.For(t.Context(), time.Duration(s.rand.Intn(500))*time.Millisecond)
			}
			stop.Store(true)
			clients.Wait()
			for _, e := range s.brittle {
				e.SetBrittle("", -1, -1)
			}
			t.Logf("%d falls, %d of them forced", falls(s.brittle), s.forced)
			s.checkRuns()
			s.checkRecovery()
		})
	}
}
