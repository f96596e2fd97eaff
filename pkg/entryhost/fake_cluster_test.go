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

// messageDelay is the latency of one message between fakes.
const messageDelay = time.Millisecond

// fakeCluster fakes the log, the host list and the endpoints for hosts in virtual time.
type fakeCluster struct {
	mu          sync.Mutex
	records     []external.Entry
	firstOffset record.Offset
	logDown     bool
	// loseAppendResponses is the number of appends whose response is lost, and lateAppends the number
	// of appends that fail but take effect later.
	loseAppendResponses int
	lateAppends         int
	engines             map[string]*fakeEngine
	hostList            []external.ListedHost
	hosts               map[string]*fakeHost
	partitioned         map[string]bool
	// staleLists holds outdated host lists by host.
	staleLists map[string][]external.ListedHost
	running    sync.WaitGroup
	started    int
	// allRecords includes trimmed records.
	allRecords    []external.Entry
	snapshotEvery int
	tracer        trace.TracerProvider
	// documents holds the accepted contract documents by version. A publication is accepted if it
	// is based on the latest version.
	documents []string
}

// fakeHost is a host with adapters that fail once it is dead.
type fakeHost struct {
	*Host
	cluster *fakeCluster
	dead    atomic.Bool
	stop    context.CancelFunc
	// active counts the requests in progress.
	active sync.WaitGroup
}

func newFakeCluster() *fakeCluster {
	return &fakeCluster{firstOffset: 1, engines: map[string]*fakeEngine{}, hosts: map[string]*fakeHost{}, partitioned: map[string]bool{}, staleLists: map[string][]external.ListedHost{}, tracer: noop.NewTracerProvider()}
}

func (f *fakeCluster) addEngine(name, poolName string, fencing bool) *fakeEngine {
	e := &fakeEngine{cluster: f, name: name, fencing: fencing, memoryMB: 100, loadTime: time.Second}
	e.restart()
	f.engines[name] = e
	f.hostList = append(f.hostList, external.ListedHost{
		Name:          name,
		Kind:          external.EndpointHost,
		Incarnation:   e.incarnation,
		Addr:          name,
		Pool:          poolName,
		ChecksFencing: fencing,
	})
	return e
}

func (f *fakeCluster) addService(name, service string) *fakeEngine {
	e := f.addEngine(name, "", false)
	f.hostList[len(f.hostList)-1].Service = service
	return e
}

// startHost starts a host that is connected to the fakes.
func (f *fakeCluster) startHost(name string) *fakeHost {
	s := settings.Default()
	s.Host = name
	s.Zone = "z"
	s.Timing.ReadinessLag = 100 * time.Millisecond
	if f.snapshotEvery > 0 {
		s.Timing.SnapshotEvery = f.snapshotEvery
	}
	h := &fakeHost{cluster: f}
	h.Host = newHost(Config{
		Settings: s,
		Engine:   fakeEngines{h},
		HostList: h,
		Logger:   slog.New(slog.DiscardHandler),
		Tracer:   f.tracer,
	})
	f.mu.Lock()
	f.started++
	addr := fmt.Sprintf("%s#%d", name, f.started)
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

// kill stops the host without a graceful shutdown.
func (h *fakeHost) kill() {
	h.dead.Store(true)
	h.stop()
}

// stopAll kills all hosts, so that the synctest bubble can end.
func (f *fakeCluster) stopAll() {
	f.mu.Lock()
	f.logDown = false
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
	// Let messages in flight finish. Virtual time does not advance after the main function of the
	// bubble has returned.
	time.Sleep(settleTime)
}

// Append implements external.Log.
func (h *fakeHost) Append(ctx context.Context, data []byte) (record.Offset, error) {
	time.Sleep(messageDelay)
	f := h.cluster
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.dead.Load() || f.logDown || f.partitioned[h.settings.Host] {
		return 0, errors.Wrap(external.ErrRejected, "fake log is unavailable")
	}
	if f.lateAppends > 0 {
		// The call fails, but the record is appended later.
		f.lateAppends--
		time.AfterFunc(2*time.Second, func() { f.appendRecord(data) })
		return 0, external.ErrUnavailable
	}
	off := f.appendLocked(data)
	if f.loseAppendResponses > 0 {
		f.loseAppendResponses--
		return 0, external.ErrUnavailable
	}
	return off, nil
}

func (f *fakeCluster) appendRecord(data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appendLocked(data)
}

func (f *fakeCluster) appendLocked(data []byte) record.Offset {
	off := f.firstOffset + record.Offset(len(f.records))
	f.records = append(f.records, external.Entry{Offset: off, Data: data})
	f.allRecords = append(f.allRecords, external.Entry{Offset: off, Data: data})
	if r, err := record.Decode(data); err == nil && r.Contract != nil && r.Contract.Customer == "c" && int(r.Contract.Base) == len(f.documents) {
		f.documents = append(f.documents, string(r.Contract.Document))
	}
	return off
}

// Read implements external.LogReader.
func (h *fakeHost) Read(ctx context.Context, from record.Offset, limit int, wait time.Duration) ([]external.Entry, error) {
	end := time.Now().Add(wait)
	for {
		time.Sleep(messageDelay)
		entries, err := h.readNow(from, limit)
		if err != nil || len(entries) > 0 || !time.Now().Before(end) {
			return entries, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(2 * messageDelay):
		}
	}
}

func (h *fakeHost) readNow(from record.Offset, limit int) ([]external.Entry, error) {
	f := h.cluster
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.dead.Load() || f.logDown || f.partitioned[h.settings.Host] {
		return nil, external.ErrUnavailable
	}
	if from < f.firstOffset {
		return nil, &external.TrimmedError{First: f.firstOffset}
	}
	tail := f.records[min(int(from-f.firstOffset), len(f.records)):]
	return slices.Clone(tail[:min(limit, len(tail))]), nil
}

func (f *fakeCluster) document(version uint64) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < 1 || int(version) > len(f.documents) {
		return ""
	}
	return f.documents[version-1]
}

func (f *fakeCluster) latestVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return uint64(len(f.documents))
}

// history returns all records, including trimmed ones.
func (f *fakeCluster) history() []external.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.allRecords)
}

// trimToSnapshot drops the records covered by the newest snapshot. It returns false if there is
// nothing to trim.
func (f *fakeCluster) trimToSnapshot() bool {
	snapshots := state.New().Snapshots
	for _, e := range f.history() {
		if r, err := record.Decode(e.Data); err == nil && r.Snapshot != nil {
			snapshots.Add(e.Offset, *r.Snapshot)
		}
	}
	keep := snapshots.NewestAsOf() + 1
	f.mu.Lock()
	defer f.mu.Unlock()
	if keep <= f.firstOffset {
		return false
	}
	f.records = f.records[keep-f.firstOffset:]
	f.firstOffset = keep
	return true
}

// replayPublication appends a copy of an earlier contract record.
func (f *fakeCluster) replayPublication(n int) {
	var copies [][]byte
	for _, e := range f.history() {
		if r, err := record.Decode(e.Data); err == nil && r.Contract != nil {
			copies = append(copies, e.Data)
		}
	}
	f.appendRecord(copies[n%len(copies)])
}

func (f *fakeCluster) setPartitioned(host string, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[host] = partitioned
}

func (f *fakeCluster) setLogDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logDown = down
}

// List implements external.HostList.
func (h *fakeHost) List(context.Context) ([]external.ListedHost, error) {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	list := slices.Clone(h.cluster.hostList)
	if old, frozen := h.cluster.staleLists[h.settings.Host]; frozen {
		list = slices.Clone(old)
	}
	for addr, other := range h.cluster.hosts {
		if !other.dead.Load() {
			list = append(list, external.ListedHost{Name: other.settings.Host, Kind: external.EntryHost, Addr: addr})
		}
	}
	return list, nil
}

// Send implements peer.Sender.
func (h *fakeHost) Send(_ context.Context, addr string, r peer.Request) ([]peer.Response, error) {
	time.Sleep(messageDelay)
	h.cluster.mu.Lock()
	to := h.cluster.hosts[addr]
	h.cluster.mu.Unlock()
	if to == nil || to.dead.Load() || h.dead.Load() {
		return nil, external.ErrUnavailable
	}
	responses := peer.Handle(peerHandler{to.Host}, r)
	if len(responses) == 0 {
		return nil, external.ErrUnavailable
	}
	return responses, nil
}

// publish appends a contract directly to the log.
func (f *fakeCluster) publish(base uint64, document string) { f.publishFor("c", base, document) }

func (f *fakeCluster) publishFor(customer string, base uint64, document string) {
	data, err := record.Encode(record.Record{
		ID:       record.NewID(),
		Contract: &record.Contract{Customer: customer, Base: base, Document: []byte(document)},
	})
	if err != nil {
		panic(err)
	}
	f.appendRecord(data)
}
