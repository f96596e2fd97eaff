package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tealvane/tealvane/internal/standin/site"
)

const (
	releaseRounds  = 4
	releaseHosts   = 3
	releaseEngines = 4
	releaseModels  = 12
	// lease is lease-ms of the rules: two holders must not take turns within it.
	lease = 3 * time.Second
	// cutLength is how long the store's answers are lost.
	cutLength = 5500 * time.Millisecond
	// thaw is thaw-ms of the rules: orders that arrive within it after their sender's link healed don't count.
	thaw = 300 * time.Millisecond
	// roundTraffic is the traffic before each SIGTERM.
	roundTraffic = 5 * time.Second
	modelMB      = 72700.0
	engineMB     = 200000.0
	llmService   = "gutachter-llm"
	clientsEach  = 6
)

// cutBefore is how long before SIGTERM the store's answers begin to be lost, in turn by round. After the shorter
// time the host still has open connections to the store.
var cutBefore = []time.Duration{100 * time.Millisecond, 2 * time.Second}

// runRelease stops the host that gives the orders while the store's answers to it are lost, and checks the
// orders that arrive at each worker.
func runRelease(c *cluster, trouble bool) (bool, error) {
	var models []site.Model
	for i := range releaseModels {
		models = append(models, site.Model{Name: fmt.Sprintf("m%d", i), WeightsMB: modelMB, LoadS: 6, WarmS: 0.63, DiskS: 0.82})
	}
	err := c.store.Publish(site.Config{
		Version: 7,
		Routes: []site.Route{{Name: "report-draft", Host: "feuchtwerk.example", PathPrefix: "/draft/", Kind: "streaming",
			Service: llmService, TimeoutMS: 5000, TargetLatencyMS: 800, TargetGapMS: 400, Attempts: 2, Resumable: true}},
		Services: []site.Service{{Name: llmService, HealthCheckPath: "/health", ConnectionLimit: 360,
			Engine: &site.Engine{Slots: engineSlots, WeightsMB: engineMB, AdapterSlots: adapterSlots, LoadsPerS: 1.6, Models: models}}},
		Limits: site.DefaultLimits,
	})
	if err != nil {
		return false, err
	}
	zones := []string{"bayern-a", "bayern-b", "bayern-c"}
	var engines []*engine
	for i := range releaseEngines {
		e, err := startEngine(c, fmt.Sprintf("i-%d", i), zones[i%len(zones)], llmService, models, engineMB, models[2*i].Name, models[2*i+1].Name)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	for i := range releaseHosts {
		if _, err := c.addHost(fmt.Sprintf("front-%d", i+1), zones[i%len(zones)]); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	clients := startModelClients(c)
	defer clients.stop.Store(true)
	healed := map[string][]time.Time{}
	for round := 1; round <= releaseRounds; round++ {
		time.Sleep(roundTraffic)
		h := c.holder(engines)
		if h == nil {
			return false, fmt.Errorf("round %d: no host has given an order", round)
		}
		if trouble {
			c.logf("round %d: the store's answers to host %s are lost from now on", round, h.name)
			h.link.oneWay.Store(true)
		}
		before := cutBefore[round%len(cutBefore)]
		time.Sleep(before)
		c.terminate(h)
		heal := make(chan time.Time, 1)
		time.AfterFunc(cutLength-before, func() {
			h.link.oneWay.Store(false)
			heal <- time.Now()
			if trouble {
				c.logf("round %d: the store's answers arrive again", round)
			}
		})
		c.awaitExit(h)
		healed[h.name] = append(healed[h.name], <-heal)
		if err := c.startHost(h); err != nil {
			return false, err
		}
		if err := c.awaitReady(); err != nil {
			return false, err
		}
	}
	clients.stop.Store(true)
	c.logf("clients: %d requests answered with 200, %d otherwise", clients.served.Load(), clients.other.Load())
	if clients.served.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return c.checkOrders(engines, healed), nil
}

// holder returns the host that gave the last order.
func (c *cluster) holder(engines []*engine) *host {
	var last order
	for _, e := range engines {
		for _, o := range e.takeOrders() {
			if o.at.After(last.at) {
				last = o
			}
		}
	}
	for _, h := range c.hosts {
		if h.name == last.Holder {
			return h
		}
	}
	return nil
}

// counting returns the orders that count: not those that arrive just after the link of their sender healed.
func counting(orders []order, healed map[string][]time.Time) []order {
	return slices.DeleteFunc(orders, func(o order) bool {
		return slices.ContainsFunc(healed[o.Holder], func(at time.Time) bool {
			return !o.at.Before(at) && o.at.Sub(at) < thaw
		})
	})
}

// checkOrders checks the orders to each worker by rule ONE for workers that do not check fences.
func (c *cluster) checkOrders(engines []*engine, healed map[string][]time.Time) bool {
	held := true
	total := 0
	for _, e := range engines {
		orders := counting(e.takeOrders(), healed)
		total += len(orders)
		holderOf := map[int64]string{}
		var highest order
		for i, o := range orders {
			if former := holderOf[o.Token]; former != "" && former != o.Holder {
				held = false
				c.logf("ONE: worker %s got orders of %s and %s with one epoch number, %d", e.id, former, o.Holder, o.Token)
			}
			holderOf[o.Token] = o.Holder
			if o.Token < highest.Token {
				held = false
				c.logf("ONE: worker %s got an order of %s with epoch number %d at %.3f s (status %d), %.0f ms after one of %s with %d", e.id, o.Holder, o.Token,
					o.at.Sub(c.start).Seconds(), o.status, float64(o.at.Sub(highest.at).Milliseconds()), highest.Holder, highest.Token)
			}
			if o.Token >= highest.Token {
				highest = o
			}
			if c.takesTurns(orders[:i], o) {
				held = false
				c.logf("ONE: worker %s: %s takes turns with another holder within %v at %.3f s", e.id, o.Holder, lease, o.at.Sub(c.start).Seconds())
			}
		}
	}
	c.logf("checked %d orders", total)
	return held
}

// takesTurns reports whether another holder gave an order between this one and an earlier one of the same
// holder within the lease.
func (c *cluster) takesTurns(before []order, o order) bool {
	other := false
	for i := len(before) - 1; i >= 0 && o.at.Sub(before[i].at) < lease; i-- {
		if before[i].Holder != o.Holder {
			other = true
		} else if other {
			return true
		}
	}
	return false
}

// modelClients is the load of a case with models.
type modelClients struct {
	stop          atomic.Bool
	served, other atomic.Int64
}

// startModelClients sends requests for all models to all hosts, each client one at a time.
func startModelClients(c *cluster) *modelClients {
	m := &modelClients{}
	for _, h := range c.hosts {
		for i := range clientsEach {
			go m.run(c, h, fmt.Sprintf("%s-%d", h.name, i))
		}
	}
	return m
}

func (m *modelClients) run(c *cluster, h *host, name string) {
	client := &http.Client{Timeout: 6 * time.Second}
	for n := 0; !m.stop.Load(); n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		req, err := http.NewRequest(http.MethodPost, "http://"+h.callers+"/draft/x", nil)
		if err != nil {
			return
		}
		req.Host = "feuchtwerk.example"
		req.Header.Set("X-Request-Attempt-Id", id)
		model := fmt.Sprintf("m%d", rand.IntN(releaseModels))
		req.Header.Set("X-Model-Name", model)
		req.Header.Set("X-Token-Counts", "650,60")
		req.Header.Set("X-Remaining-Milliseconds", "5000")
		resp, err := client.Do(req)
		pause := 50 * time.Millisecond
		if err != nil {
			m.other.Add(1)
			time.Sleep(pause)
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK && err == nil {
			m.served.Add(1)
		} else {
			m.other.Add(1)
			if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
				pause = min(time.Duration(s*float64(time.Second)), time.Second)
			}
		}
		time.Sleep(pause)
	}
}
