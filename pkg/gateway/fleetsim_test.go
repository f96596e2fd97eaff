package gateway

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
)

// fleetSim runs many hosts in virtual time, with a store and links of limited rates. Nothing of the
// hosts is simulated but their network, the store and the endpoints.
type fleetSim struct {
	store *rateStore
	mu    sync.Mutex
	// byAddr holds the running hosts, egress when each host's link has sent what is queued.
	byAddr map[string]*simHost
	egress map[string]time.Time
	// refused counts messages to hosts that do not run or do not know the sender.
	refused int
	// contention is the setting of hosts that start, pulls the number of pulls that hosts sent.
	contention ContentionMode
	pulls      int
}

// simHost is an incarnation of a host.
type simHost struct {
	*Gateway
	stop context.CancelFunc
}

const (
	simLatency = 2 * time.Millisecond
	// simWeakMbps and simStrongMbps are the links of hosts.
	simWeakMbps, simStrongMbps   = 20, 1000
	simWeakCores, simStrongCores = 0.192, 1.6
	simZones                     = 5
	// simStrongEvery is the number of hosts of which one is strong.
	simStrongEvery = 20
)

// transfer blocks until a message of some bytes has left the link of a host and arrived at another.
func (f *fleetSim) transfer(ctx context.Context, from, to *Gateway, bytes int) error {
	f.mu.Lock()
	now := time.Now()
	end := now
	for _, g := range []*Gateway{from, to} {
		busy := f.egress[g.self.Addr]
		if busy.Before(now) {
			busy = now
		}
		busy = busy.Add(time.Duration(float64(bytes) / g.linkBytesPerSecond() * float64(time.Second)))
		f.egress[g.self.Addr] = busy
		if busy.After(end) {
			end = busy
		}
	}
	f.mu.Unlock()
	return sleep(ctx, end.Sub(now)+simLatency)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// simNode is a host's access to the simulated network.
type simNode struct {
	net  *fleetSim
	addr string
	self *Gateway
}

var errSimUnreachable = errors.New("no such host or unknown certificate")

func (n *simNode) Addr() string              { return n.addr }
func (n *simNode) RemoveConn(string)         {}
func (n *simNode) Serve(ctx context.Context) { <-ctx.Done() }
func (n *simNode) Close() error              { return nil }

func (n *simNode) Open(context.Context, string, peer.Request) (*peer.Stream, error) {
	return nil, errSimUnreachable
}

func (n *simNode) Send(ctx context.Context, addr string, r peer.Request) ([]peer.Response, error) {
	n.net.mu.Lock()
	target := n.net.byAddr[addr]
	if r.Pull != nil {
		n.net.pulls++
	}
	n.net.mu.Unlock()
	if target == nil || !n.self.mesh.isKnown(target.mesh.fingerprint) {
		_ = sleep(ctx, simLatency)
		n.net.mu.Lock()
		n.net.refused++
		n.net.mu.Unlock()
		return nil, errSimUnreachable
	}
	if err := n.net.transfer(ctx, n.self, target.Gateway, requestBytes(r)); err != nil {
		return nil, err
	}
	r.Known = target.mesh.isKnown(n.self.mesh.fingerprint)
	responses := target.handlePeer(r)
	return responses, n.net.transfer(ctx, target.Gateway, n.self, responseBytes(responses, max(1, n.net.store.listWeight)))
}

// Sizes of parts of messages in bytes, about as encoded.
const (
	simMessageBytes   = 300
	simHostEntryBytes = 230
	simPlacementBytes = 60
	simEndpointBytes  = 300
	// simCompression is by how much entries of the list shrink in a message.
	simCompression = 4
)

func requestBytes(r peer.Request) int {
	if r.Pull == nil {
		return simMessageBytes
	}
	return simMessageBytes + simPlacementBytes*len(r.Pull.Demand.Needs)
}

// responseBytes returns the size of responses in which an entry of the list stands for listWeight endpoints.
func responseBytes(responses []peer.Response, listWeight int) int {
	sum := 0
	for _, r := range responses {
		sum += simMessageBytes
		if n := r.Notice; n != nil {
			sum += simHostEntryBytes*len(n.Hosts) + listWeight*(simPlacementBytes*len(n.Endpoints)+simEndpointBytes/simCompression*len(n.ListEntries))
		}
		if s := r.State; s != nil {
			sum += len(s.Archive) + listWeight*simEndpointBytes/simCompression*len(s.Endpoints)
		}
	}
	return sum
}

// simCodec decodes the entries of the simulation.
type simCodec struct{}

func (simCodec) Config(fleet.Entry) (*fleet.Config, bool, error) {
	return &fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Name: "s"}}}, true, nil
}

func (simCodec) Endpoint(e fleet.Entry) (fleet.Endpoint, error) {
	return fleet.Endpoint{ID: fleet.EndpointID(e.Key), Service: "s"}, nil
}

// simEndpoints is a client of endpoints that are never called.
type simEndpoints struct {
	EndpointClient
}

func (simEndpoints) OwnResponse(http.Header) func(http.Header, int) bool { return nil }

// newFleetSim returns a simulation with a configuration and a list of endpoints.
func newFleetSim(endpoints int) *fleetSim {
	f := newEmptyFleetSim(1)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for i := range endpoints {
		f.store.registerEndpoint(i)
	}
	return f
}

// newEmptyFleetSim returns a simulation with a configuration and no endpoints. An entry of the list
// stands for listWeight endpoints at the store and on links, so that the memory of many hosts suffices.
func newEmptyFleetSim(listWeight int) *fleetSim {
	f := &fleetSim{store: newRateStore(), byAddr: map[string]*simHost{}, egress: map[string]time.Time{}}
	f.store.listWeight = listWeight
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.topic(fleet.TopicConfig).append("config", make([]byte, 60_000))
	return f
}

// runEndpoints writes the entries of endpoints that start within a time, and their heartbeats, until ctx
// is done.
func (f *fleetSim) runEndpoints(ctx context.Context, endpoints int, within, heartbeat time.Duration) {
	for round := 0; ; round++ {
		interval := heartbeat
		if round == 0 {
			interval = within
		}
		for i := range endpoints {
			if sleep(ctx, interval/time.Duration(endpoints)) != nil {
				return
			}
			f.store.mu.Lock()
			f.store.registerEndpoint(i)
			f.store.mu.Unlock()
		}
	}
}

// start starts an incarnation of the host with a number.
func (f *fleetSim) start(ctx context.Context, number int) *simHost {
	name := fmt.Sprint("h", number)
	s := Settings{Host: name, Zone: fmt.Sprint("zone-", number%simZones)}
	s.Limits.Cores, s.Limits.CPUShare, s.Limits.LinkMbps = 1, simWeakCores, simWeakMbps
	if number/simZones%simStrongEvery == 0 {
		s.Limits.Cores, s.Limits.CPUShare, s.Limits.LinkMbps = 2, simStrongCores/2, simStrongMbps
	}
	s.Timing.Lease, s.Timing.Drain, s.Timing.Shutdown = 3*time.Second, 5*time.Second, 8*time.Second
	s.Retry.Ratio, s.Retry.Extra, s.Retry.Window = 0.2, 1000, 10*time.Second
	s.Orders.EndpointsCheckTokens = true
	s.Scheduling.Contention = f.contention
	g := newGateway(Config{
		Settings:          s,
		Store:             f.store,
		Codec:             simCodec{},
		NewEndpointClient: func(EndpointTransport) EndpointClient { return simEndpoints{} },
		Logger:            slog.New(slog.DiscardHandler),
		Tracer:            noop.NewTracerProvider(),
	}, &metrics{scope: tally.NoopScope})
	g.mesh = newMesh(name, sha256.Sum256([]byte(g.self.Incarnation)))
	g.attach(&simNode{net: f, addr: name, self: g})
	g.initController()
	start := time.Now()
	g.bootTime = func() time.Duration { return time.Since(start) }
	g.startedAt = start
	ctx, stop := context.WithCancel(ctx)
	h := &simHost{g, stop}
	f.mu.Lock()
	f.byAddr[name] = h
	f.mu.Unlock()
	for _, loop := range g.loops() {
		go loop(ctx)
	}
	go func() {
		if g.awaitConfig(ctx) {
			g.serving.Store(true)
		}
	}()
	return h
}

// startAll starts hosts one after the other within a time.
func (f *fleetSim) startAll(ctx context.Context, hosts int, within time.Duration) []*simHost {
	out := make([]*simHost, 0, hosts)
	for i := range hosts {
		out = append(out, f.start(ctx, i*7919%hosts)) // in mixed order
		time.Sleep(within / time.Duration(hosts))
	}
	return out
}

// kill ends all hosts at once.
func (f *fleetSim) kill(hosts []*simHost) {
	f.mu.Lock()
	clear(f.byAddr)
	f.mu.Unlock()
	for _, h := range hosts {
		h.stop()
	}
}

// unready describes the first host that does not serve yet with all endpoints and a controller, and
// returns how many there are.
func (f *fleetSim) unready(hosts []*simHost, endpoints int) (n int, first string) {
	controllers := 0
	for _, h := range hosts {
		if h.election.HeldToken() != 0 {
			controllers++
		}
		ok := h.Ready() && len(h.directory.LiveIDs(time.Now())) == endpoints && (h.notices.Recent(time.Now()) || h.election.HeldToken() != 0)
		if ok {
			continue
		}
		if n++; n == 1 {
			first = fmt.Sprintf("%s: announced %v, hosts %d (complete %v), list %d, config %d, updated %v, relayed %v", h.self.Host, h.announced.Load(), h.mesh.hosts(),
				h.storeReads.Loaded(fleet.TopicHosts), len(h.directory.LiveIDs(time.Now())), h.configVersion(), h.notices.Recent(time.Now()), h.startup.relayedStart())
		}
	}
	if controllers != 1 {
		n, first = n+1, fmt.Sprintf("%d controllers; %s", controllers, first)
	}
	return n, first
}
