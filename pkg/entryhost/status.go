package entryhost

import (
	"context"
	"maps"
	"slices"

	"github.com/tealvane/tealvane/internal/api/operators"
	"github.com/tealvane/tealvane/pkg/state"
)

// GetStatus implements operators.Handler.
func (a operatorsAPI) GetStatus(context.Context) (*operators.Status, error) {
	h := a.host
	out := &operators.Status{
		Host:  h.self.Host,
		Ready: h.Ready(),
		Log: operators.LogStatus{
			Applied:  int64(h.state.Applied()),
			Readable: h.journal.LogReadable(),
			Writable: h.journal.LogWritable(),
		},
		Hosts:  []operators.HostStatus{},
		Pools:  []operators.PoolStatus{},
		Queues: []operators.QueueStatus{},
	}
	now := h.now()
	for _, s := range h.state.Hosts.Sessions() {
		h.watchMu.Lock()
		live := h.watch.Live(now, s.HostRef)
		h.watchMu.Unlock()
		out.Hosts = append(out.Hosts, operators.HostStatus{
			Name:        s.Host,
			Incarnation: string(s.Incarnation),
			Zone:        s.Zone,
			Live:        live,
		})
	}
	for _, name := range h.state.Pools.Names() {
		out.Pools = append(out.Pools, poolStatus(h.state.Pools.Get(name)))
	}
	for _, list := range h.queues.Usage(now) {
		for _, u := range list {
			out.Queues = append(out.Queues, operators.QueueStatus{
				Customer: u.Customer,
				Model:    u.Model,
				Waiting:  u.Waiting,
				Inflight: u.Inflight,
			})
		}
	}
	return out, nil
}

func poolStatus(p state.Pool) operators.PoolStatus {
	out := operators.PoolStatus{
		Name:      p.Name,
		Owner:     p.Owner.Host,
		Epoch:     int64(p.Epoch),
		Endpoints: []operators.EndpointStatus{},
		Replicas:  []operators.ReplicaStatus{},
	}
	for _, name := range slices.Sorted(maps.Keys(p.Endpoints)) {
		e := p.Endpoints[name]
		out.Endpoints = append(out.Endpoints, operators.EndpointStatus{
			Name:       name,
			Zone:       e.Zone,
			MemoryMB:   e.MemoryMB,
			ReservedMB: p.ReservedMB(name),
			Lost:       e.Lost,
		})
	}
	for _, id := range slices.Sorted(maps.Keys(p.Replicas)) {
		r := p.Replicas[id]
		out.Replicas = append(out.Replicas, operators.ReplicaStatus{
			ID:       string(id),
			Customer: r.Customer,
			Model:    r.Model,
			Endpoint: r.Endpoint,
			Phase:    r.Phase.String(),
			MemoryMB: r.MemoryMB,
		})
	}
	return out
}
