package gateway_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
)

var (
	partSoakSeed  = flag.Uint64("part-soak-seed", 1, "first seed of the soak of prompt parts")
	partSoakSeeds = flag.Uint64("part-soak-seeds", 2, "number of seeds of the soak of prompt parts")
	partSoakHosts = flag.Int("part-soak-hosts", 4, "number of hosts in the soak of prompt parts")
)

// partSoak is a deployment whose endpoints crash on crashingPart and start again, while hosts are killed, started,
// cut off and lose the store.
type partSoak struct {
	*deployment
	rng *rand.Rand

	mu        sync.Mutex
	endpoints []*site.Endpoint
	crashes   []time.Time
	hosts     []*host
	// disturbed holds the hosts that a fault has hit.
	disturbed map[int]bool
	// sent and served count the sound requests of each host from the time counting on.
	counting     bool
	sent, served map[int]int
}

const (
	partSoakEndpoints = 12
	partSoakRestart   = 300 * time.Millisecond
	// partSoakFaults is the time within which faults begin.
	partSoakFaults = 2 * time.Second
)

func (s *partSoak) startEndpoint() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var e *site.Endpoint
	started := make(chan struct{})
	e = s.deployment.startEndpoint(site.EndpointConfig{
		ID: fmt.Sprint("e", len(s.endpoints)), Service: "llm", Zone: "zone-a", Slots: 8, WeightsMB: 125, AdapterSlots: 4, Models: models,
		LoadedModels: []string{"warm"}, Events: 3, EventInterval: 5 * time.Millisecond, CrashOnPart: crashingPart, OnCrash: func() {
			<-started // It may crash before it is known here.
			s.replace(e)
		},
	})
	close(started)
	s.endpoints = append(s.endpoints, e)
}

// replace starts an endpoint some time after the crash of another one, whose entry leaves the store then.
func (s *partSoak) replace(crashed *site.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, time.Now())
	time.AfterFunc(partSoakRestart, func() {
		crashed.Remove()
		s.startEndpoint()
	})
}

// host returns a host, or nil while it is down.
func (s *partSoak) host(i int) *host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[i]
}

// load sends requests to a host until ctx is done. Connections stay open until the host is gone.
func (s *partSoak) load(ctx context.Context, i int, part func(n int) string, pause time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		h := s.host(i)
		if h == nil {
			<-time.After(pause)
			continue
		}
		s.mu.Lock()
		counting := s.counting
		s.mu.Unlock()
		p := part(n)
		status := s.requestWithPart(h, p).status
		if p != crashingPart && counting {
			s.mu.Lock()
			s.sent[i]++
			if status == http.StatusOK {
				s.served[i]++
			}
			s.mu.Unlock()
		}
		<-time.After(pause)
	}
}

// disturb hits some hosts with faults that overlap.
func (s *partSoak) disturb(ctx context.Context) {
	for _, i := range s.rng.Perm(len(s.hosts))[:1+s.rng.IntN(2)] {
		after, outage := time.Duration(s.rng.Int64N(int64(partSoakFaults))), time.Duration(s.rng.Int64N(int64(time.Second)))
		kind := s.rng.IntN(3)
		s.disturbed[i] = true
		go func() {
			<-time.After(after)
			if ctx.Err() != nil {
				return
			}
			switch kind {
			case 0:
				s.restart(i, outage)
			case 1:
				s.host(i).DisconnectPeers()
			case 2:
				s.host(i).storeListener.SetFault(site.FaultNoResponse)
				<-time.After(outage)
				s.host(i).storeListener.SetFault(site.NoFault)
			}
		}()
	}
}

// restart kills a host and starts it again.
func (s *partSoak) restart(i int, outage time.Duration) {
	old := s.host(i)
	s.mu.Lock()
	s.hosts[i] = nil
	s.mu.Unlock()
	old.Kill()
	<-time.After(outage)
	h := s.startHost(fmt.Sprint("host-", i))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[i] = h
}

// harmfulRuns returns the number of requests with crashingPart that undisturbed hosts have sent to endpoints.
func (s *partSoak) harmfulRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.endpoints {
		for _, r := range e.Runs() {
			var i int
			_, _ = fmt.Sscan(r.Header.Get("X-Sent-To"), &i)
			if strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashingPart) && !s.disturbed[i] {
				n++
			}
		}
	}
	return n
}

// fifthCrash returns when the fifth endpoint crashed.
func (s *partSoak) fifthCrash() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < crashesUntilBlock {
		return time.Time{}, false
	}
	return s.crashes[crashesUntilBlock-1], true
}

func (s *partSoak) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i := range s.hosts {
		wg.Go(func() {
			s.load(ctx, i, func(n int) string { return fmt.Sprintf("c%d%d", i, n%20) }, 10*time.Millisecond)
		})
	}
	s.disturb(ctx)
	for i := range s.hosts {
		wg.Go(func() { s.load(ctx, i, func(int) string { return crashingPart }, 100*time.Millisecond) })
	}
	var fifth time.Time
	s.waitFor("five endpoints have crashed", func() (ok bool) { fifth, ok = s.fifthCrash(); return ok })
	<-time.After(time.Until(fifth.Add(blockPropagation)))
	before := s.harmfulRuns()
	<-time.After(time.Until(fifth.Add(2 * blockPropagation)))
	s.mu.Lock()
	s.counting = true
	s.mu.Unlock()
	<-time.After(2 * time.Second)
	if n := s.harmfulRuns() - before; n > maxStrayRuns {
		t.Errorf("requests with a harmful prompt part reached endpoints %d times more from hosts without faults, want at most %d", n, maxStrayRuns)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.hosts {
		if s.disturbed[i] {
			continue
		}
		if s.sent[i] < 20 || float64(s.served[i]) < 0.9*float64(s.sent[i]) {
			t.Errorf("host %d served %d of %d sound requests with the same first part, want 0.9 of 20 or more", i, s.served[i], s.sent[i])
		}
	}
}

// Guards against prompt parts that go on crashing endpoints, or sound requests beside them that are refused, while
// hosts are killed, started, cut off from each other or without the store.
func TestPromptPartSoak(t *testing.T) {
	for seed := *partSoakSeed; seed < *partSoakSeed+*partSoakSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := &partSoak{deployment: newDeployment(t), rng: rand.New(rand.NewPCG(seed, 2)), disturbed: map[int]bool{}, sent: map[int]int{}, served: map[int]int{}}
			s.publish(config(1))
			for range partSoakEndpoints {
				s.startEndpoint()
			}
			for i := range *partSoakHosts {
				s.hosts = append(s.hosts, s.startHost(fmt.Sprint("host-", i)))
			}
			s.waitForPeers(s.hosts...)
			s.run(t)
		})
	}
}
