package emulator

import (
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/residency"
	"github.com/tealvane/tealvane/pkg/serve"
)

// decide reports demand and starts what the policy asks for.
func (w *world) decide() {
	w.demand.Take(w.now, w.report())
	snap := residency.Snapshot{
		Now:    w.now,
		Models: w.demand.Models(w.now, w.service()),
		Limits: residency.Limits{
			Slots:          w.scenario.Fleet.Slots,
			RatePerReplica: w.scenario.Fleet.RatePerReplica,
		},
	}
	for _, e := range w.endpoints {
		snap.Endpoints = append(snap.Endpoints, e.snapshot(w.now, w))
	}
	slots := residency.StoreSlots(snap.Endpoints, w.scenario.Fleet.StoreSlots)
	snap.Limits.StoreLoads = slots - w.storeLoads()
	w.far = map[string]time.Time{}
	for _, f := range residency.Far(snap, w.storeLoads(), slots) {
		w.far[f.Model] = w.now.Add(f.ReadyIn)
	}
	for _, s := range w.policy(snap) {
		w.begin(s)
	}
}

func (w *world) storeLoads() int {
	n := 0
	for _, until := range w.stores {
		if until.After(w.now) {
			n++
		}
	}
	return n
}

func (w *world) begin(s residency.Swap) {
	i := slices.IndexFunc(w.endpoints, func(e *endpoint) bool { return e.id == s.Endpoint })
	e := w.endpoints[i]
	for _, v := range s.Evict {
		e.holds[v].leaving = true
	}
	e.swap = &swap{evict: s.Evict, load: s.Load, next: w.now.Add(orderTrip)}
}

// service returns the models as the configuration names them.
func (w *world) service() fleet.Service {
	models := make(map[string]fleet.Model, len(w.models))
	for name, m := range w.models {
		models[name] = m.fleet
	}
	return fleet.Service{Name: service, Engine: &fleet.Engine{Slots: w.scenario.Fleet.Slots, WeightsMB: w.scenario.Fleet.MemoryMB, Models: models}}
}

// report is the demand of the only host.
func (w *world) report() fleet.DemandReport {
	byModel := map[string]*fleet.NeedReport{}
	of := func(name string) *fleet.NeedReport {
		if byModel[name] == nil {
			byModel[name] = &fleet.NeedReport{Service: service, Model: name}
		}
		return byModel[name]
	}
	for name, n := range w.arrived {
		of(name).Arrived = n
	}
	clear(w.arrived)
	for _, r := range w.runs {
		of(r.model).Inflight++
	}
	for _, r := range w.waiting {
		n := of(r.model.name)
		due, inTime := serve.Due(r.Request, w.now)
		dueIn := due.Sub(w.now).Milliseconds()
		if n.Waiting == 0 || inTime && n.InTime == 0 || inTime == (n.InTime > 0) && dueIn < n.DueIn {
			n.DueIn = dueIn
		}
		n.Waiting++
		if inTime {
			n.InTime++
		}
	}
	report := fleet.DemandReport{Host: "h"}
	for _, name := range w.names {
		if n := byModel[name]; n != nil {
			report.Needs = append(report.Needs, *n)
		}
	}
	return report
}
