package gateway_test

import (
	"flag"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/internal/streamjudge"
	"github.com/tealvane/tealvane/internal/wait"
)

var (
	orderSeed  = flag.Int64("order-seed", 1, "first seed of the soak of streams by way of other hosts")
	orderSeeds = flag.Int("order-seeds", 2, "number of seeds of the soak of streams by way of other hosts")
)

const orderHosts = 4

// orderSoak is a deployment whose hosts lose their links to endpoints and send streams by way of other hosts.
type orderSoak struct {
	*deployment
	rand    *rand.Rand
	traffic *streamjudge.Traffic

	mu    sync.Mutex
	hosts []*host
}

func newOrderSoak(t *testing.T, seed int64) *orderSoak {
	s := &orderSoak{deployment: newDeployment(t), rand: rand.New(rand.NewSource(seed)), traffic: streamjudge.NewTraffic(uint64(seed))}
	s.traffic.Host, s.traffic.Model, s.traffic.Routes = "h.example", "warm", streamjudge.Routes{Resumable: "/chat/", Once: "/once/"}
	s.traffic.Headers = streamjudge.Headers{Attempt: "X-Request-Attempt-Id", Resumes: "Resumes", Remaining: "X-Remaining-Milliseconds", Model: "X-Model-Name"}
	c := config(1)
	once := c.Routes[0]
	once.Name, once.PathPrefix, once.Resumable = "once", "/once/", false
	c.Routes = append(c.Routes, once)
	s.publish(c)
	for i := range 6 {
		s.startTrafficEndpoint(fmt.Sprint("e", i), fmt.Sprint(1+i%2, ".0"))
	}
	for i := range orderHosts {
		s.hosts = append(s.hosts, s.startHost(fmt.Sprint("h", i)))
	}
	s.waitForPeers(s.hosts...)
	return s
}

func (s *orderSoak) startTrafficEndpoint(id, version string) {
	s.startEndpoint(site.EndpointConfig{
		ID: id, Service: "llm", Zone: "zone-a", Slots: 64, WeightsMB: 125, AdapterSlots: 4, Models: models, Version: version, LoadedModels: []string{"warm"},
		Behave: func(_, _ string, n int) site.Behavior {
			return site.Behavior{Raw: func(conn net.Conn, header http.Header, r *http.Request) {
				s.traffic.Respond(s.t.Context(), conn, header, r, fmt.Sprint(id, "/", n), "llm "+version)
			}}
		},
	})
}

func (s *orderSoak) host(i int) *host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[i]
}

// step brings about one fault. Faults overlap; one host keeps its links.
func (s *orderSoak) step(n int) {
	faults := []linkFault{linksSilent, linksReset, linksRefuse}
	i := 1 + s.rand.Intn(orderHosts-1)
	switch s.rand.Intn(5) {
	case 0, 1:
		s.host(i).links.set(faults[s.rand.Intn(len(faults))])
	case 2:
		f := faults[s.rand.Intn(len(faults))]
		for j := 1; j < orderHosts; j++ {
			s.host(j).links.set(f)
		}
	case 3:
		for j := range orderHosts {
			s.host(j).links.set(linksWork)
		}
	case 4:
		old := s.host(i)
		h := s.newHost(fmt.Sprint("h", i, "-", n), site.NoFault)
		h.run()
		s.mu.Lock()
		s.hosts[i] = h
		s.mu.Unlock()
		if s.rand.Intn(2) == 0 {
			old.Kill()
		}
		old.stop()
	}
}

// Guards against streams by way of another host that miss an event or get one twice, that are joined from two runs or
// software versions, or that look complete before their end, while links fail and hosts stop or are killed.
func TestOrderOfStreamsByWayOfOtherHosts(t *testing.T) {
	for seed := *orderSeed; seed < *orderSeed+int64(*orderSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newOrderSoak(t, seed)
			var stop atomic.Bool
			var clients sync.WaitGroup
			for i := range 6 * orderHosts {
				draw := rand.New(rand.NewSource(seed*10_000 + int64(i)))
				address := func() string { return s.host(draw.Intn(orderHosts)).Addr() }
				clients.Go(func() { s.traffic.Client(t.Context(), fmt.Sprint("w-", i), address, &stop) })
			}
			for n, end := 0, time.Now().Add(soakTime); time.Now().Before(end); n++ {
				s.step(n)
				wait.For(t.Context(), time.Duration(s.rand.Intn(900))*time.Millisecond)
			}
			stop.Store(true)
			clients.Wait()
			report := s.traffic.Check()
			for _, f := range report.Findings {
				t.Error(f)
			}
			t.Log(report)
			if report.Complete == 0 || report.WentOn == 0 {
				t.Error("no stream was complete or went on")
			}
		})
	}
}
