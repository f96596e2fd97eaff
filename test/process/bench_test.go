package process_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tealvane/tealvane/examples"
	"github.com/tealvane/tealvane/internal/api/operators"
)

// firstToken returns the time until the first token of a stream came.
func firstToken(b *testing.B, url, body string) time.Duration {
	b.Helper()
	start := time.Now()
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer dev-token")
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	if _, err := lines.ReadString('\n'); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d: %v", resp.StatusCode, err)
	}
	first := time.Since(start)
	for err == nil {
		_, err = lines.ReadString('\n')
	}
	return first
}

func reportQuantiles(b *testing.B, name string, list []time.Duration) {
	slices.Sort(list)
	at := func(q float64) float64 {
		return float64(list[int(q*float64(len(list)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), name+"-p50-ms")
	b.ReportMetric(at(0.99), name+"-p99-ms")
}

// BenchmarkFirstTokenWarm compares the first token through an entry host with
// the engine's own; the difference is what the entry host adds.
func BenchmarkFirstTokenWarm(b *testing.B) {
	c := newCluster(b, 3)
	if r := c.entries[0].complete("summary", "x"); r.status != http.StatusOK {
		b.Fatal(r)
	}
	engine := ""
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		if c.observed(name).Loads > 0 {
			engine = c.endpoints[name]
		}
	}
	var through, direct []time.Duration
	b.ResetTimer()
	for i := range b.N {
		e := c.entries[i%len(c.entries)]
		through = append(through, firstToken(b, e.callers+"/v1/completions", `{"model":"summary","prompt":"x","stream":true}`))
		direct = append(direct, firstToken(b, engine+"/v1/generate", fmt.Sprintf(`{"request_id":"r%d","model":"summary","prompt":"x"}`, i)))
	}
	reportQuantiles(b, "through", through)
	reportQuantiles(b, "engine", direct)
}

const coldModels = 100

// BenchmarkFirstTokenCold wakes a model for each request; the stand-in's load
// takes 12.5 ms for 1,000 MB.
func BenchmarkFirstTokenCold(b *testing.B) {
	c := newCluster(b, 3)
	document, err := examples.Dev.ReadFile("dev/contract.yaml")
	if err != nil {
		b.Fatal(err)
	}
	var models strings.Builder
	for i := range coldModels {
		fmt.Fprintf(&models, "  - {name: m%d, pool: engines, class: interactive, weights_mb: 1000, load_estimate: 1s, keep_alive: 0s}\n", i)
	}
	c.publish(c.entries[0], 1, string(document)+models.String())
	var cold []time.Duration
	b.ResetTimer()
	for i := range b.N {
		e := c.entries[i%len(c.entries)]
		body := fmt.Sprintf(`{"model":"m%d","prompt":"x","stream":true}`, i%coldModels)
		cold = append(cold, firstToken(b, e.callers+"/v1/completions", body))
	}
	reportQuantiles(b, "cold", cold)
}

// BenchmarkContractInForce measures the time from the publication of a
// contract until the last of nine hosts shows it.
func BenchmarkContractInForce(b *testing.B) {
	c := newCluster(b, 9)
	document := c.contract()
	var times []time.Duration
	b.ResetTimer()
	for i := range b.N {
		base := int64(i + 1)
		start := time.Now()
		c.publish(c.entries[i%len(c.entries)], base, document)
		for _, e := range c.entries {
			c.shows(e, base+1)
		}
		times = append(times, time.Since(start))
	}
	reportQuantiles(b, "in-force", times)
}

// shows waits, without a pause, until a host shows a version of the contract.
func (c *cluster) shows(e *entry, version int64) {
	for {
		out, err := e.operators.GetContract(context.Background(), operators.GetContractParams{Customer: "example"})
		if err == nil && out.Version >= version {
			return
		}
	}
}

// BenchmarkTakeover measures the time from the end of a pool's owner until
// another host owns the pool: after a kill, and after a planned stop, in which
// the pool is handed over and is never without an owner.
func BenchmarkTakeover(b *testing.B) {
	for name, signal := range map[string]syscall.Signal{"kill": syscall.SIGKILL, "planned": syscall.SIGTERM} {
		b.Run(name, func(b *testing.B) {
			var times []time.Duration
			for range b.N {
				c := newCluster(b, 3)
				owner := c.owner(c.entries[0])
				other := c.others(owner)[0]
				start := time.Now()
				owner.signal(signal)
				for c.owner(other) == owner {
				}
				times = append(times, time.Since(start))
			}
			reportQuantiles(b, name, times)
		})
	}
}
