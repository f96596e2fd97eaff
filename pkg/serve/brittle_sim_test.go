package serve_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/occupancy"
	"github.com/tealvane/tealvane/pkg/retry"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/slotshare"
	"go.opentelemetry.io/otel/trace/noop"
)

// The simulated deployment: endpoints become brittle at brittleFrom, and their queues shorter a settle time
// later. Requests count that arrive from then on, before the end.
const (
	simSlots       = 12
	simQueue       = 36
	simShortQueue  = 6
	simRejections  = 10
	simDown        = 3 * time.Second
	simRunTime     = 250 * time.Millisecond
	simObjective   = time.Second
	simTimeout     = 4 * time.Second
	simLatency     = time.Millisecond
	brittleFrom    = 3 * time.Second
	simSettle      = 2 * time.Second
	simEnd         = 12 * time.Second
	simViewPeriod  = 250 * time.Millisecond
	simMaintenance = 20 * time.Millisecond
	simPeerLatency = 2 * time.Millisecond
	burstFrom      = 7 * time.Second
	burstTime      = 500 * time.Millisecond
)

// simHost is a host with its real decisions.
type simHost struct {
	name       string
	server     *serve.Server
	dispatcher *serve.Dispatcher
	local      *occupancy.Local
	health     *serve.Health
	slots      *slotshare.Table
	sim        *brittleSim
	weight     float64
	faulty     bool
}

// silent reports whether the host does not respond to others.
func (h *simHost) silent() bool {
	since := time.Since(h.sim.start)
	if !h.faulty || since < faultFrom {
		return false
	}
	switch h.sim.fault {
	case simKill:
		return true
	case simCut, simFreeze:
		return since < faultFrom+faultTime
	}
	return false
}

// stopped reports whether the host takes no requests.
func (h *simHost) stopped() bool { return h.silent() && h.sim.fault != simCut }

// probe finds out which hosts respond.
func (h *simHost) probe() {
	_, _, brittle := h.health.Brittle.Find("s")
	for _, name := range h.slots.ProbesDue(brittle) {
		if h.silent() || h.sim.byName[name].silent() {
			h.slots.RecordDown(name)
		} else {
			h.slots.RecordUp(name)
		}
	}
}

// simFault is a fault of hosts.
type simFault string

const (
	// simKill ends hosts with their requests, which their clients do not send elsewhere.
	simKill simFault = "killed"
	// simCut keeps hosts from all others for some seconds.
	simCut simFault = "cut off"
	// simLate makes hosts hear late that endpoints are brittle, unless an endpoint tells them.
	simLate simFault = "late"
	// simFreeze stops hosts for some seconds; their requests go on at the endpoints.
	simFreeze simFault = "frozen"
)

const (
	faultFrom   = 6 * time.Second
	faultTime   = 3 * time.Second
	lateTime    = 1500 * time.Millisecond
	askTimeout  = 600 * time.Millisecond
	simProbeGap = 100 * time.Millisecond
)

// simConfig configures a simulation.
type simConfig struct {
	hosts, endpoints int
	// load is the offered load relative to the slots of all endpoints.
	load float64
	// burst is whether one host gets as many requests again as all hosts together, for burstTime.
	burst bool
	// contended is whether requests are scheduled for contention, brittle whether the endpoints are brittle.
	contended, brittle bool
	// fault is what happens to a tenth of the hosts, one at least.
	fault simFault
	seed  uint64
}

// brittleSim is a deployment.
type brittleSim struct {
	start time.Time
	simConfig
	members  []*simHost
	engines  []*simEndpoint
	byID     map[fleet.EndpointID]*simEndpoint
	byName   map[string]*simHost
	rejected counter
	// asked counts the questions to other hosts for a slot, handed the requests by way of another host.
	asked, handed counter

	mu                    sync.Mutex
	offered, inTime, late int
}

// counter is a number that may be increased concurrently.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) Add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += n
}

func (c *counter) Value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// Find implements serve.Placement.
func (s *brittleSim) Find(time.Time, serve.Need) serve.Location {
	out := make([]fleet.Endpoint, len(s.engines))
	for i, e := range s.engines {
		out[i] = e.Endpoint
	}
	return serve.Location{Ready: out, HasEndpoints: true}
}

func newBrittleSim(c simConfig) *brittleSim {
	random := rand.New(rand.NewPCG(c.seed, 1))
	s := &brittleSim{start: time.Now(), simConfig: c, byID: map[fleet.EndpointID]*simEndpoint{}, byName: map[string]*simHost{}}
	for i := range c.endpoints {
		e := &simEndpoint{Endpoint: fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprintf("i-%04d", i)), Service: "s", Slots: simSlots}, sim: s, life: make(chan struct{})}
		s.engines = append(s.engines, e)
		s.byID[e.ID] = e
	}
	for i := range c.hosts {
		name := fmt.Sprintf("host-%d", i)
		h := &simHost{name: name, local: occupancy.NewLocal(name), health: serve.NewHealth(), sim: s, weight: 0.2 + random.ExpFloat64()}
		h.dispatcher = serve.NewDispatcher("z", s, h.health, time.Now, func() {})
		h.dispatcher.Contention = func(service string) bool { return c.contended || h.slots.Limited(service) }
		h.dispatcher.Occupancy = h.local
		h.slots = slotshare.NewTable(time.Now, func(service string) (slotshare.Limit, bool) {
			limit, since, ok := h.health.Brittle.Find(service)
			return slotshare.Limit{MaxRejections: limit, Since: since}, ok
		})
		h.dispatcher.Slots = h.slots
		h.health.Brittle.Changed = func(b fleet.BrittleService) { s.announce(h, b) }
		s.byName[name] = h
		budget := retry.NewBudget(retry.Limits{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}, 0.8)
		budget.SetHosts(c.hosts)
		h.server = &serve.Server{Backend: h, Queue: h.dispatcher, Health: h.health, Budget: budget, Now: time.Now, Tracer: noop.NewTracerProvider().Tracer("")}
		h.faulty = c.fault != "" && i <= c.hosts/10
		s.members = append(s.members, h)
	}
	names := slices.Sorted(maps.Keys(s.byName))
	for _, h := range s.members {
		h.slots.SetHosts(h.name, slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == h.name }))
	}
	return s
}

// announce tells the other hosts what one has learned, as pulls do.
func (s *brittleSim) announce(from *simHost, b fleet.BrittleService) {
	for _, h := range s.members {
		if h != from {
			delay := 100*time.Millisecond + rand.N(400*time.Millisecond)
			if h.faulty && s.fault == simLate {
				delay = lateTime
			}
			time.AfterFunc(delay, func() { h.health.Brittle.Merge(time.Now(), []fleet.BrittleService{b}) })
		}
	}
}

// slotWait is how long a request waits for a slot at one host.
const slotWait = 300 * time.Millisecond

// Send implements serve.Backend. It takes a slot as package proxy does.
func (h *simHost) Send(ctx context.Context, r *serve.Request, s serve.Send) (*serve.Response, error) {
	limit, _, brittle := h.health.Brittle.Find("s")
	if !brittle {
		slot, _ := h.slots.Acquire(ctx, s.Endpoint, slotshare.Claim{MaxRejections: -1})
		return h.sendIn(ctx, slot, s.Endpoint)
	}
	for _, owner := range h.slots.Owners(s.Endpoint) {
		claim := slotshare.Claim{Urgency: s.Urgency, Wait: slotWait, MaxRejections: limit}
		if owner.Self {
			if slot, refused := h.slots.Acquire(ctx, s.Endpoint, claim); refused == nil {
				return h.sendIn(ctx, slot, s.Endpoint)
			}
			continue
		}
		h.slots.RecordQuestion()
		h.sim.asked.Add(1)
		o := h.sim.byName[owner.Name]
		if h.silent() || o.silent() {
			time.Sleep(askTimeout)
			h.slots.RecordDown(owner.Name)
			continue
		}
		time.Sleep(simPeerLatency)
		slot, refused := o.slots.Acquire(ctx, s.Endpoint, claim)
		time.Sleep(simPeerLatency)
		if refused != nil {
			h.slots.RecordRefusal(owner.Name, s.Endpoint.ID)
			continue
		}
		h.slots.RecordGrant(owner.Name, s.Endpoint.ID)
		h.sim.handed.Add(1)
		return o.sendIn(ctx, slot, s.Endpoint)
	}
	return nil, &serve.NoSlotError{RetryIn: h.slots.NextAttempt(s.Endpoint)}
}

// sendIn sends a request in a slot of this host.
func (h *simHost) sendIn(ctx context.Context, slot *slotshare.Slot, to fleet.Endpoint) (*serve.Response, error) {
	resp, err := h.sendDirect(ctx, to)
	switch {
	case err != nil && errors.Is(err, serve.ErrNotSent):
		slot.End(slotshare.NotSent)
	case err == nil && resp.Class == serve.Overloaded:
		slot.End(slotshare.Rejected)
	default:
		slot.End(slotshare.Ended)
	}
	return resp, err
}

// sendDirect sends a request from this host to an endpoint.
func (h *simHost) sendDirect(ctx context.Context, to fleet.Endpoint) (*serve.Response, error) {
	e := h.sim.byID[to.ID]
	time.Sleep(simLatency)
	result, life := e.arrive(ctx)
	switch result {
	case arrivalRefused:
		return nil, fmt.Errorf("%w: %w", serve.ErrNotSent, serve.ErrUnreachable)
	case arrivalRejected:
		return e.response(serve.Overloaded, 503, ""), nil
	case arrivalBroken:
		return nil, errReset
	}
	defer e.end(life)
	select {
	case <-time.After(simRunTime/2 + rand.N(simRunTime)):
		return e.response(serve.Completed, 200, "answer"), nil
	case <-life:
		return nil, errReset
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// RunStatus implements serve.Backend.
func (h *simHost) RunStatus(context.Context, *serve.Request, fleet.Endpoint) (serve.RunStatus, error) {
	return serve.RunStatus{Active: true}, nil
}

// request serves one request of a client.
func (h *simHost) request(id string) {
	now := time.Now()
	r := &serve.Request{
		ID: id, Service: "s", Arrived: now, Deadline: now.Add(simTimeout), ClientDeadline: now.Add(simTimeout),
		Route: fleet.Route{Kind: fleet.Idempotent, Attempts: 3, Objective: simObjective},
	}
	counted := now.Sub(h.sim.start) >= brittleFrom+simSettle/2
	result := h.server.Serve(context.Background(), r, &sink{})
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	if counted {
		h.sim.offered++
		if result.Complete && time.Since(now) <= simObjective {
			h.sim.inTime++
		} else if result.Complete {
			h.sim.late++
		}
	}
}

// publishViews publishes the occupancy as the controller does, one period late.
func (s *brittleSim) publishViews(seq int64) {
	now := time.Now()
	sums := map[fleet.EndpointHash]int{}
	for _, h := range s.members {
		inFlight := h.health.InFlight(func(string) bool { return true })
		h.local.Report(now, inFlight)
		for id, n := range inFlight {
			sums[id.Hash()] += n
		}
	}
	o := fleet.Occupancy{Token: 1, Seq: seq, AgeMillis: simViewPeriod.Milliseconds()}
	for id, n := range sums {
		o.Endpoints = append(o.Endpoints, fleet.EndpointOccupancy{Endpoint: id, InFlight: n, RunTimePercent: occupancy.UsualPercent})
	}
	time.AfterFunc(simViewPeriod, func() {
		for _, h := range s.members {
			h.local.Apply(time.Now(), len(s.members), o)
		}
		for _, h := range s.members {
			h.dispatcher.DispatchWaiting()
		}
	})
}

// brittleResult is the result of a simulation.
type brittleResult struct {
	// served is the share of the counted requests that were served within the objective.
	served float64
	// late is the share of those that were served later.
	late            float64
	falls, rejected int
	// asked and handed are questions and requests to other hosts, per counted request.
	asked, handed float64
}

func (s *brittleSim) run() brittleResult {
	random := rand.New(rand.NewPCG(s.seed, 2))
	total := 0.0
	for _, h := range s.members {
		total += h.weight
	}
	rate := s.load * float64(len(s.engines)*simSlots) / simRunTime.Seconds()
	var running sync.WaitGroup
	running.Go(func() {
		for seq := int64(1); time.Since(s.start) < simEnd; seq++ {
			s.publishViews(seq)
			time.Sleep(simViewPeriod)
		}
	})
	running.Go(func() {
		for time.Since(s.start) < simEnd+simTimeout {
			time.Sleep(simMaintenance)
			for _, h := range s.members {
				h.dispatcher.DispatchWaiting()
			}
		}
	})
	running.Go(func() {
		for time.Since(s.start) < simEnd {
			time.Sleep(simProbeGap)
			for _, h := range s.members {
				h.probe()
			}
		}
	})
	for i, h := range s.members {
		own := rand.New(rand.NewPCG(s.seed, uint64(i)+random.Uint64()))
		mean := time.Duration(float64(time.Second) * total / h.weight / rate)
		running.Go(func() {
			for n := 0; ; n++ {
				time.Sleep(time.Duration(own.ExpFloat64() * float64(mean)))
				if time.Since(s.start) >= simEnd {
					return
				}
				if !h.stopped() {
					running.Go(func() { h.request(fmt.Sprint(h.name, "-", n)) })
				}
			}
		})
	}
	if s.burst {
		running.Go(func() { s.runBurst(&running, time.Duration(float64(time.Second)/rate)) })
	}
	running.Wait()
	time.Sleep(2 * simViewPeriod)
	out := brittleResult{served: float64(s.inTime) / float64(max(1, s.offered)), rejected: s.rejected.Value()}
	out.late = float64(s.late) / float64(max(1, s.offered))
	out.asked = float64(s.asked.Value()) / float64(max(1, s.offered))
	out.handed = float64(s.handed.Value()) / float64(max(1, s.offered))
	for _, e := range s.engines {
		out.falls += e.falls
	}
	return out
}

// runBurst sends requests to one host at an interval.
func (s *brittleSim) runBurst(running *sync.WaitGroup, interval time.Duration) {
	time.Sleep(burstFrom)
	for n := range int(burstTime / interval) {
		running.Go(func() { s.members[0].request(fmt.Sprint("burst-", n)) })
		time.Sleep(interval)
	}
}
