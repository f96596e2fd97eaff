package process_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tealvane/tealvane/examples"
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
