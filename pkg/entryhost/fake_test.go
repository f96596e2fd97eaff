package entryhost

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/platform"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/settings"
	"github.com/tealvane/tealvane/pkg/state"
	"go.opentelemetry.io/otel/trace/noop"
)

// hop is the time of one message in the fakes.
const hop = time.Millisecond

// fakes are the outside systems of some hosts that run in virtual time.
type fakes struct {
	mu      sync.Mutex
	records []platform.Entry
	first   record.Offset
	down    bool
	lose    int
	late    int
	engines map[string]*fakeEngine
	list    []platform.ListedHost
	hosts   map[string]*fakeHost
	cut     map[string]bool
	// frozen are the old lists that some hosts still see.
	frozen  map[string][]platform.ListedHost
	running sync.WaitGroup
	booted  int
	// all keeps the trimmed records too.
	all           []platform.Entry
	snapshotEvery int
	// documents are the contracts that count, by version: a publication counts
	// when it is based on the version before it.
	documents []string
}

// fakeHost is a host with adapters that fail once it is dead.
type fakeHost struct {
	*Host
	fakes *fakes
	dead  atomic.Bool
	stop  context.CancelFunc
	// active are the requests that the host is serving.
	active sync.WaitGroup
}

func newFakes() *fakes {
	return &fakes{first: 1, engines: map[string]*fakeEngine{}, hosts: map[string]*fakeHost{}, cut: map[string]bool{}, frozen: map[string][]platform.ListedHost{}}
}

func (f *fakes) addEngine(name, poolName string, fencing bool) *fakeEngine {
	e := &fakeEngine{fakes: f, name: name, fencing: fencing, memoryMB: 100, loadTime: time.Second}
	e.restart()
	f.engines[name] = e
	f.list = append(f.list, platform.ListedHost{
		Name:          name,
		Kind:          platform.EndpointHost,
		Incarnation:   e.incarnation,
		Addr:          name,
		Pool:          poolName,
		ChecksFencing: fencing,
	})
	return e
}

func (f *fakes) addService(name, service string) *fakeEngine {
	e := f.addEngine(name, "", false)
	f.list[len(f.list)-1].Service = service
	return e
}

// boot starts a host; its log, peers and engines are the fakes.
func (f *fakes) boot(name string) *fakeHost {
	s := settings.Default()
	s.Host = name
	s.Zone = "z"
	s.Timing.ReadinessLag = 100 * time.Millisecond
	if f.snapshotEvery > 0 {
		s.Timing.SnapshotEvery = f.snapshotEvery
	}
	h := &fakeHost{fakes: f}
	h.Host = newHost(Config{
		Settings: s,
		Engine:   fakeEngines{h},
		HostList: h,
		Logger:   slog.New(slog.DiscardHandler),
		Tracer:   noop.NewTracerProvider(),
	})
	f.mu.Lock()
	f.booted++
	addr := fmt.Sprintf("%s#%d", name, f.booted)
	f.hosts[addr] = h
	f.mu.Unlock()
	h.connect(h, h, addr)
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	for _, loop := range h.loops() {
		f.running.Go(func() { loop(ctx) })
	}
	return h
}

// kill ends a host without a word.
func (h *fakeHost) kill() {
	h.dead.Store(true)
	h.stop()
}

// end stops all hosts, so that the bubble can end.
func (f *fakes) end() {
	f.mu.Lock()
	f.down = false
	hosts := f.hosts
	f.mu.Unlock()
	for _, h := range hosts {
		h.kill()
	}
	f.running.Wait()
	for _, h := range hosts {
		h.background.Wait()
		_ = h.metrics.closer.Close()
	}
}

// Append implements platform.Log.
func (h *fakeHost) Append(ctx context.Context, data []byte) (record.Offset, error) {
	time.Sleep(hop)
	f := h.fakes
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.dead.Load() || f.down || f.cut[h.settings.Host] {
		return 0, errors.Wrap(platform.ErrRejected, "down")
	}
	if f.late > 0 {
		// The call times out, and its record lands a moment later.
		f.late--
		time.AfterFunc(2*time.Second, func() { f.land(data) })
		return 0, platform.ErrUnavailable
	}
	off := f.landLocked(data)
	if f.lose > 0 {
		f.lose--
		return 0, platform.ErrUnavailable
	}
	return off, nil
}

func (f *fakes) land(data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.landLocked(data)
}

func (f *fakes) landLocked(data []byte) record.Offset {
	off := f.first + record.Offset(len(f.records))
	f.records = append(f.records, platform.Entry{Offset: off, Data: data})
	f.all = append(f.all, platform.Entry{Offset: off, Data: data})
	if r, err := record.Decode(data); err == nil && r.Contract != nil && r.Contract.Customer == "c" && int(r.Contract.Base) == len(f.documents) {
		f.documents = append(f.documents, string(r.Contract.Document))
	}
	return off
}

// Read implements platform.LogReader.
func (h *fakeHost) Read(ctx context.Context, from record.Offset, limit int, wait time.Duration) ([]platform.Entry, error) {
	end := time.Now().Add(wait)
	for {
		time.Sleep(hop)
		entries, err := h.readNow(from, limit)
		if err != nil || len(entries) > 0 || !time.Now().Before(end) {
			return entries, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(2 * hop):
		}
	}
}

func (h *fakeHost) readNow(from record.Offset, limit int) ([]platform.Entry, error) {
	f := h.fakes
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.dead.Load() || f.down || f.cut[h.settings.Host] {
		return nil, platform.ErrUnavailable
	}
	if from < f.first {
		return nil, &platform.TrimmedError{First: f.first}
	}
	tail := f.records[min(int(from-f.first), len(f.records)):]
	return slices.Clone(tail[:min(limit, len(tail))]), nil
}

func (f *fakes) document(version uint64) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < 1 || int(version) > len(f.documents) {
		return ""
	}
	return f.documents[version-1]
}

func (f *fakes) latest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return uint64(len(f.documents))
}

// history returns all records, the trimmed ones too.
func (f *fakes) history() []platform.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.all)
}

// trimToSnapshot drops the records that the newest snapshot replaces. It
// reports false when there is none.
func (f *fakes) trimToSnapshot() bool {
	snapshots := state.New().Snapshots
	for _, e := range f.history() {
		if r, err := record.Decode(e.Data); err == nil && r.Snapshot != nil {
			snapshots.Add(e.Offset, *r.Snapshot)
		}
	}
	keep := snapshots.NewestAsOf() + 1
	f.mu.Lock()
	defer f.mu.Unlock()
	if keep <= f.first {
		return false
	}
	f.records = f.records[keep-f.first:]
	f.first = keep
	return true
}

// repeatPublication lands a delayed copy of an earlier publication.
func (f *fakes) repeatPublication(n int) {
	var copies [][]byte
	for _, e := range f.history() {
		if r, err := record.Decode(e.Data); err == nil && r.Contract != nil {
			copies = append(copies, e.Data)
		}
	}
	f.land(copies[n%len(copies)])
}

func (f *fakes) setCut(host string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[host] = cut
}

func (f *fakes) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// List implements platform.HostList.
func (h *fakeHost) List(context.Context) ([]platform.ListedHost, error) {
	h.fakes.mu.Lock()
	defer h.fakes.mu.Unlock()
	list := slices.Clone(h.fakes.list)
	if old, frozen := h.fakes.frozen[h.settings.Host]; frozen {
		list = slices.Clone(old)
	}
	for addr, other := range h.fakes.hosts {
		if !other.dead.Load() {
			list = append(list, platform.ListedHost{Name: other.settings.Host, Kind: platform.EntryHost, Addr: addr})
		}
	}
	return list, nil
}

// Send implements peer.Sender.
func (h *fakeHost) Send(_ context.Context, addr string, r peer.Request) ([]peer.Response, error) {
	time.Sleep(hop)
	h.fakes.mu.Lock()
	to := h.fakes.hosts[addr]
	h.fakes.mu.Unlock()
	if to == nil || to.dead.Load() || h.dead.Load() {
		return nil, platform.ErrUnavailable
	}
	answer := peer.Answer(peerHandler{to.Host}, r)
	if len(answer) == 0 {
		return nil, platform.ErrUnavailable
	}
	return answer, nil
}

// publish lands a contract directly in the log, as operators may.
func (f *fakes) publish(base uint64, document string) { f.publishFor("c", base, document) }

func (f *fakes) publishFor(customer string, base uint64, document string) {
	data, err := record.Encode(record.Record{
		ID:       record.NewID(),
		Contract: &record.Contract{Customer: customer, Base: base, Document: []byte(document)},
	})
	if err != nil {
		panic(err)
	}
	f.land(data)
}

// fakeEngine is a model engine or plain service. What it notes is what the
// tests check against.
type fakeEngine struct {
	fakes       *fakes
	name        string
	fencing     bool
	memoryMB    int64
	loadTime    time.Duration
	incarnation record.Incarnation
	token       record.Offset
	replicas    map[record.ReplicaID]*fakeReplica
	ran         []string
	dead        bool
	// cutAfter breaks each stream after that many tokens, cross mislabels them,
	// loseAnswers runs calls and loses the answers.
	cutAfter    int
	cross       bool
	loseAnswers int
	started     []time.Time
}

type fakeReplica struct {
	platform.EngineReplica
	readyAt time.Time
}

func (e *fakeEngine) restart() {
	e.incarnation = record.Incarnation(uuid.NewString())
	e.token = 0
	e.replicas = map[record.ReplicaID]*fakeReplica{}
}

// fakeEngines is the engine adapter of one host.
type fakeEngines struct{ host *fakeHost }

// reach returns an engine with the fakes locked, or an error without the lock.
func (a fakeEngines) reach(addr string) (*fakeEngine, error) {
	time.Sleep(hop)
	a.host.fakes.mu.Lock()
	e := a.host.fakes.engines[addr]
	if e == nil || e.dead || a.host.dead.Load() {
		a.host.fakes.mu.Unlock()
		return nil, platform.ErrRejected
	}
	return e, nil
}

// Status implements platform.Engine.
func (a fakeEngines) Status(_ context.Context, addr string) (platform.EngineStatus, error) {
	e, err := a.reach(addr)
	if err != nil {
		return platform.EngineStatus{}, err
	}
	defer a.host.fakes.mu.Unlock()
	s := platform.EngineStatus{Incarnation: e.incarnation, MemoryMB: e.memoryMB}
	for _, r := range e.replicas {
		s.Replicas = append(s.Replicas, r.EngineReplica)
	}
	return s, nil
}

// Order implements platform.Engine.
func (a fakeEngines) Order(ctx context.Context, o pool.Order) (pool.OrderResult, error) {
	e, err := a.reach(o.Addr)
	if err != nil {
		return pool.OrderRefused, err
	}
	refused := e.incarnation != o.Incarnation || e.fencing && o.Fence < e.token
	if refused {
		a.host.fakes.mu.Unlock()
		return pool.OrderRefused, platform.ErrRejected
	}
	e.token = max(e.token, o.Fence)
	if o.Kind == pool.OrderUnload {
		defer a.host.fakes.mu.Unlock()
		if r := e.replicas[o.Replica]; r != nil && r.Running > 0 {
			return pool.OrderRefused, platform.ErrRejected
		}
		delete(e.replicas, o.Replica)
		return pool.OrderOK, nil
	}
	r := e.replicas[o.Replica]
	if r == nil {
		r = &fakeReplica{
			EngineReplica: platform.EngineReplica{ID: o.Replica, Model: o.Model, MemoryMB: o.MemoryMB},
			readyAt:       time.Now().Add(e.loadTime),
		}
		e.replicas[o.Replica] = r
	}
	left := time.Until(r.readyAt)
	a.host.fakes.mu.Unlock()
	select {
	case <-time.After(left):
		return pool.OrderOK, nil
	case <-ctx.Done():
		return pool.OrderUnknown, ctx.Err()
	}
}

const (
	fakeService = 50 * time.Millisecond
	fakeTokens  = 5
)

// Generate implements platform.Engine.
func (a fakeEngines) Generate(ctx context.Context, addr string, r platform.GenerateRequest) (platform.TokenStream, error) {
	e, err := a.reach(addr)
	if err != nil {
		return nil, err
	}
	defer a.host.fakes.mu.Unlock()
	replica := e.replicas[r.Replica]
	if replica == nil || time.Now().Before(replica.readyAt) {
		return nil, platform.ErrNotLoaded
	}
	e.ran = append(e.ran, r.RequestID)
	e.started = append(e.started, time.Now())
	if e.loseAnswers > 0 {
		e.loseAnswers--
		return nil, platform.ErrUnavailable
	}
	replica.Running++
	return &fakeStream{ctx: ctx, engine: e, replica: replica, request: r, next: r.ResumeFrom, cutAfter: e.cutAfter, cross: e.cross}, nil
}

type fakeStream struct {
	ctx      context.Context
	engine   *fakeEngine
	replica  *fakeReplica
	request  platform.GenerateRequest
	next     int
	sent     int
	cutAfter int
	cross    bool
	closed   bool
}

// fakeText is the answer to a prompt, which names the request.
func fakeText(prompt string) string { return strings.Repeat(prompt+" ", fakeTokens) }

// Next implements platform.TokenStream. The adapter's own checks stand in
// httpadapter; here a crossed answer already shows as broken.
func (s *fakeStream) Next() (platform.Token, error) {
	select {
	case <-time.After(fakeService / fakeTokens):
	case <-s.ctx.Done():
		return platform.Token{}, s.ctx.Err()
	}
	s.engine.fakes.mu.Lock()
	defer s.engine.fakes.mu.Unlock()
	if s.engine.dead || s.cross || s.cutAfter > 0 && s.sent >= s.cutAfter {
		return platform.Token{}, platform.ErrBroken
	}
	t := platform.Token{RequestID: s.request.RequestID, Index: s.next, Text: s.request.Prompt + " "}
	if s.next == fakeTokens {
		t.Text, t.Done, t.Reason = "", true, "stop"
	}
	s.next++
	s.sent++
	return t, nil
}

// Close implements platform.TokenStream.
func (s *fakeStream) Close() error {
	s.engine.fakes.mu.Lock()
	defer s.engine.fakes.mu.Unlock()
	if !s.closed {
		s.closed = true
		s.replica.Running--
	}
	return nil
}

// Call implements platform.Engine.
func (a fakeEngines) Call(_ context.Context, addr string, c platform.ServiceCall) (platform.ServiceAnswer, error) {
	e, err := a.reach(addr)
	if err != nil {
		return platform.ServiceAnswer{}, err
	}
	e.ran = append(e.ran, c.RequestID)
	run := len(e.ran)
	lose := e.loseAnswers > 0
	if lose {
		e.loseAnswers--
	}
	a.host.fakes.mu.Unlock()
	time.Sleep(fakeService)
	if lose || a.host.dead.Load() {
		return platform.ServiceAnswer{}, platform.ErrUnavailable
	}
	return platform.ServiceAnswer{RequestID: c.RequestID, Status: 200, Body: []byte(fmt.Sprintf(`"%s run %d"`, e.name, run))}, nil
}

func (fakeEngines) Cancel(context.Context, string, string) error { return nil }

func (fakeEngines) CacheEvents(context.Context, string, uint64) ([]platform.CacheEvent, error) {
	return nil, nil
}

func (fakeEngines) ExportKV(context.Context, string, string) ([]byte, error)     { return nil, nil }
func (fakeEngines) ImportKV(context.Context, string, string, []byte) error       { return nil }
func (fakeEngines) SetRole(context.Context, string, string, record.Offset) error { return nil }

// allRan returns the IDs of all requests that the endpoints ran.
func (f *fakes) allRan() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ran []string
	for _, e := range f.engines {
		ran = append(ran, e.ran...)
	}
	return ran
}
