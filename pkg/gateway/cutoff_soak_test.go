package gateway_test

import (
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/internal/wait"
)

var (
	cutOffSeed  = flag.Int64("cutoff-seed", 1, "first seed of the soak of lost links")
	cutOffSeeds = flag.Int("cutoff-seeds", 2, "number of seeds of the soak of lost links")
	cutOffHosts = flag.Int("cutoff-hosts", 4, "number of hosts in the soak of lost links")
)

// cutOffSoak is a deployment whose hosts lose their links to endpoints in series and overlapping with
// planned stops and kills of hosts, faults of the store and crashes of endpoints.
type cutOffSoak struct {
	*deployment
	rand      *rand.Rand
	endpoints []*site.Endpoint

	mu    sync.Mutex
	hosts []*host
	// tries holds the requests to plain endpoints, which run at most once, by ID.
	tries map[string]int
}

func (s *cutOffSoak) host(i int) *host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[i]
}

func (s *cutOffSoak) replaceHost(i, n int) {
	h := s.newHost(fmt.Sprint("h", i, "-", n), site.NoFault)
	h.run()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[i] = h
}

func (s *cutOffSoak) step(n int) {
	const (
		cut = iota
		cutMost
		heal
		stopHost
		killHost
		storeFault
		crash
		kinds
	)
	faults := []linkFault{linksSilent, linksReset, linksRefuse}
	i := s.rand.Intn(*cutOffHosts)
	switch s.rand.Intn(kinds) {
	case cut:
		s.host(i).links.set(faults[s.rand.Intn(len(faults))])
	case cutMost:
		f := faults[s.rand.Intn(len(faults))]
		for j := range *cutOffHosts {
			if j != i {
				s.host(j).links.set(f)
			}
		}
	case heal:
		for j := range *cutOffHosts {
			s.host(j).links.set(linksWork)
		}
	case stopHost:
		// The process goes on serving open connections beside its successor.
		s.host(i).stop()
		s.replaceHost(i, n)
	case killHost:
		old := s.host(i)
		s.replaceHost(i, n)
		old.Kill()
		old.stop()
	case storeFault:
		s.host(i).storeListener.SetFault([]site.Fault{site.FaultNoResponse, site.NoFault}[s.rand.Intn(2)])
	case crash:
		if e := s.endpoints[s.rand.Intn(len(s.endpoints))]; s.crashable(e) {
			e.Close()
		}
	}
}

// crashable reports whether enough endpoints of its service remain when an endpoint crashes.
func (s *cutOffSoak) crashable(e *site.Endpoint) bool {
	i := slices.Index(s.endpoints, e)
	return i != 0 && i != len(s.endpoints)-1 && s.rand.Intn(3) == 0
}

// client sends requests until stop is set. It keeps its connection to a host until that process is gone.
func (s *cutOffSoak) client(i, n int, stop *atomic.Bool) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	h := s.host(i)
	for k := 0; !stop.Load(); k++ {
		id := fmt.Sprint("soak-", i, "-", n, "-", k)
		path, model := "/screen/", ""
		if k%2 == 0 {
			path, model = "/chat/", "warm"
		}
		status, body, err := s.send(client, h, id, path, model)
		if err != nil {
			h = s.host(i)
			wait.For(s.t.Context(), 20*time.Millisecond)
		}
		if path == "/screen/" {
			s.mu.Lock()
			s.tries[id] = status
			s.mu.Unlock()
		}
		if status == http.StatusOK && err == nil {
			if want := map[string]string{"/screen/": "answer to " + id, "/chat/": threeEvents}[path]; body != want {
				s.t.Errorf("request %s: got body %q, want %q", id, body, want)
			}
		}
		wait.For(s.t.Context(), 10*time.Millisecond)
	}
}

func (s *cutOffSoak) send(client *http.Client, h *host, id, path, model string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+h.Addr()+path, strings.NewReader(id))
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Attempt-Id", id)
	req.Header.Set("X-Remaining-Milliseconds", "3000")
	if model != "" {
		req.Header.Set("X-Model-Name", model)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Guards against requests that run twice, run though they were refused, or are answered with the body of
// another one, and against hosts that do not recover, when links to endpoints are lost in series and
// overlapping with stops, kills, faults of the store and crashes of endpoints.
func TestLostLinksUnderFailure(t *testing.T) {
	for seed := *cutOffSeed; seed < *cutOffSeed+int64(*cutOffSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := &cutOffSoak{deployment: newDeployment(t), rand: rand.New(rand.NewSource(seed)), tries: map[string]int{}}
			s.publish(config(1))
			for i := range 5 {
				s.endpoints = append(s.endpoints, s.startEngine(fmt.Sprint("e", i)))
			}
			for i := range 3 {
				s.endpoints = append(s.endpoints, s.startEndpoint(site.EndpointConfig{ID: fmt.Sprint("p", i), Service: "plain", Zone: "zone-a", Slots: 16}))
			}
			for i := range *cutOffHosts {
				s.hosts = append(s.hosts, s.startHost(fmt.Sprint("h", i)))
			}
			s.waitForPeers(s.hosts...)
			var stop atomic.Bool
			var clients sync.WaitGroup
			for i := range *cutOffHosts {
				for n := range 2 {
					clients.Go(func() { s.client(i, n, &stop) })
				}
			}
			for n, end := 0, time.Now().Add(soakTime); time.Now().Before(end); n++ {
				s.step(n)
				wait.For(t.Context(), time.Duration(s.rand.Intn(600))*time.Millisecond)
			}
			stop.Store(true)
			clients.Wait()
			s.checkRuns()
			s.checkRecovery()
		})
	}
}

// checkRuns checks that no request ran twice or after it was refused.
func (s *cutOffSoak) checkRuns() {
	runs := map[string]int{}
	for _, e := range s.endpoints {
		for _, r := range e.Runs() {
			runs[r.ID]++
		}
		for _, v := range e.Violations() {
			s.t.Error(v)
		}
	}
	served := 0
	for id, status := range s.tries {
		if runs[id] > 1 {
			s.t.Errorf("request %s ran %d times", id, runs[id])
		}
		if runs[id] > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			s.t.Errorf("request %s was answered %d, but ran", id, status)
		}
		if status == http.StatusOK {
			served++
		}
	}
	s.t.Logf("%d of %d requests to plain endpoints served", served, len(s.tries))
	if served == 0 {
		s.t.Error("no request was served")
	}
}

// checkRecovery checks that all hosts serve by themselves once all faults have ended.
func (s *cutOffSoak) checkRecovery() {
	for _, h := range s.hosts {
		h.links.set(linksWork)
		h.storeListener.SetFault(site.NoFault)
	}
	s.waitFor("one host is the controller and all have their links", func() bool {
		controllers := 0
		for _, h := range s.hosts {
			if h.LinksLost() || !h.Ready() {
				return false
			}
			if h.IsController() {
				controllers++
			}
		}
		return controllers == 1
	})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i, h := range s.hosts {
		s.waitFor("the host serves", func() bool {
			status, _, err := s.send(client, h, fmt.Sprint("after-", i, "-", time.Now().UnixNano()), "/screen/", "")
			return err == nil && status == http.StatusOK
		})
		if n := h.SendingForPeers(); n > 0 {
			s.waitFor("no request of another host is in progress", func() bool { return h.SendingForPeers() == 0 })
		}
	}
}
