package entryhost

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/settings"
	"github.com/tealvane/tealvane/pkg/state"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// hop is the time of one message in the fakes.
const hop = time.Millisecond

// fakes are the outside systems of some hosts that run in virtual time.
type fakes struct {
	mu      sync.Mutex
	records []external.Entry
	first   record.Offset
	down    bool
	lose    int
	late    int
	engines map[string]*fakeEngine
	list    []external.ListedHost
	hosts   map[string]*fakeHost
	cut     map[string]bool
	// frozen are the old lists that some hosts still see.
	frozen  map[string][]external.ListedHost
	running sync.WaitGroup
	booted  int
	// all keeps the trimmed records too.
	all           []external.Entry
	snapshotEvery int
	tracer        trace.TracerProvider
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
	return &fakes{first: 1, engines: map[string]*fakeEngine{}, hosts: map[string]*fakeHost{}, cut: map[string]bool{}, frozen: map[string][]external.ListedHost{}, tracer: noop.NewTracerProvider()}
}

func (f *fakes) addEngine(name, poolName string, fencing bool) *fakeEngine {
	e := &fakeEngine{fakes: f, name: name, fencing: fencing, memoryMB: 100, loadTime: time.Second}
	e.restart()
	f.engines[name] = e
	f.list = append(f.list, external.ListedHost{
		Name:          name,
		Kind:          external.EndpointHost,
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
		Tracer:   f.tracer,
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
		h.runner.Wait()
		_ = h.metrics.closer.Close()
	}
	// Messages that nobody waits for are still on their way. Time stands still
	// in a bubble whose main function has returned, and they would never end.
	time.Sleep(settleTime)
}

// Append implements external.Log.
func (h *fakeHost) Append(ctx context.Context, data []byte) (record.Offset, error) {
	time.Sleep(hop)
	f := h.fakes
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.dead.Load() || f.down || f.cut[h.settings.Host] {
		return 0, errors.Wrap(external.ErrRejected, "down")
	}
	if f.late > 0 {
		// The call times out, and its record lands a moment later.
		f.late--
		time.AfterFunc(2*time.Second, func() { f.land(data) })
		return 0, external.ErrUnavailable
	}
	off := f.landLocked(data)
	if f.lose > 0 {
		f.lose--
		return 0, external.ErrUnavailable
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
	f.records = append(f.records, external.Entry{Offset: off, Data: data})
	f.all = append(f.all, external.Entry{Offset: off, Data: data})
	if r, err := record.Decode(data); err == nil && r.Contract != nil && r.Contract.Customer == "c" && int(r.Contract.Base) == len(f.documents) {
		f.documents = append(f.documents, string(r.Contract.Document))
	}
	return off
}

// Read implements external.LogReader.
func (h *fakeHost) Read(ctx context.Context, from record.Offset, limit int, wait time.Duration) ([]external.Entry, error) {
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

func (h *fakeHost) readNow(from record.Offset, limit int) ([]external.Entry, error) {
	f := h.fakes
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.dead.Load() || f.down || f.cut[h.settings.Host] {
		return nil, external.ErrUnavailable
	}
	if from < f.first {
		return nil, &external.TrimmedError{First: f.first}
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
func (f *fakes) history() []external.Entry {
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

// List implements external.HostList.
func (h *fakeHost) List(context.Context) ([]external.ListedHost, error) {
	h.fakes.mu.Lock()
	defer h.fakes.mu.Unlock()
	list := slices.Clone(h.fakes.list)
	if old, frozen := h.fakes.frozen[h.settings.Host]; frozen {
		list = slices.Clone(old)
	}
	for addr, other := range h.fakes.hosts {
		if !other.dead.Load() {
			list = append(list, external.ListedHost{Name: other.settings.Host, Kind: external.EntryHost, Addr: addr})
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
		return nil, external.ErrUnavailable
	}
	answer := peer.Answer(peerHandler{to.Host}, r)
	if len(answer) == 0 {
		return nil, external.ErrUnavailable
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
