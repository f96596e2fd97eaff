package residency_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/proptest"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/residency"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { proptest.Main(m, 500, 60) }

var (
	now    = time.Unix(1000, 0)
	limits = residency.Limits{Slots: 24, StoreLoads: 4, RatePerReplica: 15}
)

func model(name string, waiting int, due time.Duration, rate float64) residency.Model {
	return residency.Model{
		Model: fleet.Model{
			Name: name, WeightsMB: 60, AdapterMB: 1,
			StoreLoad: 6 * time.Second, DiskLoad: 800 * time.Millisecond, MemoryLoad: 600 * time.Millisecond,
		},
		Waiting:  waiting,
		OnTime:   waiting,
		Due:      now.Add(due),
		FastRate: rate,
		SlowRate: rate,
	}
}

// running returns a model without arrivals that has requests in flight.
func running(name string, inflight int) residency.Model {
	m := model(name, 0, 0, 0)
	m.Inflight = inflight
	return m
}

// late returns the model with waiting requests that can no longer start in time.
func late(m residency.Model) residency.Model {
	m.OnTime = 0
	return m
}

func ready(name string) residency.Resident {
	return residency.Resident{Model: name, MB: 60, Ready: true, Since: now.Add(-time.Minute)}
}

func endpoint(id, zone string, holds []string, onDisk ...string) residency.Endpoint {
	e := residency.Endpoint{ID: fleet.EndpointID(id), Zone: zone, CapacityMB: 130, Copies: map[string]residency.Tier{}}
	for _, h := range holds {
		e.Residents = append(e.Residents, ready(h))
	}
	for _, c := range onDisk {
		e.Copies[c] = residency.OnDisk
	}
	return e
}

// ofVersion returns the endpoint with a software version.
func ofVersion(version string, e residency.Endpoint) residency.Endpoint {
	e.Version = version
	return e
}

// requiring returns the model with waiting requests that all require software versions.
func requiring(m residency.Model, versions ...string) residency.Model {
	m.Versions, m.WaitingForVersion = versions, m.Waiting
	return m
}

// busy returns the endpoint while it executes an order.
func busy(e residency.Endpoint) residency.Endpoint {
	e.Busy = true
	return e
}

// Guards against streams that cannot go on although an endpoint of their software version could load their model in
// time, and against loads for them that come too late or at another version.
func TestModelIsLoadedAtRequiredVersion(t *testing.T) {
	waiting := func(name string) residency.Model { return requiring(model(name, 2, time.Second, 0.1), "v1") }
	for _, c := range []struct {
		name      string
		endpoints []residency.Endpoint
		models    []residency.Model
		want      map[string]string // model by endpoint
	}{
		{
			"from a copy at the version, though another version has the model",
			[]residency.Endpoint{
				ofVersion("v2", endpoint("other", "a", []string{"m", "z"})),
				ofVersion("v1", endpoint("copy", "a", []string{"x", "y"}, "m")),
			},
			[]residency.Model{waiting("m"), model("x", 0, 0, 0.1), model("y", 0, 0, 0.1)},
			map[string]string{"copy": "m"},
		},
		{
			"not from the weight store",
			[]residency.Endpoint{ofVersion("v2", endpoint("other", "a", []string{"m", "z"})), ofVersion("v1", endpoint("none", "a", []string{"x", "y"}))},
			[]residency.Model{waiting("m")},
			map[string]string{},
		},
		{
			"not twice",
			[]residency.Endpoint{ofVersion("v1", endpoint("has", "a", []string{"m"})), ofVersion("v1", endpoint("copy", "a", nil, "m"))},
			[]residency.Model{waiting("m")},
			map[string]string{},
		},
		{
			"once for requests that require the version and others",
			[]residency.Endpoint{ofVersion("v1", endpoint("copy", "a", nil, "m")), ofVersion("v2", endpoint("other", "a", nil, "m"))},
			[]residency.Model{waiting("m")},
			map[string]string{"copy": "m"},
		},
		{
			"not at another version while the endpoint with the copy is busy",
			[]residency.Endpoint{ofVersion("v1", busy(endpoint("copy", "a", []string{"x", "y"}, "m"))), ofVersion("v2", endpoint("other", "a", []string{"x", "y"}, "m"))},
			[]residency.Model{waiting("m")},
			map[string]string{},
		},
		{
			"not in place of the only copy of another one at the version",
			[]residency.Endpoint{
				ofVersion("v2", endpoint("other", "a", []string{"m", "n"})),
				ofVersion("v1", endpoint("copy", "a", []string{"n", "n2"}, "m")),
			},
			[]residency.Model{waiting("m"), waiting("n"), requiring(model("n2", 0, 0, 0.1))},
			map[string]string{"copy": "m"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := map[string]string{}
			for _, s := range residency.Decide(residency.Snapshot{Now: now, Endpoints: c.endpoints, Models: c.models, Limits: limits}) {
				got[string(s.Endpoint)] = s.Load
				is.True(!slices.Contains(s.Evict, "n"))
			}
			is.Equal(got, c.want)
		})
	}
}

func TestDecide(t *testing.T) {
	type want map[string]string // model by endpoint
	busy := endpoint("home", "a", []string{"x", "y"}, "cold")
	busy.Busy = true
	justLoaded := endpoint("home", "a", []string{"x", "y"}, "cold")
	for i := range justLoaded.Residents {
		justLoaded.Residents[i].Since = now
	}
	for _, c := range []struct {
		name      string
		endpoints []residency.Endpoint
		models    []residency.Model
		want      want
	}{
		{
			"a cold model is loaded from its cached copy, not on an empty endpoint",
			[]residency.Endpoint{endpoint("empty", "a", nil), endpoint("home", "a", []string{"x", "y"}, "cold")},
			[]residency.Model{model("cold", 1, 0, 0)},
			want{"home": "cold"},
		},
		{
			"a busy endpoint with a copy is waited for",
			[]residency.Endpoint{endpoint("empty", "a", nil), busy},
			[]residency.Model{model("cold", 1, 0, 0)},
			want{},
		},
		{
			"an endpoint with a copy whose models were just loaded is waited for",
			[]residency.Endpoint{endpoint("empty", "a", nil), justLoaded},
			[]residency.Model{model("cold", 1, 0, 0), model("x", 0, 0, 0), model("y", 0, 0, 0)},
			want{},
		},
		{
			"an overdue model is loaded from the store",
			[]residency.Endpoint{endpoint("empty", "a", nil), justLoaded},
			[]residency.Model{model("cold", 1, -4*time.Second, 0), model("x", 0, 0, 0.1), model("y", 0, 0, 0.1)},
			want{"empty": "cold"},
		},
		{
			"a model without a copy anywhere is loaded from the store",
			[]residency.Endpoint{endpoint("empty", "a", nil)},
			[]residency.Model{model("cold", 1, 0, 0)},
			want{"empty": "cold"},
		},
		{
			"a model that was just loaded is not evicted",
			[]residency.Endpoint{justLoaded},
			[]residency.Model{model("cold", 1, 0, 0), model("x", 0, 0, 0.1), model("y", 0, 0, 0.1)},
			want{},
		},
		{
			"replicas that a hot model requires are not evicted",
			[]residency.Endpoint{endpoint("home", "a", []string{"hot", "hot2"}, "cold")},
			[]residency.Model{model("cold", 1, 0, 0), model("hot", 0, 0, 20), model("hot2", 0, 0, 20)},
			want{},
		},
		{
			"an overloaded model goes before a rarely used one that is due",
			[]residency.Endpoint{endpoint("home", "a", []string{"x", "y"}, "cold", "hot"), endpoint("other", "a", []string{"hot", "z"})},
			[]residency.Model{model("cold", 1, -time.Second, 0.2), model("hot", 0, 0, 40), model("x", 0, 0, 0.1), model("y", 0, 0, 0.1), model("z", 0, 0, 0.1)},
			want{"home": "hot"},
		},
		{
			"a hot model without replicas goes before a rarely used one",
			[]residency.Endpoint{endpoint("home", "a", []string{"x", "y"}, "cold", "busy")},
			[]residency.Model{model("cold", 2, time.Second, 0.5), late(model("busy", 3, 2*time.Second, 8)), model("x", 0, 0, 0.1), model("y", 0, 0, 0.1)},
			want{"home": "busy"},
		},
		{
			"an idle model is evicted rather than a replica with requests in flight",
			[]residency.Endpoint{endpoint("home", "a", []string{"hot", "x"}, "cold"), endpoint("other", "a", []string{"hot", "z"})},
			[]residency.Model{model("cold", 1, 0, 0), running("hot", 8), model("x", 0, 0, 0.2)},
			want{"home": "cold"},
		},
		{
			"a store load goes to the endpoint with the fewest copies",
			[]residency.Endpoint{endpoint("home", "a", []string{"x"}, "v", "w", "x", "y", "z"), endpoint("new", "a", []string{"z"})},
			[]residency.Model{model("cold", 1, 0, 0), model("x", 0, 0, 0.1), model("z", 0, 0, 0.1)},
			want{"new": "cold"},
		},
		{
			"the model that is due first is loaded",
			[]residency.Endpoint{endpoint("home", "a", []string{"x", "y"}, "early", "late")},
			[]residency.Model{model("late", 1, 2*time.Second, 0), model("early", 1, time.Second, 0)},
			want{"home": "early"},
		},
		{
			"a model with more waiting requests goes before one due slightly earlier",
			[]residency.Endpoint{endpoint("home", "a", []string{"x", "y"}, "one", "three")},
			[]residency.Model{model("one", 1, time.Second, 0), model("three", 3, 1500*time.Millisecond, 0)},
			want{"home": "three"},
		},
		{
			"a model with late requests goes after one whose requests can be in time",
			[]residency.Endpoint{endpoint("home", "a", []string{"x", "y"}, "old", "fresh")},
			[]residency.Model{late(model("old", 1, 0, 0)), model("fresh", 1, 2*time.Second, 0)},
			want{"home": "fresh"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := want{}
			for _, s := range residency.Decide(residency.Snapshot{Now: now, Endpoints: c.endpoints, Models: c.models, Limits: limits}) {
				is.True(!slices.Contains(s.Evict, "hot"))
			}
			for _, s := range residency.Decide(residency.Snapshot{Now: now, Endpoints: c.endpoints, Models: c.models, Limits: limits}) {
				got[string(s.Endpoint)] = s.Load
			}
			is.Equal(got, c.want)
		})
	}
}

// Guards against empty endpoints staying unused until requests wait: they load the models
// with the highest rate per copy, as far as memory and store loads allow. Endpoints with
// copies to swap in load none.
func TestEmptyEndpointsPrefetchModels(t *testing.T) {
	is := is.New(t)
	empty := endpoint("new", "a", nil)
	snap := residency.Snapshot{
		Now:       now,
		Endpoints: []residency.Endpoint{endpoint("home", "a", []string{"x"}, "x", "y", "z"), empty},
		Models:    []residency.Model{model("x", 0, 0, 2), model("y", 0, 0, 1.5), model("z", 0, 0, 0.1), model("idle", 0, 0, 0)},
		Limits:    limits,
	}
	is.Equal(residency.Decide(snap), []residency.Swap{{Endpoint: "new", Load: "x", From: residency.InStore}})
	snap.Limits.StoreLoads = 0
	is.Equal(len(residency.Decide(snap)), 0)
	snap.Limits.StoreLoads = 4
	snap.Endpoints[1].Residents = []residency.Resident{ready("x"), ready("y")}
	is.Equal(len(residency.Decide(snap)), 0) // its memory is full
}

// Guards against placing two hot models on one endpoint, where they share its batch and
// leave no memory for swaps.
func TestHotModelsGoToDifferentEndpoints(t *testing.T) {
	is := is.New(t)
	swaps := residency.Decide(residency.Snapshot{
		Now: now,
		Endpoints: []residency.Endpoint{
			endpoint("a", "z", []string{"hot1", "x"}, "hot2"),
			endpoint("b", "z", []string{"v", "w"}, "hot2"),
		},
		Models: []residency.Model{model("hot1", 0, 0, 14), model("hot2", 1, 0, 14), model("x", 0, 0, 0.1), model("v", 0, 0, 0.2), model("w", 0, 0, 0.2)},
		Limits: limits,
	})
	is.Equal(len(swaps), 1)
	is.Equal(swaps[0].Endpoint, fleet.EndpointID("b"))
}

// Guards against queueing requests for models that the weight store cannot load in time:
// ReadyIn must include the loads that go first.
func TestColdModelsEstimatesLoadTimes(t *testing.T) {
	is := is.New(t)
	snap := residency.Snapshot{
		Now:       now,
		Endpoints: []residency.Endpoint{endpoint("e", "z", []string{"held"}, "near")},
		Limits:    limits,
	}
	for i, name := range []string{"held", "near", "a", "b", "c"} {
		snap.Models = append(snap.Models, model(name, 1, time.Duration(i)*time.Second, 0))
	}
	is.Equal(residency.ColdModels(snap, 3, 4), []residency.ColdModel{
		{Model: "a", ReadyIn: 6 * time.Second},
		{Model: "b", ReadyIn: 12 * time.Second},
		{Model: "c", ReadyIn: 12 * time.Second},
	})
}

// Guards against decisions that exceed an endpoint's memory, swap twice at one endpoint,
// evict a model that is not ready, or exceed the limit of store loads.
func TestDecisionsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snap := drawSnapshot(t)
		byID := map[fleet.EndpointID]residency.Endpoint{}
		models := map[string]residency.Model{}
		for _, e := range snap.Endpoints {
			byID[e.ID] = e
		}
		for _, m := range snap.Models {
			models[m.Name] = m
		}
		store := 0
		seen := map[fleet.EndpointID]bool{}
		for _, s := range residency.Decide(snap) {
			e := byID[s.Endpoint]
			if e.Busy || seen[s.Endpoint] {
				t.Fatalf("swap of %s at %s, which is busy or has another swap", s.Load, s.Endpoint)
			}
			seen[s.Endpoint] = true
			if s.From == residency.InStore {
				store++
			}
			used := models[s.Load].WeightsMB
			for _, r := range e.Residents {
				if r.Model == s.Load {
					t.Fatalf("endpoint %s already holds %s", e.ID, s.Load)
				}
				evicted := false
				for _, v := range s.Evict {
					evicted = evicted || v == r.Model
				}
				if evicted && (!r.Ready || r.Unloading) {
					t.Fatalf("evicted %s, which is not ready or already unloading", r.Model)
				}
				if !evicted {
					used += r.MB + float64(r.Adapters)*models[r.Model].AdapterMB
				}
			}
			if used > e.CapacityMB {
				t.Fatalf("endpoint %s would hold %.0f MB of %.0f MB", e.ID, used, e.CapacityMB)
			}
		}
		if store > snap.Limits.StoreLoads {
			t.Fatalf("%d store loads started, limit is %d", store, snap.Limits.StoreLoads)
		}
	})
}

func drawSnapshot(t *rapid.T) residency.Snapshot {
	snap := residency.Snapshot{Now: now, Limits: limits}
	snap.Limits.StoreLoads = rapid.IntRange(0, 3).Draw(t, "store")
	n := rapid.IntRange(1, 12).Draw(t, "models")
	for i := range n {
		m := model(fmt.Sprint("m", i), rapid.IntRange(0, 3).Draw(t, "waiting"), time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "due"))*time.Millisecond, float64(rapid.IntRange(0, 40).Draw(t, "rate")))
		m.WeightsMB = float64(rapid.IntRange(20, 90).Draw(t, "mb"))
		m.Inflight = rapid.IntRange(0, 30).Draw(t, "inflight")
		snap.Models = append(snap.Models, m)
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "endpoints") {
		e := endpoint(fmt.Sprint("e", i), fmt.Sprint("z", i%3), nil)
		e.CapacityMB = 200
		e.Busy = rapid.Bool().Draw(t, "busy")
		e.SpeedPercent = rapid.SampledFrom([]int{0, 0, 30, 100, 130}).Draw(t, "speed")
		free := e.CapacityMB
		for _, m := range snap.Models {
			switch rapid.IntRange(0, 3).Draw(t, "state") {
			case 0:
				e.Copies[m.Name] = residency.OnDisk
			case 1:
				r := residency.Resident{Model: m.Name, MB: m.WeightsMB, Ready: rapid.Bool().Draw(t, "ready"), Since: now.Add(-time.Second), Unloading: rapid.Bool().Draw(t, "leaving"), Adapters: rapid.IntRange(0, 3).Draw(t, "adapters")}
				if need := r.MB + float64(r.Adapters); need <= free {
					free -= need
					e.Residents = append(e.Residents, r)
				}
			}
		}
		snap.Endpoints = append(snap.Endpoints, e)
	}
	return snap
}

// Guards against prompts queueing at one replica of a hot model. An extra replica must
// neither evict a model that is in use nor load from the weight store.
func TestQueuedPromptsGetExtraReplica(t *testing.T) {
	slowModel := func(awaitingFirstByte float64) residency.Model {
		m := model("slow", 0, 0, 4)
		m.AwaitingFirstByte = awaitingFirstByte
		return m
	}
	idle := model("idle", 0, 0, 0.01)
	inUse := model("used", 0, 0, 1)
	for _, c := range []struct {
		name              string
		awaitingFirstByte float64
		other             residency.Model
		onDisk            []string
		want              int
	}{
		{"an extra replica when prompts queue", 0.9, idle, []string{"slow"}, 1},
		{"none when prompts do not queue", 0.2, idle, []string{"slow"}, 0},
		{"none at the cost of a model in use", 0.9, inUse, []string{"slow"}, 0},
		{"none from the weight store", 0.9, idle, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := residency.Decide(residency.Snapshot{
				Now: now,
				Endpoints: []residency.Endpoint{
					endpoint("e1", "a", []string{"slow"}),
					endpoint("e2", "b", []string{c.other.Name, "busy"}, c.onDisk...),
				},
				Models: []residency.Model{slowModel(c.awaitingFirstByte), c.other, model("busy", 0, 0, 5)},
				Limits: limits,
			})
			replicas := 0
			for _, swap := range got {
				if swap.Load == "slow" {
					replicas++
				}
			}
			is.Equal(replicas, c.want)
		})
	}
}
