package gateway_test

import (
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/pkg/fleet"
)

var (
	restoreSeed  = flag.Int64("restore-seed", 1, "first seed of the soak of restores")
	restoreSeeds = flag.Int("restore-seeds", 2, "number of seeds of the soak of restores")
)

const (
	soakHosts     = 4
	soakEndpoints = 6
	soakTime      = 8 * time.Second
	// soakSettle is how long the store must have been undisturbed for a host to be bound by what it
	// acknowledges.
	soakSettle = 3 * time.Second
)

// soak is a deployment whose store is restored in series and overlapping with outages, stops of hosts and
// draining endpoints.
type soak struct {
	*deployment
	rand      *rand.Rand
	hosts     []*host
	endpoints []*site.Endpoint
	copies    []*site.Store
	version   int64
	// disturbed is when the store or a host was last disturbed, announced when each endpoint announced
	// that it drains.
	disturbed time.Time
	announced map[int]time.Time
}

func (s *soak) step(n int) {
	const (
		copyStore = iota
		restore
		cutHosts
		healHosts
		restartHost
		drain
		publish
		beat
		kinds
	)
	switch s.rand.Intn(kinds) {
	case copyStore:
		s.copies = append(s.copies, s.store.Copy())
	case restore:
		s.restore()
	case cutHosts:
		s.disturbed = time.Now()
		s.hosts[s.rand.Intn(soakHosts)].storeListener.SetFault(site.FaultNoResponse)
	case healHosts:
		s.heal()
	case restartHost:
		i := s.rand.Intn(soakHosts)
		s.disturbed = time.Now()
		s.hosts[i].Kill()
		s.hosts[i].stop()
		s.hosts[i] = s.newHost(fmt.Sprint("h", i, "-", n), site.NoFault)
		s.hosts[i].run()
	case drain:
		s.drain(s.rand.Intn(soakEndpoints - 1)) // The last endpoint serves on.
	case publish:
		s.version++
		s.publish(config(s.version))
	case beat:
		s.endpoints[s.rand.Intn(soakEndpoints)].Heartbeat()
	}
}

func (s *soak) drain(i int) {
	if s.announced[i].IsZero() {
		s.endpoints[i].Drain()
		s.announced[i] = time.Now()
	}
}

func (s *soak) heal() {
	s.disturbed = time.Now()
	for _, h := range s.hosts {
		h.storeListener.SetFault(site.NoFault)
	}
}

// restore goes back to one of the copies. The operator and the endpoints write again.
func (s *soak) restore() {
	s.disturbed = time.Now()
	i := s.rand.Intn(len(s.copies))
	s.store.Restore(s.copies[i])
	s.copies = s.copies[:i+1]
	s.publish(config(s.version))
	for _, e := range s.endpoints {
		e.Heartbeat()
	}
}

// clients send requests over connections that they keep, until done is closed.
func (s *soak) clients(done <-chan struct{}) {
	var all sync.WaitGroup
	for i := range soakHosts {
		all.Go(func() {
			tick := time.NewTicker(20 * time.Millisecond)
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-tick.C:
					s.send(i, fmt.Sprint("soak-", i, "-", n))
				}
			}
		})
	}
	all.Wait()
}

// send sends a request. Hosts that are stopped or cut off may refuse it.
func (s *soak) send(i int, id string) {
	h := s.hosts[i]
	req, err := http.NewRequest(http.MethodPost, "http://"+h.Addr()+"/chat/", strings.NewReader(id))
	if err != nil {
		s.t.Error(err)
		return
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Attempt-Id", id)
	req.Header.Set("X-Remaining-Milliseconds", "1000")
	req.Header.Set("X-Model-Name", "warm")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // Only what endpoints receive is checked.
}

// Guards against hosts that use draining endpoints, go back to an older configuration or disagree, after
// restores of the store in series and beside outages and restarts of hosts.
func TestRestoresUnderFailure(t *testing.T) {
	for seed := *restoreSeed; seed < *restoreSeed+int64(*restoreSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := &soak{deployment: newDeployment(t), rand: rand.New(rand.NewSource(seed)), version: 1, announced: map[int]time.Time{}}
			s.publish(config(s.version))
			for i := range soakEndpoints {
				s.endpoints = append(s.endpoints, s.startEngine(fmt.Sprint("e", i)))
			}
			for i := range soakHosts {
				s.hosts = append(s.hosts, s.startHost(fmt.Sprint("h", i)))
			}
			s.copies = []*site.Store{s.store.Copy()}
			for n, end := 0, time.Now().Add(soakTime); time.Now().Before(end); n++ {
				s.step(n)
				<-time.After(time.Duration(s.rand.Intn(400)) * time.Millisecond)
			}
			s.settle()
		})
	}
}

// settle ends all disturbances and checks that all hosts agree within the stated times.
func (s *soak) settle() {
	s.heal()
	s.restore()
	s.drain(0)
	<-time.After(time.Until(s.disturbed.Add(soakSettle + drainBound)))
	done := make(chan struct{})
	time.AfterFunc(time.Second, func() { close(done) })
	before := make([]int, soakEndpoints)
	for i, e := range s.endpoints {
		before[i] = len(e.Runs())
	}
	s.clients(done)
	for i, e := range s.endpoints {
		if n := len(e.Runs()) - before[i]; n > 0 && !s.announced[i].IsZero() {
			s.t.Errorf("%d requests reached e%d, which had announced that it drains", n, i)
		}
	}
	controllers := 0
	for _, h := range s.hosts {
		if h.IsController() {
			controllers++
		}
		if h.NewestToken() != s.hosts[0].NewestToken() {
			s.t.Errorf("hosts know different claims: %v and %v", fleet.Position(h.NewestToken()), fleet.Position(s.hosts[0].NewestToken()))
		}
		if got := h.ConfigVersion(); got != s.version {
			s.t.Errorf("configuration %d is in force, want %d", got, s.version)
		}
	}
	if controllers != 1 {
		s.t.Errorf("%d controllers, want 1", controllers)
	}
	if served := len(s.endpoints[soakEndpoints-1].Runs()) - before[soakEndpoints-1]; served == 0 {
		s.t.Error("no request was served")
	}
}
