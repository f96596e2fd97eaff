package process_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/internal/wait"
)

var (
	suspendedSeed    = flag.Int64("suspended-seed", 1, "seed of the test of a host that is suspended while a version joins")
	suspendedHistory = flag.Bool("suspended-history", false, "wait for about a minute until hosts decide without a lookup in the test of a host that is suspended while a version joins")
)

var writtenBy = regexp.MustCompile(`of (\S+)`)

// chat begins a stream and leaves after its first event, or takes one up. It returns what it read.
func (s *orderSoak) chat(h *limitsHost, id, resumes string) string {
	ctx, leave := context.WithTimeout(s.t.Context(), 10*time.Second)
	defer leave()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+"/again/", strings.NewReader(id))
	if err != nil {
		return ""
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Attempt-Id", id)
	r.Header.Set("X-Model-Name", "warm")
	if resumes != "" {
		r.Header.Set("Last-Event-Id", "1")
		r.Header["Resumes"] = []string{resumes}
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ""
	}
	var body io.Reader = resp.Body
	if resumes == "" {
		body = io.LimitReader(body, 30)
	}
	read, _ := io.ReadAll(body) // What was read counts, a broken stream too.
	return string(read)
}

// awaitStream waits until a host serves streams.
func (s *orderSoak) awaitStream(h *limitsHost, resumes string) {
	for end := time.Now().Add(waitTimeout); s.chat(h, fmt.Sprint("first-", time.Now().UnixNano()), resumes) == ""; wait.For(s.t.Context(), 20*time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("streams are not served")
		}
	}
}

// Guards against streams of a new version that go on at another one at a host which stood still while it joined: the requests
// that it finds when it goes on are answered before anything else.
func TestHostSuspendedWhileVersionJoins(t *testing.T) {
	r := rand.New(rand.NewSource(*suspendedSeed))
	s := &orderSoak{t: t, store: site.NewStore(), dir: t.TempDir()}
	listener, err := s.store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	s.addr = listener.Addr
	s.publish("llm")
	join := func(version string) {
		e, err := site.StartEndpoint(s.store, site.EndpointConfig{
			ID: "e" + version, Service: "llm", Zone: "zone-a", Slots: 64, WeightsMB: 125, AdapterSlots: 4, LoadedModels: []string{"warm"}, Version: version,
			Models: []site.Model{{Name: "warm", WeightsMB: 50, LoadS: 1, DiskS: 0.2, WarmS: 0.1}}, Events: 4, EventInterval: 20 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
	}
	join("v0")
	for i := range 3 {
		s.hosts = append(s.hosts, s.startHost(fmt.Sprint("h", i)))
		s.awaitStream(s.hosts[i], "")
	}
	if *suspendedHistory {
		for _, h := range s.hosts {
			s.awaitStream(h, "never-seen")
		}
	}
	newer, resumed, wentOn := 0, 0, 0
	var mu sync.Mutex
	for round := range 2 {
		stopped := s.hosts[r.Intn(3)]
		others := slices.DeleteFunc(slices.Clone(s.hosts), func(h *limitsHost) bool { return h == stopped })
		joined := make(chan struct{})
		joinAfter := time.Duration(r.Intn(400)) * time.Millisecond
		go func() {
			defer close(joined)
			wait.For(t.Context(), joinAfter)
			join(fmt.Sprint("v", round+1))
		}()
		wait.For(t.Context(), time.Duration(r.Intn(400))*time.Millisecond)
		stopped.signal(syscall.SIGSTOP)
		var clients sync.WaitGroup
		still := time.Duration(500+r.Intn(4500)) * time.Millisecond
		for n, end := 0, time.Now().Add(still); time.Now().Before(end); n++ {
			id := fmt.Sprint("s-", round, "-", n)
			first := s.chat(others[n%2], id, "")
			clients.Go(func() {
				rest := s.chat(stopped, id+"-again", id)
				versions := map[string]bool{}
				for _, m := range writtenBy.FindAllStringSubmatch(first+rest, -1) {
					versions[m[1]] = true
				}
				mu.Lock()
				defer mu.Unlock()
				resumed++
				if rest != "" {
					wentOn++
				}
				if versions[fmt.Sprint("v", round+1)] {
					newer++
				}
				if len(versions) > 1 {
					t.Errorf("still for %v: stream %s holds events of %v", still, id, versions)
				}
			})
			wait.For(t.Context(), 40*time.Millisecond)
		}
		stopped.signal(syscall.SIGCONT)
		clients.Wait()
		<-joined
	}
	t.Logf("%d of %d streams began at the newest version, %d went on", newer, resumed, wentOn)
	if wentOn == 0 || newer == 0 {
		t.Error("no stream went on, or none began at the newest version")
	}
}
