package gateway

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
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
	return responses, n.net.transfer(ctx, target.Gateway, n.self, responseBytes(responses))
}

// Sizes of parts of messages in bytes, about as encoded.
const (
	simMessageBytes   = 300
	simHostEntryBytes = 230
	simPlacementBytes = 60
	simEndpointBytes  = 300
)

func requestBytes(r peer.Request) int {
	if r.Pull == nil {
		return simMessageBytes
	}
	return simMessageBytes + simPlacementBytes*len(r.Pull.Demand.Needs)
}

func responseBytes(responses []peer.Response) int {
	sum := 0
	for _, r := range responses {
		sum += simMessageBytes
		if n := r.Notice; n != nil {
			sum += simHostEntryBytes*len(n.Hosts) + simPlacementBytes*len(n.Endpoints) + simEndpointBytes*len(n.ListEntries)
		}
		if s := r.State; s != nil {
			sum += len(s.Archive) + simEndpointBytes*len(s.Endpoints)
		}
	}
	return sum
}

// rateStore is a store of limited rates. Calls time out as those of the platform's client do.
type rateStore struct {
	mu     sync.Mutex
	topics map[fleet.Topic]*rateTopic
	// readsDone is when the reads that are queued are done.
	readsDone time.Time
	calls     map[string]int
	readBytes int
	// fault decides the fault of a call that begins now; nil means none.
	fault func() storeFault
}

type rateTopic struct {
	log         []fleet.Entry
	newest      map[string]fleet.Entry
	appendsDone time.Time
	appended    chan struct{}
}

const (
	storeLatency = 4 * time.Millisecond
	storeTimeout = time.Second
	// storeAppend is the time of an append, of which a topic does one at a time.
	storeAppend         = 2 * time.Millisecond
	storeMaxQueue       = 2 * time.Second
	storeBytesPerSecond = 80e6
	storePageItems      = 500
	// storeEncoding is by how much a listing is larger than its entries.
	storeEncoding = 1.4
)

func newRateStore() *rateStore {
	return &rateStore{topics: map[fleet.Topic]*rateTopic{}, calls: map[string]int{}}
}

// topic returns a topic. s.mu must be held.
func (s *rateStore) topic(t fleet.Topic) *rateTopic {
	x := s.topics[t]
	if x == nil {
		x = &rateTopic{newest: map[string]fleet.Entry{}, appended: make(chan struct{})}
		s.topics[t] = x
	}
	return x
}

func (x *rateTopic) append(key string, value []byte) fleet.Position {
	e := fleet.Entry{Key: key, Value: value, Offset: fleet.Position(len(x.log))}
	x.log = append(x.log, e)
	x.newest[key] = e
	close(x.appended)
	x.appended = make(chan struct{})
	return e.Offset
}

func (s *rateStore) count(call string, t fleet.Topic) {
	s.calls[call+" "+t.String()]++
}

func (s *rateStore) Put(ctx context.Context, t fleet.Topic, key string, value []byte, at fleet.Position) (fleet.Position, error) {
	timeout := storeTimeout
	if t == fleet.TopicHosts {
		timeout += storeMaxQueue
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	fault := s.faultNow()
	if fault == faultSilent || fault == faultReset {
		s.mu.Lock()
		s.count("put", t)
		s.mu.Unlock()
		return 0, fault.fail(ctx)
	}
	s.mu.Lock()
	s.count("put", t)
	x := s.topic(t)
	now := time.Now()
	if x.appendsDone.Before(now) {
		x.appendsDone = now
	}
	if x.appendsDone.Sub(now) > storeMaxQueue {
		s.mu.Unlock()
		_ = sleep(ctx, storeLatency)
		return 0, fleet.ErrStoreRejected
	}
	x.appendsDone = x.appendsDone.Add(storeAppend)
	done := x.appendsDone.Sub(now)
	s.mu.Unlock()
	time.Sleep(done) // The append is carried out even if the caller gives up.
	s.mu.Lock()
	if at != fleet.AnyOffset && int(at) != len(x.log) {
		s.mu.Unlock()
		return 0, fleet.ErrStoreConflict
	}
	offset := x.append(key, value)
	s.mu.Unlock()
	if fault == faultLostResponse {
		return 0, fault.fail(ctx)
	}
	if sleep(ctx, storeLatency) != nil {
		return 0, fleet.ErrStoreUnavailable
	}
	return offset, nil
}

// respond blocks until a response of some bytes has been sent. Its bytes are sent even if the caller
// gives up.
func (s *rateStore) respond(ctx context.Context, bytes int) error {
	s.mu.Lock()
	now := time.Now()
	if s.readsDone.Before(now) {
		s.readsDone = now
	}
	s.readsDone = s.readsDone.Add(time.Duration(float64(bytes) / storeBytesPerSecond * float64(time.Second)))
	s.readBytes += bytes
	done := s.readsDone.Sub(now)
	s.mu.Unlock()
	if sleep(ctx, done+storeLatency) != nil {
		return fleet.ErrStoreUnavailable
	}
	return nil
}

func entryBytes(entries []fleet.Entry) int {
	sum := 0
	for _, e := range entries {
		sum += len(e.Key) + len(e.Value)
	}
	return sum
}

func (s *rateStore) Page(ctx context.Context, t fleet.Topic, after string) (fleet.Batch, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.mu.Lock()
	s.count("page", t)
	if fault := s.faultLocked(); fault != faultNone {
		s.mu.Unlock()
		return fleet.Batch{}, false, fault.fail(ctx)
	}
	x := s.topic(t)
	b := fleet.Batch{Next: fleet.Position(len(x.log))}
	keys := slices.Sorted(maps.Keys(x.newest))
	first, found := slices.BinarySearch(keys, after)
	if found {
		first++
	}
	keys = keys[first:]
	more := len(keys) > storePageItems
	for _, k := range keys[:min(len(keys), storePageItems)] {
		b.Entries = append(b.Entries, x.newest[k])
	}
	s.mu.Unlock()
	return b, more, s.respond(ctx, int(storeEncoding*float64(entryBytes(b.Entries))))
}

func (s *rateStore) Newest(ctx context.Context, t fleet.Topic) (fleet.Batch, error) {
	out, more, err := s.Page(ctx, t, "")
	for more && err == nil {
		var page fleet.Batch
		page, more, err = s.Page(ctx, t, out.Entries[len(out.Entries)-1].Key)
		out.Entries = append(out.Entries, page.Entries...)
	}
	return out, err
}

func (s *rateStore) Read(ctx context.Context, t fleet.Topic, from fleet.Position, wait time.Duration) (fleet.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+wait)
	defer cancel()
	s.mu.Lock()
	s.count("read", t)
	if fault := s.faultLocked(); fault != faultNone {
		s.mu.Unlock()
		return fleet.Batch{}, fault.fail(ctx)
	}
	x := s.topic(t)
	if len(x.log) <= int(from) && wait > 0 {
		appended := x.appended
		s.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-appended:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		s.mu.Lock()
	}
	b := fleet.Batch{Next: max(from, fleet.Position(len(x.log)))}
	if int(from) < len(x.log) {
		b.Entries = slices.Clone(x.log[from:])
	}
	s.mu.Unlock()
	return b, s.respond(ctx, entryBytes(b.Entries))
}

// totalCalls returns the number of calls.
func (s *rateStore) totalCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.calls {
		sum += n
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
	f := &fleetSim{store: newRateStore(), byAddr: map[string]*simHost{}, egress: map[string]time.Time{}}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.topic(fleet.TopicConfig).append("config", make([]byte, 60_000))
	for i := range endpoints {
		f.store.topic(fleet.TopicEndpoints).append(fmt.Sprint("e", i), []byte(strings.Repeat(fmt.Sprint("field", i), simEndpointBytes/8)))
	}
	return f
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
		ok := h.Ready() && len(h.directory.LiveIDs(time.Now())) == endpoints && (h.notices.recent(time.Now()) || h.election.HeldToken() != 0)
		if ok {
			continue
		}
		if n++; n == 1 {
			first = fmt.Sprintf("%s: announced %v, hosts %d (complete %v), list %d, config %d, updated %v, relayed %v", h.self.Host, h.announced.Load(), h.mesh.hosts(),
				h.storeReads.Loaded(fleet.TopicHosts), len(h.directory.LiveIDs(time.Now())), h.configVersion(), h.notices.recent(time.Now()), h.startup.relayedStart())
		}
	}
	if controllers != 1 {
		n, first = n+1, fmt.Sprintf("%d controllers; %s", controllers, first)
	}
	return n, first
}
