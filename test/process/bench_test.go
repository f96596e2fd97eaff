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

// timeToFirstToken sends a streaming request and returns the time until its first line.
func timeToFirstToken(b *testing.B, url, body string) time.Duration {
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
		b.Fatalf("no first token from %s: status %d, error %v", url, resp.StatusCode, err)
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

// BenchmarkFirstTokenWarm measures the time to first token through an entry host and directly at
// the engine. The difference is the overhead of the entry host.
func BenchmarkFirstTokenWarm(b *testing.B) {
	c := newCluster(b, 3)
	if r := c.entryHosts[0].complete("summary", "x"); r.status != http.StatusOK {
		b.Fatal(r)
	}
	engine := ""
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		if c.observed(name).Loads > 0 {
			engine = c.endpointURLs[name]
		}
	}
	var viaHost, direct []time.Duration
	b.ResetTimer()
	for i := range b.N {
		e := c.entryHosts[i%len(c.entryHosts)]
		viaHost = append(viaHost, timeToFirstToken(b, e.callers+"/v1/completions", `{"model":"summary","prompt":"x","stream":true}`))
		direct = append(direct, timeToFirstToken(b, engine+"/v1/generate", fmt.Sprintf(`{"request_id":"r%d","model":"summary","prompt":"x"}`, i)))
	}
	reportQuantiles(b, "through", viaHost)
	reportQuantiles(b, "engine", direct)
}

const coldModels = 100

// BenchmarkFirstTokenCold measures the time to first token of models that are not loaded.
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
	c.publish(c.entryHosts[0], 1, string(document)+models.String())
	var cold []time.Duration
	b.ResetTimer()
	for i := range b.N {
		e := c.entryHosts[i%len(c.entryHosts)]
		body := fmt.Sprintf(`{"model":"m%d","prompt":"x","stream":true}`, i%coldModels)
		cold = append(cold, timeToFirstToken(b, e.callers+"/v1/completions", body))
	}
	reportQuantiles(b, "cold", cold)
}

// BenchmarkContractInForce measures the time from the publication of a contract until it is in
// force at all hosts.
func BenchmarkContractInForce(b *testing.B) {
	c := newCluster(b, 9)
	document := c.contract()
	var times []time.Duration
	b.ResetTimer()
	for i := range b.N {
		base := int64(i + 1)
		start := time.Now()
		c.publish(c.entryHosts[i%len(c.entryHosts)], base, document)
		for _, e := range c.entryHosts {
			c.waitForVersion(e, base+1)
		}
		times = append(times, time.Since(start))
	}
	reportQuantiles(b, "in-force", times)
}

// waitForVersion polls a host, without a pause, until the contract has reached a version.
func (c *cluster) waitForVersion(e *entryHost, version int64) {
	for {
		out, err := e.operators.GetContract(context.Background(), operators.GetContractParams{Customer: "example"})
		if err == nil && out.Version >= version {
			return
		}
	}
}

// BenchmarkTakeover measures the time from a signal to a pool's owner until another host owns the
// pool: after a crash, and after a graceful shutdown with a handover.
func BenchmarkTakeover(b *testing.B) {
	for name, signal := range map[string]syscall.Signal{"kill": syscall.SIGKILL, "planned": syscall.SIGTERM} {
		b.Run(name, func(b *testing.B) {
			var times []time.Duration
			for range b.N {
				c := newCluster(b, 3)
				owner := c.owner(c.entryHosts[0])
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
