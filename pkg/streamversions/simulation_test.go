package streamversions_test

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/proptest"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/streamorigin"
	"github.com/tealvane/tealvane/pkg/streamversions"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { proptest.Main(m, 30, 8) }

// loadTime is how long a new endpoint takes before it can begin a stream, in which hosts that are cut off notice it.
const loadTime = 2500 * time.Millisecond

// simHost is a host of a simulation.
type simHost struct {
	name    string
	up, cut atomic.Bool
	// fault is a storeFault, and cutAt a Unix time in nanoseconds.
	fault, cutAt atomic.Int64
	streams      atomic.Pointer[streamversions.Directory]
	config       atomic.Pointer[fleet.Config]
	// The rest is used by the simulation only.
	stop    context.CancelFunc
	locator *fleet.Locator
	list    *fleet.Directory
	offset  fleet.Position
	view
}

// isolated reports whether the host hears of no changes.
func (h *simHost) isolated() bool { return h.cut.Load() && h.storeFault() == rejectsAll }

func (h *simHost) storeFault() storeFault { return storeFault(h.fault.Load()) }

type simStream struct {
	id     string
	at     time.Time
	origin fleet.StreamOrigin
}

type simulation struct {
	rand      *rand.Rand
	store     *simStore
	hosts     []*simHost
	endpoints map[fleet.EndpointID]fleet.Endpoint
	// usableAt is when an endpoint has its models.
	usableAt map[fleet.EndpointID]time.Time
	config   *fleet.Config
	starts   atomic.Int64
	n        int
	begun    []simStream
	// late is whether hosts hear of changes late.
	late atomic.Bool
	// loads is how long new endpoints take, loadTime if it is nil, and views is set if hosts hear of changes late.
	loads func() time.Duration
	views *views

	resumed, wentOn int
	failures        []string
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		rand:      rand.New(rand.NewPCG(seed, 0)),
		store:     &simStore{topics: map[fleet.Topic][]fleet.Entry{}},
		endpoints: map[fleet.EndpointID]fleet.Endpoint{}, usableAt: map[fleet.EndpointID]time.Time{},
	}
	s.setServices("llm")
	s.addEndpoint("llm", "1")
	s.addEndpoint("llm2", "9")
	for i := range 3 + s.rand.IntN(2) {
		h := &simHost{name: fmt.Sprint("h", i)}
		s.hosts = append(s.hosts, h)
	}
	if s.rand.IntN(3) == 0 {
		s.setFault(rejectsWrites) // There is no record then.
	}
	for _, h := range s.hosts {
		s.start(h)
	}
	return s
}

// setServices puts a configuration in force in which the route has services.
func (s *simulation) setServices(services ...string) {
	s.n++
	r := fleet.Route{Name: "r", Host: "h", PathPrefix: "/", Kind: fleet.Stream, Resumable: true}
	for _, service := range services {
		r.Targets = append(r.Targets, fleet.Target{Service: service, Weight: 1})
	}
	s.config = &fleet.Config{Version: int64(s.n), Routes: []fleet.Route{r}}
	s.tellAll()
}

func (s *simulation) addEndpoint(service, version string) {
	s.n++
	id := fleet.EndpointID(fmt.Sprint("e", s.n))
	s.endpoints[id] = fleet.Endpoint{ID: id, Service: service, Version: version, Addr: "127.0.0.1:1", Zone: "z"}
	s.usableAt[id] = time.Now().Add(loadTime)
	if s.loads != nil {
		s.usableAt[id] = time.Now().Add(s.loads())
	}
	s.tellAll()
}

// removeVersion removes the endpoints of a version unless they are the only ones of the service.
func (s *simulation) removeVersion(service, version string) {
	var others, own []fleet.EndpointID
	for id, e := range s.endpoints {
		switch {
		case e.Service != service:
		case e.Version == version:
			own = append(own, id)
		case !time.Now().Before(s.usableAt[id]):
			others = append(others, id)
		}
	}
	if len(others) == 0 {
		return
	}
	for _, id := range own {
		delete(s.endpoints, id)
	}
	s.tellAll()
}

func (s *simulation) tellAll() {
	if s.views != nil {
		s.views.add(time.Now(), s.endpoints)
		return
	}
	for _, h := range s.hosts {
		s.tell(h)
	}
}

// tell lets a host hear of the endpoints and the configuration.
func (s *simulation) tell(h *simHost) {
	if !h.up.Load() || h.isolated() {
		return
	}
	s.setList(h, s.endpoints)
}

// setList sets the endpoints of which a host has heard.
func (s *simulation) setList(h *simHost, endpoints map[fleet.EndpointID]fleet.Endpoint) {
	h.config.Store(s.config)
	h.offset++
	list := map[fleet.Position]fleet.Endpoint{}
	for _, e := range endpoints {
		list[fleet.NewPosition(s.store.currentEra(), int64(len(list))+1000*int64(h.offset))] = e
	}
	h.list.Replace(time.Now(), fleet.NewPosition(s.store.currentEra(), 1000*int64(h.offset+1)), list)
	h.locator.MarkStale()
}

func (s *simulation) start(h *simHost) {
	s.starts.Add(1)
	h.up.Store(true)
	h.cut.Store(false)
	h.list = fleet.NewDirectory()
	h.locator = fleet.NewLocator(h.list)
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	d := streamversions.New()
	d.Now, d.Locator, d.Log = time.Now, h.locator, slog.New(slog.DiscardHandler)
	d.Store, d.StreamStore = simHostStore{s.store, h}, simHostStore{s.store, h}
	d.Config = h.config.Load
	d.Era = s.store.currentEra
	d.HostEntries = func() int64 { return s.starts.Load() }
	h.heard(time.Now())
	d.Isolated = func(now time.Time) bool {
		if s.late.Load() {
			return now.Sub(time.Unix(0, h.heardAt.Load())) > streamorigin.TrustTime
		}
		return h.isolated() && now.Sub(time.Unix(0, h.cutAt.Load())) > 2*time.Second
	}
	d.Controlling = func() bool { return s.controller() == h }
	d.Count = func(string, int64, map[string]string) {}
	d.Hosts = func() (self streamorigin.Host, others []streamorigin.Host) {
		for _, o := range s.hosts {
			if o != h {
				others = append(others, streamorigin.Host{Name: o.name, Addr: o.name, Zone: "z"})
			}
		}
		return streamorigin.Host{Name: h.name, Addr: h.name, Zone: "z"}, others
	}
	d.Send = func(_ context.Context, addr string, r peer.Request) (peer.Response, error) { return s.send(h, addr, r) }
	h.streams.Store(d)
	s.tell(h)
	go d.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			if !h.frozen.Load() {
				d.Check(time.Now())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
}

func (s *simulation) controller() *simHost {
	for _, h := range s.hosts {
		if h.up.Load() && !h.cut.Load() && !h.frozen.Load() && h.storeFault() != rejectsAll {
			return h
		}
	}
	return nil
}

func (s *simulation) send(from *simHost, addr string, r peer.Request) (peer.Response, error) {
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == addr })
	to := s.hosts[i]
	if !to.up.Load() || to.cut.Load() || from.cut.Load() || to.frozen.Load() || from.frozen.Load() {
		return peer.Response{}, errors.New("unreachable")
	}
	if r.StreamLookup != nil {
		return peer.Response{StreamLookup: to.streams.Load().Respond(*r.StreamLookup)}, nil
	}
	to.streams.Load().Add(r.StreamStarts, r.WriteStreams)
	return peer.Response{}, nil
}

func (s *simulation) kill(h *simHost) {
	h.up.Store(false)
	h.stop()
}

// host returns a host that is up.
func (s *simulation) host() *simHost {
	var up []*simHost
	for _, h := range s.hosts {
		if h.up.Load() {
			up = append(up, h)
		}
	}
	return up[s.rand.IntN(len(up))]
}

func (s *simulation) step() {
	version := func() string { return fmt.Sprint(1 + s.rand.IntN(3)) }
	switch h := s.host(); s.rand.IntN(14) {
	case 0:
		s.kill(h)
		s.start(h)
	case 1, 2:
		s.killAll()
	case 3, 4:
		s.addEndpoint("llm", version())
	case 5, 6:
		s.removeVersion("llm", version())
	case 7:
		h.fault.Store(int64(s.rand.IntN(int(storeFaults))))
	case 8:
		s.setFault(storeFault(s.rand.IntN(int(storeFaults))))
	case 9:
		h.cutAt.Store(time.Now().UnixNano())
		h.cut.Store(true)
	case 10:
		for _, h := range s.hosts {
			h.cut.Store(false)
			h.fault.Store(int64(noFault))
			s.tell(h)
		}
	case 11:
		if s.store.copied != nil {
			s.store.restore()
			s.tellAll()
		} else {
			s.store.copy()
		}
	case 12:
		s.setServices([][]string{{"llm"}, {"llm2"}, {"llm", "llm2"}}[s.rand.IntN(3)]...)
	case 13:
		s.rollBack(version())
	}
}

func (s *simulation) setFault(f storeFault) {
	for _, h := range s.hosts {
		h.fault.Store(int64(f))
	}
}

func (s *simulation) killAll() {
	for _, h := range s.hosts {
		s.kill(h)
	}
	time.Sleep(time.Duration(s.rand.IntN(1000)) * time.Millisecond)
	for _, h := range s.hosts {
		s.start(h)
	}
}

// rollBack adds a version and removes it again while the store may reject writes, before all hosts are lost.
func (s *simulation) rollBack(version string) {
	s.setFault(storeFault(s.rand.IntN(2)))
	s.addEndpoint("llm", version)
	time.Sleep(loadTime + time.Duration(s.rand.IntN(1000))*time.Millisecond)
	for range 6 {
		s.begin()
	}
	s.removeVersion("llm", version)
	s.killAll()
	s.setFault(noFault)
	s.tellAll()
	time.Sleep(time.Duration(s.rand.IntN(3000)) * time.Millisecond)
	for range 6 {
		s.resume()
	}
}

func (s *simulation) request(h *simHost, id string) *serve.Request {
	r := h.config.Load().Routes[0]
	return &serve.Request{ID: id, Route: r, Service: r.Choose(s.rand.IntN), Arrived: time.Now()}
}

// usable returns the endpoints at which a host may run a request.
func (s *simulation) usable(h *simHost, service string, required fleet.VersionRequirement) []fleet.Endpoint {
	at := h.locator.LocateVersion(time.Now(), service, "", "", required)
	ready := slices.DeleteFunc(slices.Clone(at.Ready), func(e fleet.Endpoint) bool {
		_, lives := s.endpoints[e.ID]
		return !lives || time.Now().Before(s.usableAt[e.ID])
	})
	slices.SortFunc(ready, func(a, b fleet.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return ready
}

func (s *simulation) begin() { s.beginAt(s.host()) }

func (s *simulation) beginAt(h *simHost) {
	if h.config.Load() == nil {
		return
	}
	s.n++
	r := s.request(h, fmt.Sprint("s", s.n))
	ready := s.usable(h, r.Service, fleet.VersionRequirement{})
	if len(ready) == 0 {
		return
	}
	e := ready[s.rand.IntN(len(ready))]
	origin := fleet.StreamOrigin{Service: e.Service, Version: e.Version}
	h.streams.Load().RecordStart(r, origin)
	s.begun = append(s.begun, simStream{r.ID, time.Now(), origin})
}

// resume takes a stream up that began lately.
func (s *simulation) resume() {
	s.resumeAt(s.host(), func() {})
}

// resumeAt takes a stream up at a host, which runs wait between its decision and its choice of an endpoint.
func (s *simulation) resumeAt(h *simHost, wait func()) {
	s.begun = slices.DeleteFunc(s.begun, func(x simStream) bool { return time.Since(x.at) > 17*time.Second })
	if len(s.begun) == 0 || h.config.Load() == nil {
		return
	}
	stream := s.begun[s.rand.IntN(len(s.begun))]
	s.n++
	r := s.request(h, fmt.Sprint("s", s.n))
	r.LastEvent, r.Resumes = "1", stream.id
	s.resumed++
	found, err := h.streams.Load().Find(context.Background(), r)
	if err != nil || !r.Route.Serves(found.Service) {
		return
	}
	wait()
	required := found.Required
	if !required.Set {
		required = found.Assumed
	}
	usable := s.usable(h, found.Service, required)
	if len(usable) > 0 {
		s.wentOn++
	}
	for _, e := range usable {
		if (fleet.StreamOrigin{Service: e.Service, Version: e.Version}) != stream.origin {
			s.failures = append(s.failures, fmt.Sprintf("stream %s, begun at %v, may go on at %s %s by the word of %q at %s", stream.id, stream.origin, e.Service, e.Version, found.Source, h.name))
			return
		}
	}
}

// playSchedule plays a random schedule.
func playSchedule(t *testing.T, seed uint64) (s *simulation) {
	synctest.Test(t, func(*testing.T) {
		s = newSimulation(seed)
		time.Sleep(loadTime + time.Second)
		for range 60 {
			s.step()
			for range s.rand.IntN(4) {
				s.begin()
				time.Sleep(time.Duration(s.rand.IntN(60)) * time.Millisecond)
				s.resume()
			}
			time.Sleep(time.Duration(s.rand.IntN(1500)) * time.Millisecond)
			s.resume()
		}
		for _, h := range s.hosts {
			s.kill(h)
		}
		time.Sleep(time.Second)
	})
	return s
}

// Guards against streams that go on at another service or software version than the one that began them, when hosts are
// killed, all at once too, or cut off, the store rejects calls, loses answers or is restored, and versions and routes change.
func TestStreamsGoOnOnlyWhereTheyBegan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := playSchedule(t, rapid.Uint64().Draw(rt, "seed"))
		for _, f := range s.failures {
			rt.Error(f)
		}
		rt.Logf("%d of %d went on", s.wentOn, s.resumed)
	})
}

// Guards against streams that begin at a version which the store does not name, at hosts that start while there are two
// and the store rejects writes.
func TestStartedHostsAdmitRecordedVersions(t *testing.T) {
	for _, f := range playSchedule(t, 0x94d40).failures {
		t.Error(f)
	}
}
