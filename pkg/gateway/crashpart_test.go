package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
)

const (
	// crashingPart is the ID of the prompt part that crashes endpoints, firstPart that of a part which it shares
	// the prompts with.
	crashingPart = "bad"
	firstPart    = "f0"
	// crashesUntilBlock is the number of crashes after which a prompt part must be blocked within
	// blockPropagation.
	crashesUntilBlock = 5
)

// requestWithPart sends a request whose prompt has the first part, the given part and one of its own.
func (d *deployment) requestWithPart(h *host, part string) reply {
	d.t.Helper()
	ids.Lock()
	own := ids.n
	ids.Unlock()
	header := http.Header{}
	header.Set("X-Model-Name", "warm")
	header.Set("X-Prompt-Prefix", fmt.Sprintf("%s:100,%s:50,a%d:20", firstPart, part, own))
	header.Set("X-Sent-To", strings.TrimPrefix(h.name, "host-"))
	return d.requestWithHeader(h, "/chat/", header, "")
}

// startPartCrashableEndpoints starts endpoints of a model that crash on crashingPart.
func (d *deployment) startPartCrashableEndpoints(n int) []*site.Endpoint {
	var out []*site.Endpoint
	for i := range n {
		out = append(out, d.startEndpoint(site.EndpointConfig{
			ID: fmt.Sprint("e", i), Service: "llm", Zone: "zone-a", Slots: 8, WeightsMB: 125, AdapterSlots: 4, Models: models,
			LoadedModels: []string{"warm"}, Events: 3, EventInterval: 5 * time.Millisecond, CrashOnPart: crashingPart,
		}))
	}
	return out
}

// countPartCrashes returns the number of endpoints that ran a request with crashingPart.
func countPartCrashes(endpoints []*site.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		for _, r := range e.Runs() {
			if strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashingPart) {
				n++
			}
		}
	}
	return n
}

// partLoad sends sound requests to all hosts, which share firstPart, until it is stopped.
type partLoad struct {
	stop   func()
	served atomic.Int64
}

func (d *deployment) startPartLoad(hosts ...*host) *partLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &partLoad{}
	var wg sync.WaitGroup
	for i, h := range hosts {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if d.requestWithPart(h, fmt.Sprintf("c%d%d", i, n%10)).status == http.StatusOK {
					l.served.Add(1)
				}
			}
		})
	}
	l.stop = sync.OnceFunc(func() { cancel(); wg.Wait() })
	d.t.Cleanup(l.stop)
	return l
}

// Guards against requests of different content that share a prompt part which crashes endpoints reaching one
// endpoint after the other, and against refusing sound requests that share their other parts.
func TestPromptPartThatCrashesEndpointsIsBlocked(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	endpoints := d.startPartCrashableEndpoints(30)
	hosts := []*host{d.startHost("a"), d.startHost("b"), d.startHost("c")}
	d.waitForPeers(hosts...)
	load := d.startPartLoad(hosts...)
	for i := 0; countPartCrashes(endpoints) < crashesUntilBlock; i++ {
		d.requestWithPart(hosts[i%len(hosts)], crashingPart)
	}
	<-time.After(blockPropagation)
	load.stop()
	before := countPartCrashes(endpoints)
	for range 3 {
		for _, h := range hosts {
			got := d.requestWithPart(h, crashingPart)
			is.True(got.status != http.StatusOK)
		}
	}
	if n := countPartCrashes(endpoints) - before; n > maxStrayRuns {
		t.Errorf("requests with a prompt part that had crashed %d endpoints reached %d more, want at most %d", before, n, maxStrayRuns)
	}
	for _, h := range hosts {
		is.Equal(d.requestWithPart(h, "other").status, http.StatusOK)
	}
}

// Guards against losing the crashes of a prompt part when all hosts lose power at once: the part would crash as many
// endpoints again.
func TestPromptPartCrashesSurviveRestartOfAllHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	endpoints := d.startPartCrashableEndpoints(30)
	hosts := []*host{d.startHost("a"), d.startHost("b")}
	d.waitForPeers(hosts...)
	for i := 0; countPartCrashes(endpoints) < crashesUntilBlock-1; i++ {
		d.requestWithPart(hosts[i%len(hosts)], crashingPart)
	}
	d.waitFor("the crashes are stored", func() bool { return d.store.KeyCount("keyed.crashes") > 0 })
	<-time.After(blockPropagation)
	for _, h := range hosts {
		h.Kill()
	}
	hosts = []*host{d.startHost("a"), d.startHost("b")}
	d.waitForPeers(hosts...)
	for i := 0; countPartCrashes(endpoints) < crashesUntilBlock; i++ {
		if got := d.requestWithPart(hosts[i%len(hosts)], crashingPart); got.status == http.StatusServiceUnavailable {
			break // The part is blocked already.
		}
	}
	<-time.After(blockPropagation)
	before := countPartCrashes(endpoints)
	for range 4 {
		for _, h := range hosts {
			d.requestWithPart(h, crashingPart)
		}
	}
	is.True(countPartCrashes(endpoints)-before <= maxStrayRuns)
	for _, h := range hosts {
		is.Equal(d.requestWithPart(h, "other").status, http.StatusOK)
	}
}

// Guards against an answer to a client of a blocked prompt part that does not say how long the block lasts.
func TestBlockedPromptPartTellsWhenToReturn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	endpoints := d.startPartCrashableEndpoints(30)
	h := d.startHost("a")
	for countPartCrashes(endpoints) < crashesUntilBlock {
		d.requestWithPart(h, crashingPart)
	}
	d.waitFor("the refusal tells when the block ends", func() bool {
		got := d.requestWithPart(h, crashingPart)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		return got.status == http.StatusServiceUnavailable && err == nil && after > 3500 && after <= 3600
	})
	is.True(h.BlockCount() > 0)
}
