// Package streamversions finds out which software version began a stream that a client takes up again, and tells the
// hosts that keep it. While streams may have begun at several versions it also keeps that in the store. What it decides
// by is in package streamorigin.
package streamversions

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/streamorigin"
)

const (
	// streamKeepers is the number of other hosts that are told where a stream began, and askedKeepers of those
	// that are asked: hosts may know of different others for a while.
	streamKeepers = 2
	askedKeepers  = 4
	// streamLookupTimeout bounds the questions to other hosts.
	streamLookupTimeout = 400 * time.Millisecond
	// earlierStreamsTime is how far back streams are told to others once a second version appears, and
	// maxEarlierStreams how many of them.
	earlierStreamsTime = 30 * time.Second
	maxEarlierStreams  = 4096

	// checkInterval is how often the routes are checked for a second version or service.
	checkInterval = 100 * time.Millisecond

	// sourceOneVersion and sourceSelf are the sources of knowledge that are not another host.
	sourceOneVersion = "one_version"
	sourceSelf       = "self"
	sourceStore      = "store"
)

// Locator knows the software versions of services.
type Locator interface {
	Versions(now time.Time, service string) []string
	// Admit sets the versions of services at which requests may begin.
	Admit(versions map[string][]string)
}

// Directory knows which software versions began streams, by asking other hosts if need be. It implements
// serve.StreamVersions. Its exported fields must be set before first use.
type Directory struct {
	Now     func() time.Time
	Locator Locator
	// Store keeps the versions, and StreamStore the origins of streams.
	Store, StreamStore fleet.Store
	Log                *slog.Logger
	// Config returns the configuration in force, nil if there is none, and Era the era of the store.
	Config func() *fleet.Config
	Era    func() int64
	// Hosts returns this host and the others, and Send sends a request to the one at an address.
	Hosts func() (self streamorigin.Host, others []streamorigin.Host)
	Send  func(ctx context.Context, addr string, r peer.Request) (peer.Response, error)
	// HostEntries returns how many entries of hosts were ever written to the store.
	HostEntries func() int64
	// Isolated reports whether this host neither reads the list of endpoints nor hears of its changes, and
	// Controlling whether it is the controller.
	Isolated    func(now time.Time) bool
	Controlling func() bool
	// Count adds to a counter.
	Count func(name string, n int64, tags map[string]string)

	table   *streamorigin.Table
	routes  *streamorigin.Routes
	history streamorigin.History
	originReader
	// wake ends the wait for streams to tell others of, and wakeWriter that for streams to write to the store.
	wake, wakeWriter chan struct{}

	// several holds the routes whose streams may have begun at several versions or services, as of the last Check
	// at checkedAt. Only Check uses them.
	several   map[string]bool
	checkedAt time.Time
	// joined holds the versions that the record names and streams do not begin at yet. Only keepRecord uses it.
	joined streamorigin.Joined

	mu sync.Mutex
	// pending holds the streams to tell others of.
	pending []fleet.StreamStart
	// undecided holds streams of which it is not known yet whether others must be told.
	undecided []undecidedStart
	// unwritten holds streams to write to the store.
	unwritten []fleet.StreamStart
	// backoffUntil is the time until which a host is not sent streams, by its name.
	backoffUntil map[string]time.Time
	// admitted holds the versions of services at which streams may begin, and stored the store's record.
	admitted map[string][]string
	stored   stored
}

// undecidedStart is a stream with the route on which it began.
type undecidedStart struct {
	start fleet.StreamStart
	route string
}

// New returns a directory that knows no streams.
func New() *Directory {
	return &Directory{
		table:        streamorigin.NewTable(),
		routes:       streamorigin.NewRoutes(),
		wake:         make(chan struct{}, 1),
		wakeWriter:   make(chan struct{}, 1),
		backoffUntil: map[string]time.Time{},
	}
}

// Knows reports whether this host remembers where the stream of an attempt began.
func (v *Directory) Knows(attempt string) bool {
	return v.table.Find(v.Now(), attempt).Origin != nil
}

// RecordStart implements serve.StreamVersions.
func (v *Directory) RecordStart(r *serve.Request, o fleet.StreamOrigin) {
	now := v.Now()
	start := fleet.StreamStart{Attempt: r.ID, Origin: o}
	v.table.Add(now, start)
	v.routes.Observe(now, v.Config())
	route := streamorigin.RouteKey(r.Route)
	switch {
	case v.oneOrigin(now, route, o.Service):
		if v.history.Complete(now, v.services(now, route, o.Service)) {
			return
		}
		v.mu.Lock()
		v.undecided = append(v.undecided, undecidedStart{start, route})
		if over := len(v.undecided) - maxEarlierStreams; over > 0 {
			v.undecided = slices.Clone(v.undecided[over:])
		}
		v.mu.Unlock()
	default:
		v.tell(start)
	}
}

// settleUndecided tells others of the streams that began while this host did not know whether there were other
// versions, if it still does not or there were.
func (v *Directory) settleUndecided(ctx context.Context) {
	v.mu.Lock()
	undecided := v.undecided
	v.undecided = nil
	v.mu.Unlock()
	for _, u := range undecided {
		service := u.start.Origin.Service
		known := v.knowsHistory(ctx, v.services(v.Now(), u.route, service))
		if !known || !v.oneOrigin(v.Now(), u.route, service) {
			v.tell(u.start)
		}
	}
}

// versions returns the software versions of a service that may have begun streams which still go on.
func (v *Directory) versions(now time.Time, service string) []string {
	out := v.Locator.Versions(now, service)
	if r := v.history.Record(now); r != nil {
		out = append(out, r.Versions[service]...)
		slices.Sort(out)
		out = slices.Compact(out)
	}
	return out
}

// services returns the services that may have begun streams of a route which still go on, among them service.
func (v *Directory) services(now time.Time, route, service string) []string {
	out := append([]string{service}, v.routes.Services(now, route)...)
	out = append(out, v.history.Record(now).Services(route)...)
	slices.Sort(out)
	return slices.Compact(out)
}

// oneOrigin reports whether, as far as this host knows, all streams of a route began at one version of one service.
func (v *Directory) oneOrigin(now time.Time, route, service string) bool {
	_, ok := v.onlyVersion(now, route, service)
	return ok
}

// onlyVersion returns the version at which all streams of a route began, as far as this host knows, and whether there was
// only one. It is not set if no endpoint has had one lately.
func (v *Directory) onlyVersion(now time.Time, route, service string) (only fleet.VersionRequirement, ok bool) {
	n := 0
	for _, s := range v.services(now, route, service) {
		versions := v.versions(now, s)
		n += max(1, len(versions))
		if len(versions) > 0 {
			only = fleet.RequireVersion(versions[0])
		}
	}
	return only, n <= 1
}

// Find implements serve.StreamVersions.
func (v *Directory) Find(ctx context.Context, r *serve.Request) (serve.StreamVersion, error) {
	found, err := v.find(ctx, r)
	source := found.Source
	switch {
	case err != nil:
		source = "unknown"
	case source != sourceSelf && source != sourceOneVersion && source != sourceStore:
		source = "peer"
	}
	v.Count("stream_lookups", 1, map[string]string{"source": source})
	return found, err
}

func (v *Directory) find(ctx context.Context, r *serve.Request) (serve.StreamVersion, error) {
	v.routes.Observe(v.Now(), v.Config())
	route := streamorigin.RouteKey(r.Route)
	certain := v.knowsHistory(ctx, v.services(v.Now(), route, r.Service))
	if only, ok := v.onlyVersion(v.Now(), route, r.Service); ok && certain {
		return serve.StreamVersion{Service: r.Service, Assumed: only, Source: sourceOneVersion}, nil
	}
	if certain && r.Resumes == "" {
		return serve.StreamVersion{}, errors.Wrap(serve.ErrVersionUnknown, "the client does not name the attempt that began the stream")
	}
	return v.lookUp(ctx, r, route)
}

// lookUp finds the version that began a stream in this host's own table, by asking others or in the store.
func (v *Directory) lookUp(ctx context.Context, r *serve.Request, route string) (serve.StreamVersion, error) {
	if own, ok, err := v.findOwn(r.Resumes, sourceSelf); ok || err != nil {
		return own, err
	}
	found, oneVersion, err := v.ask(ctx, fleet.StreamLookup{Attempt: r.Resumes, Service: r.Service, Route: route})
	if err != nil {
		return serve.StreamVersion{}, err
	}
	if found == nil && r.Resumes != "" {
		if err := v.readOrigins(ctx); err != nil {
			v.Log.Info("looking up a stream in the store failed", "error", err.Error())
		}
		own, ok, err := v.findOwn(r.Resumes, sourceStore)
		if err != nil {
			return serve.StreamVersion{}, err
		}
		if ok {
			found = &own
		}
	}
	only, ok := v.onlyVersion(v.Now(), route, r.Service)
	switch {
	case found != nil:
		start := fleet.StreamStart{Attempt: r.Resumes, Origin: fleet.StreamOrigin{Service: found.Service, Version: found.Required.Version}}
		v.table.Add(v.Now(), start)
		v.tell(start) // A host that has kept it may be gone.
		return *found, nil
	case oneVersion && ok:
		return serve.StreamVersion{Service: r.Service, Assumed: only, Source: sourceOneVersion}, nil
	}
	return serve.StreamVersion{}, errors.Wrapf(serve.ErrVersionUnknown, "neither the hosts that were asked nor the store know attempt %s", r.Resumes)
}

// findOwn finds a stream in this host's own table and reports whether it is there.
func (v *Directory) findOwn(attempt, source string) (version serve.StreamVersion, ok bool, err error) {
	own := v.table.Find(v.Now(), attempt)
	switch {
	case own.Conflict:
		return serve.StreamVersion{}, false, errors.Wrapf(serve.ErrVersionUnknown, "attempt %s began at several versions", attempt)
	case own.Origin == nil:
		return serve.StreamVersion{}, false, nil
	}
	return streamVersion(own, source), true, nil
}

func streamVersion(found fleet.StreamLookupResult, source string) serve.StreamVersion {
	return serve.StreamVersion{
		Service:  found.Origin.Service,
		Required: fleet.RequireVersion(found.Origin.Version),
		Source:   source,
		Age:      time.Duration(found.Age) * time.Millisecond,
	}
}

// ask asks the hosts that keep a stream where it began. It returns nil if none knows; oneVersion then reports
// whether one of them knows that the service has had one version.
func (v *Directory) ask(ctx context.Context, q fleet.StreamLookup) (found *serve.StreamVersion, oneVersion bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, streamLookupTimeout)
	defer cancel()
	type answer struct {
		host   string
		result *fleet.StreamLookupResult
	}
	keepers := v.keepers(q.Attempt, askedKeepers)
	answers := make(chan answer, len(keepers))
	for _, k := range keepers {
		go func() {
			response, err := v.Send(ctx, k.Addr, peer.Request{StreamLookup: &q})
			if err != nil {
				answers <- answer{host: k.Name}
				return
			}
			answers <- answer{k.Name, response.StreamLookup}
		}()
	}
	for range keepers {
		a := <-answers
		switch {
		case a.result == nil:
		case a.result.Conflict:
			return nil, false, errors.Wrapf(serve.ErrVersionUnknown, "attempt %s began at several versions, says host %s", q.Attempt, a.host)
		case a.result.Origin != nil:
			version := streamVersion(*a.result, a.host)
			return &version, false, nil
		default:
			oneVersion = oneVersion || a.result.OneVersion
		}
	}
	return nil, oneVersion, nil
}

// Respond answers the question of another host where a stream began.
func (v *Directory) Respond(q fleet.StreamLookup) *fleet.StreamLookupResult {
	now := v.Now()
	result := v.table.Find(now, q.Attempt)
	services := v.services(now, q.Route, q.Service)
	result.OneVersion = !v.Isolated(now) && v.history.Complete(now, services) && v.oneOrigin(now, q.Route, q.Service)
	return &result
}

// Add adds streams that another host has begun, and writes them to the store if it asks for that.
func (v *Directory) Add(starts []fleet.StreamStart, write bool) {
	if write {
		v.Write(starts)
	}
	now := v.Now()
	for _, s := range starts {
		v.table.Add(now, s)
	}
}

// Run tells other hosts and the store of streams, and keeps the record of versions, until ctx is done.
func (v *Directory) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){v.keepRecord, v.keepWriting, v.keepTelling} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// Check must be called regularly. It notices when this host may have missed changes, and tells other hosts of earlier
// streams of routes that have got a second version or service, since those were not told.
func (v *Directory) Check(now time.Time) {
	v.history.Check(now, v.Isolated(now))
	if now.Sub(v.checkedAt) < checkInterval {
		return
	}
	v.checkedAt = now
	v.routes.Observe(now, v.Config())
	told := map[string]bool{}
	several := map[string]bool{}
	for route, services := range v.routes.All(now) {
		if v.oneOrigin(now, route, services[0]) {
			continue
		}
		several[route] = true
		if v.several[route] {
			continue
		}
		for _, service := range v.services(now, route, services[0]) {
			if !told[service] {
				told[service] = true
				v.tell(v.table.Of(service, now.Add(-earlierStreamsTime), maxEarlierStreams)...)
			}
		}
	}
	v.several = several
}
