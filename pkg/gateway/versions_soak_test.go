package gateway_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
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
	versionsSeed  = flag.Int64("versions-seed", 1, "first seed of the soak of software versions")
	versionsSeeds = flag.Int("versions-seeds", 2, "number of seeds of the soak of software versions")
	versionsHosts = flag.Int("versions-hosts", 4, "number of hosts in the soak of software versions")
)

// versionsSoak is a deployment whose endpoints are replaced by those of other software versions, in both
// directions, while hosts stop, are killed or cut off from the others, endpoints crash and the store fails.
type versionsSoak struct {
	*deployment
	rand *rand.Rand

	mu      sync.Mutex
	hosts   []*host
	engines []*site.Endpoint
	// begun and refused count new streams, resumed and goneOn those that clients took up again.
	begun, refused, resumed, goneOn int
}

func (s *versionsSoak) host(i int) *host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[i%len(s.hosts)]
}

func (s *versionsSoak) replaceHost(i, n int) {
	h := s.newHost(fmt.Sprint("h", i, "-", n), site.NoFault)
	h.run()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[i] = h
}

// addEngine adds an endpoint of a version, and drains or crashes the oldest one if there are many.
func (s *versionsSoak) addEngine(n int, version string) {
	e := s.startVersion(fmt.Sprint("e", n, "-", version), version, func(string, string, int) site.Behavior {
		return site.Behavior{BreakAfter: []int{0, 0, 0, 2}[n%4]}
	})
	s.engines = append(s.engines, e)
	if len(s.engines) <= 6 {
		return
	}
	if s.engines[0].Drain(); n%2 == 0 {
		s.engines[0].Close()
	}
	s.engines = s.engines[1:]
}

func (s *versionsSoak) step(n int) {
	const (
		roll = iota
		rollBack
		stopHost
		killHost
		cutHost
		storeFault
		crash
		kinds
	)
	i := s.rand.Intn(*versionsHosts)
	switch s.rand.Intn(kinds) {
	case roll:
		s.addEngine(n, fmt.Sprint(n/4, ".0"))
	case rollBack:
		s.addEngine(n, "1.0")
	case stopHost:
		s.host(i).stop()
		s.replaceHost(i, n)
	case killHost:
		old := s.host(i)
		s.replaceHost(i, n)
		old.Kill()
		old.stop()
	case cutHost:
		s.host(i).DisconnectPeers()
	case storeFault:
		s.host(i).storeListener.SetFault([]site.Fault{site.FaultNoResponse, site.NoFault}[s.rand.Intn(2)])
	case crash:
		if s.rand.Intn(3) == 0 {
			s.engines[s.rand.Intn(len(s.engines))].Close()
		}
	}
}

// client begins streams until stop is set, leaves some of them and takes up what is not complete at other hosts.
func (s *versionsSoak) client(seed int64, stop *atomic.Bool) {
	r := rand.New(rand.NewSource(seed))
	client := &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; !stop.Load(); n++ {
		first := ""
		var events []string
		for attempt := range 3 {
			id := fmt.Sprint("v-", seed, "-", n, "-", attempt)
			leaveAfter := streamEvents + 1
			if r.Intn(2) == 0 {
				leaveAfter = 1 + r.Intn(3)
			}
			had := len(events)
			events = append(events, s.read(client, s.host(r.Intn(*versionsHosts)), id, first, events, leaveAfter)...)
			s.count(had > 0, len(events) > had)
			if had == 0 && len(events) > 0 {
				first = id
			}
			if len(events) >= streamEvents {
				break
			}
		}
		s.check(events)
		wait.For(s.t.Context(), 5*time.Millisecond)
	}
}

func (s *versionsSoak) count(resumed, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case resumed && served:
		s.goneOn++
		s.resumed++
	case resumed:
		s.resumed++
	case served:
		s.begun++
	default:
		s.refused++
	}
}

// read reads events of a stream until its end or until the client leaves. Part of an event is not counted.
func (s *versionsSoak) read(client *http.Client, h *host, id, first string, before []string, leaveAfter int) []string {
	ctx, leave := context.WithCancel(s.t.Context())
	defer leave()
	last := ""
	var resumes []string
	if len(before) > 0 {
		last, resumes = fmt.Sprint(len(before)), []string{first}
	}
	resp, err := client.Do(s.streamRequest(ctx, h, id, last, resumes...))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	var out []string
	event := ""
	for in := bufio.NewReader(resp.Body); len(out) < leaveAfter; {
		line, err := in.ReadString('\n')
		if err != nil {
			break
		}
		if event += line; line == "\n" {
			out = append(out, event)
			event = ""
		}
	}
	return out
}

// check checks that the events of a stream are in order and of one software version.
func (s *versionsSoak) check(events []string) {
	for i, e := range events {
		if !strings.HasPrefix(e, fmt.Sprintf("id: %d\n", i+1)) {
			s.t.Errorf("event %d is missing or comes twice: %q", i+1, events)
			return
		}
	}
	if v := versionsIn(strings.Join(events, "")); len(v) > 1 {
		s.t.Errorf("stream holds events of several versions: %q", events)
	}
}

// Guards against streams that hold events of two software versions, miss an event or get one twice, when versions
// come and go in both directions beside stops, kills and cuts of hosts, faults of the store and crashes.
func TestVersionsUnderFailure(t *testing.T) {
	for seed := *versionsSeed; seed < *versionsSeed+int64(*versionsSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := &versionsSoak{deployment: newDeployment(t), rand: rand.New(rand.NewSource(seed))}
			s.publish(config(1))
			for n, version := range []string{"1.0", "1.0", "1.0", "2.0"} {
				s.engines = append(s.engines, s.startVersion(fmt.Sprint("first-", n), version, nil))
			}
			for i := range *versionsHosts {
				s.hosts = append(s.hosts, s.startHost(fmt.Sprint("h", i)))
			}
			s.waitForPeers(slices.Clone(s.hosts)...)
			var stop atomic.Bool
			var clients sync.WaitGroup
			for i := range 3 * *versionsHosts {
				clients.Go(func() { s.client(seed*1000+int64(i), &stop) })
			}
			for n, end := 8, time.Now().Add(soakTime); time.Now().Before(end); n++ {
				s.step(n)
				wait.For(t.Context(), time.Duration(s.rand.Intn(500))*time.Millisecond)
			}
			stop.Store(true)
			clients.Wait()
			t.Logf("%d of %d new streams began, %d of %d went on", s.begun, s.begun+s.refused, s.goneOn, s.resumed)
			if s.begun == 0 || s.goneOn == 0 {
				t.Error("no stream began or went on")
			}
		})
	}
}
