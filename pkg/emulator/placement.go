package emulator

import (
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/residency"
	"github.com/tealvane/tealvane/pkg/serve"
)

// decide records the current demand and starts the swaps that the policy returns for it.
func (sim *simulation) decide() {
	sim.demand.AddReport(sim.now, sim.demandReport())
	snap := residency.Snapshot{
		Now:    sim.now,
		Models: sim.demand.Models(sim.now, sim.service()),
		Limits: residency.Limits{
			Slots:          sim.scenario.Fleet.Slots,
			RatePerReplica: sim.scenario.Fleet.RatePerReplica,
		},
	}
	for _, e := range sim.endpoints {
		snap.Endpoints = append(snap.Endpoints, e.snapshot(sim.now, sim))
	}
	storeSlots := residency.StoreSlots(snap.Endpoints, sim.scenario.Fleet.StoreSlots)
	snap.Limits.StoreLoads = storeSlots - sim.storeLoads()
	sim.coldReadyAt = map[string]time.Time{}
	for _, f := range residency.ColdModels(snap, sim.storeLoads(), storeSlots) {
		sim.coldReadyAt[f.Model] = sim.now.Add(f.ReadyIn)
	}
	for _, s := range sim.policy(snap) {
		sim.startSwap(s)
	}
}

func (sim *simulation) storeLoads() int {
	n := 0
	for _, until := range sim.storeLoadEnds {
		if until.After(sim.now) {
			n++
		}
	}
	return n
}

func (sim *simulation) startSwap(s residency.Swap) {
	i := slices.IndexFunc(sim.endpoints, func(e *endpoint) bool { return e.id == s.Endpoint })
	e := sim.endpoints[i]
	for _, v := range s.Evict {
		e.loaded[v].unloading = true
	}
	e.swap = &swap{evict: s.Evict, load: s.Load, stepEnds: sim.now.Add(orderLatency)}
}

// service returns the configuration of the simulated service.
func (sim *simulation) service() fleet.Service {
	models := make(map[string]fleet.Model, len(sim.models))
	for name, m := range sim.models {
		models[name] = m.fleet
	}
	return fleet.Service{Name: service, Engine: &fleet.Engine{Slots: sim.scenario.Fleet.Slots, WeightsMB: sim.scenario.Fleet.MemoryMB, Models: models}}
}

// demandReport returns the demand that the single entry host reports.
func (sim *simulation) demandReport() fleet.DemandReport {
	byModel := map[string]*fleet.NeedReport{}
	needOf := func(name string) *fleet.NeedReport {
		if byModel[name] == nil {
			byModel[name] = &fleet.NeedReport{Service: service, Model: name}
		}
		return byModel[name]
	}
	for name, n := range sim.arrivals {
		needOf(name).Arrived = n
	}
	clear(sim.arrivals)
	for _, r := range sim.active {
		needOf(r.model).Inflight++
	}
	for _, r := range sim.waiting {
		n := needOf(r.model.name)
		due, onTime := serve.DemandRank(r.Request, sim.now)
		dueIn := due.Sub(sim.now).Milliseconds()
		if n.Waiting == 0 || onTime && n.OnTime == 0 || onTime == (n.OnTime > 0) && dueIn < n.DueIn {
			n.DueIn = dueIn
		}
		n.Waiting++
		if onTime {
			n.OnTime++
		}
	}
	demandReport := fleet.DemandReport{Host: "h"}
	for _, name := range sim.names {
		if n := byModel[name]; n != nil {
			demandReport.Needs = append(demandReport.Needs, *n)
		}
	}
	return demandReport
}
