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
		Waiting: waiting,
		InTime:  waiting,
		Due:     now.Add(due),
		Rate:    rate,
		Slow:    rate,
	}
}

// running is a model whose requests are known only by what runs.
func running(name string, inflight int) residency.Model {
	m := model(name, 0, 0, 0)
	m.Inflight = inflight
	return m
}

// late is a model whose waiting requests cannot be in time any more.
func late(m residency.Model) residency.Model {
	m.InTime = 0
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

func TestDecide(t *testing.T) {
	type want map[string]string // endpoint to model
	busy := endpoint("home", "a", []string{"x", "y"}, "cold")
	busy.Busy = true
	fresh := endpoint("home", "a", []string{"x", "y"}, "cold")
	for i := range fresh.Residents {
		fresh.Residents[i].Since = now
	}
	for _, c := range []struct {
		name      string
		endpoints []residency.Endpoint
		models    []residency.Model
		want      want
	}{
		{
			"a cold model goes to its home, not to an empty endpoint without a copy",
			[]residency.Endpoint{endpoint("empty", "a", nil), endpoint("home", "a", []string{"x", "y"}, "cold")},
			[]residency.Model{model("cold", 1, 0, 0)},
			want{"home": "cold"},
		},
		{
			"a busy home is waited for: it is free long before a load from the store ends",
			[]residency.Endpoint{endpoint("empty", "a", nil), busy},
			[]residency.Model{model("cold", 1, 0, 0)},
			want{},
		},
		{
			"so is a home whose models have just been loaded",
			[]residency.Endpoint{endpoint("empty", "a", nil), fresh},
			[]residency.Model{model("cold", 1, 0, 0), model("x", 0, 0, 0), model("y", 0, 0, 0)},
			want{},
		},
		{
			"but not for ever",
			[]residency.Endpoint{endpoint("empty", "a", nil), fresh},
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
			"what has just been loaded stays for the requests that waited for it",
			[]residency.Endpoint{fresh},
			[]residency.Model{model("cold", 1, 0, 0), model("x", 0, 0, 0.1), model("y", 0, 0, 0.1)},
			want{},
		},
		{
			"the replicas that a busy model needs are not given up for a rare one",
			[]residency.Endpoint{endpoint("home", "a", []string{"hot", "hot2"}, "cold")},
			[]residency.Model{model("cold", 1, 0, 0), model("hot", 0, 0, 20), model("hot2", 0, 0, 20)},
			want{},
		},
		{
			"an overloaded model goes before a rare one that is due",
			[]residency.Endpoint{endpoint("home", "a", []string{"x", "y"}, "cold", "hot"), endpoint("other", "a", []string{"hot", "z"})},
			[]residency.Model{model("cold", 1, -time.Second, 0.2), model("hot", 0, 0, 40), model("x", 0, 0, 0.1), model("y", 0, 0, 0.1), model("z", 0, 0, 0.1)},
			want{"home": "hot"},
		},
		{
			"a busy model without any replica goes before a rare one that can be in time",
			[]residency.Endpoint{endpoint("home", "a", []string{"x", "y"}, "cold", "busy")},
			[]residency.Model{model("cold", 2, time.Second, 0.5), late(model("busy", 3, 2*time.Second, 8)), model("x", 0, 0, 0.1), model("y", 0, 0, 0.1)},
			want{"home": "busy"},
		},
		{
			"a replica that serves requests is not taken where an idle model lies, though another replica exists",
			[]residency.Endpoint{endpoint("home", "a", []string{"hot", "x"}, "cold"), endpoint("other", "a", []string{"hot", "z"})},
			[]residency.Model{model("cold", 1, 0, 0), running("hot", 8), model("x", 0, 0, 0.2)},
			want{"home": "cold"},
		},
		{
			"a load from the store goes where no other model is at home",
			[]residency.Endpoint{endpoint("home", "a", []string{"x"}, "v", "w", "x", "y", "z"), endpoint("new", "a", []string{"z"})},
			[]residency.Model{model("cold", 1, 0, 0), model("x", 0, 0, 0.1), model("z", 0, 0, 0.1)},
			want{"new": "cold"},
		},
		{
			"of two rare models the one that is due first is loaded",
			[]residency.Endpoint{endpoint("home", "a", []string{"x", "y"}, "early", "late")},
			[]residency.Model{model("late", 1, 2*time.Second, 0), model("early", 1, time.Second, 0)},
			want{"home": "early"},
		},
		{
			"unless more requests wait for another that is due soon after",
			[]residency.Endpoint{endpoint("home", "a", []string{"x", "y"}, "one", "three")},
			[]residency.Model{model("one", 1, time.Second, 0), model("three", 3, 1500*time.Millisecond, 0)},
			want{"home": "three"},
		},
		{
			"one whose requests are late already goes behind one that can be in time",
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

// Endpoints are replaced by empty ones, one by one. Models were loaded there only
// when their last home had left and requests waited; an empty endpoint takes the
// models that are asked for most for each copy, as far as its memory goes, and a
// home with something to swap in takes none.
func TestEmptyEndpointsAreFilled(t *testing.T) {
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
	is.Equal(len(residency.Decide(snap)), 0) // its memory is taken
}

// Two busy models share one endpoint: both are slow there, and only one place
// is left for rare models, which then cannot load while another serves.
func TestBusyModelsGoToDifferentEndpoints(t *testing.T) {
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

// All endpoints were replaced by empty ones. Requests were held for half of their
// time for models that six loads from the store went before, and refused then.
func TestFarModelsAreTold(t *testing.T) {
	is := is.New(t)
	snap := residency.Snapshot{
		Now:       now,
		Endpoints: []residency.Endpoint{endpoint("e", "z", []string{"held"}, "near")},
		Limits:    limits,
	}
	for i, name := range []string{"held", "near", "a", "b", "c"} {
		snap.Models = append(snap.Models, model(name, 1, time.Duration(i)*time.Second, 0))
	}
	is.Equal(residency.Far(snap, 3, 4), []residency.FarModel{
		{Model: "a", ReadyIn: 6 * time.Second},
		{Model: "b", ReadyIn: 12 * time.Second},
		{Model: "c", ReadyIn: 12 * time.Second},
	})
}

// An endpoint that is ordered to hold more than its memory crashes with all its
// requests. Whatever the demand, no decision asks for it, no endpoint gets two
// swaps at once, and what leaves is ready and not the only replica that waits.
func TestDecisionsFitTheMemory(t *testing.T) {
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
				t.Fatalf("%s gets a second order", s.Endpoint)
			}
			seen[s.Endpoint] = true
			if s.From == residency.InStore {
				store++
			}
			used := models[s.Load].WeightsMB
			for _, r := range e.Residents {
				if r.Model == s.Load {
					t.Fatalf("%s holds %s already", e.ID, s.Load)
				}
				evicted := false
				for _, v := range s.Evict {
					evicted = evicted || v == r.Model
				}
				if evicted && (!r.Ready || r.Leaving) {
					t.Fatalf("%s is not ready and leaves", r.Model)
				}
				if !evicted {
					used += r.MB + float64(r.Adapters)*models[r.Model].AdapterMB
				}
			}
			if used > e.CapacityMB {
				t.Fatalf("%s: %.0f MB in %.0f", e.ID, used, e.CapacityMB)
			}
		}
		if store > snap.Limits.StoreLoads {
			t.Fatalf("%d loads from the store, %d are allowed", store, snap.Limits.StoreLoads)
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
		free := e.CapacityMB
		for _, m := range snap.Models {
			switch rapid.IntRange(0, 3).Draw(t, "state") {
			case 0:
				e.Copies[m.Name] = residency.OnDisk
			case 1:
				r := residency.Resident{Model: m.Name, MB: m.WeightsMB, Ready: rapid.Bool().Draw(t, "ready"), Since: now.Add(-time.Second), Leaving: rapid.Bool().Draw(t, "leaving"), Adapters: rapid.IntRange(0, 3).Draw(t, "adapters")}
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

// Drafts of 9,000 tokens take an endpoint a quarter of a second each. Four a second are
// few requests, but a second replica halves the time that they queue: users got
// their first words after 0.8 s where 0.25 s would do. It must not cost rare models
// their places, nor the weight store.
func TestSlowPromptsGetAnotherReplica(t *testing.T) {
	slow := func(starting float64) residency.Model {
		m := model("slow", 0, 0, 4)
		m.Starting = starting
		return m
	}
	idle := model("idle", 0, 0, 0.01)
	used := model("used", 0, 0, 1)
	for _, c := range []struct {
		name     string
		starting float64
		other    residency.Model
		onDisk   []string
		want     int
	}{
		{"prompts that queue get one", 0.9, idle, []string{"slow"}, 1},
		{"those that do not, none", 0.2, idle, []string{"slow"}, 0},
		{"not at the cost of a model that is asked for", 0.9, used, []string{"slow"}, 0},
		{"not from the weight store", 0.9, idle, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := residency.Decide(residency.Snapshot{
				Now: now,
				Endpoints: []residency.Endpoint{
					endpoint("e1", "a", []string{"slow"}),
					endpoint("e2", "b", []string{c.other.Name, "busy"}, c.onDisk...),
				},
				Models: []residency.Model{slow(c.starting), c.other, model("busy", 0, 0, 5)},
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
