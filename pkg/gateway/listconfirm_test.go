package gateway

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/entrycache"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/follow"
	"github.com/tealvane/tealvane/pkg/links"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/quarantine"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

// listCodec decodes test entries, whose value is the state of the endpoint.
type listCodec struct{}

func (listCodec) Config(fleet.Entry) (*fleet.Config, bool, error) { return nil, false, nil }

func (listCodec) Endpoint(e fleet.Entry) (fleet.Endpoint, error) {
	return fleet.Endpoint{ID: fleet.EndpointID(e.Key), Service: "s", Draining: string(e.Value) == "leaving"}, nil
}

// listHost returns a host with just what is needed to track the list of endpoints.
func listHost(drain time.Duration) *Gateway {
	g := &Gateway{
		codec:       listCodec{},
		log:         slog.New(slog.DiscardHandler),
		metrics:     &metrics{scope: tally.NoopScope},
		directory:   fleet.NewDirectory(),
		cache:       entrycache.New(),
		storeReads:  follow.NewState(),
		era:         newStoreEra(),
		startup:     newStartup(),
		mesh:        newMesh("b", peer.Fingerprint{}),
		listReadNow: make(chan struct{}, 1),
		stepNow:     make(chan struct{}, 1),
		children:    newChildren(),
		links:       links.NewHostLinks(),
	}
	g.prober = g.newProber()
	g.crashCursors = newCrashCursors()
	g.storedCrashes = newStoredCrashes()
	g.guard = quarantine.NewGuard(quarantine.Config{
		ShutdownAnnounced: g.directory.DrainingOrGone,
		OnCrash:           func([]fleet.CrashReport) {},
		Now:               g.Now,
		Log:               g.log,
	})
	g.settings.Timing.Drain = drain
	g.locator = fleet.NewLocator(g.directory)
	g.health = serve.NewHealth()
	g.dispatcher = serve.NewDispatcher("z", placementLocator{g.locator, g.config.Load}, g.health, g.Now, func() {})
	g.initReplicatedSets()
	return g
}

// usableEndpoints returns the endpoints that a host may send requests to.
func usableEndpoints(g *Gateway, now time.Time) []fleet.EndpointID {
	var out []fleet.EndpointID
	for _, v := range g.directory.Live(now) {
		if !v.Draining {
			out = append(out, v.ID)
		}
	}
	return out
}

// Guards against a confirmed list that is older than its confirmation, with notices that are
// lost, late, duplicated and out of order.
func TestConfirmedListIsNotOutdated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &listSim{controller: listHost(time.Minute), host: listHost(time.Minute), now: time.Unix(1000, 0), sentOffset: fleet.NoPosition, draining: map[string]bool{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				w.change(t)
			case 2:
				w.send()
			case 3, 4:
				w.deliver(t)
			case 5:
				w.read()
			}
			w.check(t)
		}
	})
}

// listSim simulates a controller that follows the store without delay, a host that learns from
// its notices, and the notices in flight.
type listSim struct {
	controller, host *Gateway
	now              time.Time
	next             fleet.Position
	sentOffset       fleet.Position
	notices          []sentNotice
	// draining holds the endpoints that have announced that they are draining.
	draining map[string]bool
	log      []fleet.Entry
	// history holds which endpoints the controller used, and since when.
	history []usedSince
}

type sentNotice struct {
	fleet.Notice
	at time.Time
}

type usedSince struct {
	at   time.Time
	used []fleet.EndpointID
}

// change writes an entry: a heartbeat, a drain announcement or a removal.
func (w *listSim) change(t *rapid.T) {
	e := fleet.Entry{Key: "e" + strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "endpoint")), Offset: w.next}
	states := []string{"ready", "ready", "leaving", ""}
	if w.draining[e.Key] {
		states = []string{"leaving", ""} // A draining endpoint never becomes ready again.
	}
	e.Value = []byte(rapid.SampledFrom(states).Draw(t, "state"))
	w.draining[e.Key] = w.draining[e.Key] || string(e.Value) == "leaving"
	w.next++
	w.log = append(w.log, e)
	w.controller.applyEndpoints(fleet.Batch{Entries: []fleet.Entry{e}})
	w.history = append(w.history, usedSince{w.now, usableEndpoints(w.controller, w.now)})
}

// send creates a notice for all hosts.
func (w *listSim) send() {
	w.controller.storeReads.RecordResult(fleet.TopicEndpoints, w.now, nil)
	change := w.controller.directory.RoutingOffset()
	n := w.controller.withListChanges(w.now, fleet.Notice{}, w.sentOffset, change)
	w.sentOffset = change
	w.notices = append(w.notices, sentNotice{n, w.now})
}

// deliver delivers one of the recent notices, possibly again. Others are lost.
func (w *listSim) deliver(t *rapid.T) {
	w.notices = slices.DeleteFunc(w.notices, func(n sentNotice) bool { return w.now.Sub(n.at) > peerTimeout })
	if len(w.notices) == 0 {
		return
	}
	w.host.applyListNotice(w.now, rapid.SampledFrom(w.notices).Draw(t, "notice").Notice)
}

// read makes the host read the store to its end.
func (w *listSim) read() {
	w.host.applyEndpoints(fleet.Batch{Entries: w.log})
}

// check checks that the host uses a list that the controller has used at or after the time of
// the confirmation. A notice may take up to peerTimeout.
func (w *listSim) check(t *rapid.T) {
	confirmed := w.host.mesh.listConfirmedAt
	if confirmed.IsZero() {
		return
	}
	asOf := confirmed.Add(-peerTimeout)
	got := usableEndpoints(w.host, w.now)
	var allowed [][]fleet.EndpointID
	for i, h := range w.history {
		if i+1 == len(w.history) || w.history[i+1].at.After(asOf) {
			allowed = append(allowed, h.used)
		}
	}
	if len(allowed) == 0 || slices.ContainsFunc(allowed, func(a []fleet.EndpointID) bool { return slices.Equal(a, got) }) {
		return
	}
	t.Fatalf("host uses %v, confirmed %v ago; want one of the lists that the controller used since: %v", got, w.now.Sub(confirmed), allowed)
}

// Guards against notices overloading a slow link when all entries change at once, which would
// make other hosts consider the controller dead.
func TestNoticesAreLimitedToLinkBandwidth(t *testing.T) {
	value := strings.Repeat("x", 600)
	for _, c := range []struct {
		name     string
		mbps     float64
		changed  int
		entries  int
		mustRead bool
	}{
		{"one entry changes", 10, 1, 1, false},
		{"all entries change, slow link", 10, 90, 0, true},
		{"all entries change, bandwidth not configured", 0, 90, 0, true},
		{"all entries change, fast link", 1000, 90, 90, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			controller, host := listHost(time.Minute), listHost(time.Minute)
			controller.settings.Limits.LinkMbps = c.mbps
			for i := range 77 {
				name := "h" + strconv.Itoa(i)
				controller.mesh.peers[name] = hostEntry{Addr: name}
			}
			first := fleet.Batch{Entries: []fleet.Entry{{Key: "e", Offset: 0, Value: []byte(value)}}}
			controller.applyEndpoints(first)
			host.applyEndpoints(first)
			var later fleet.Batch
			for i := range c.changed {
				later.Entries = append(later.Entries, fleet.Entry{Key: "e" + strconv.Itoa(i), Offset: fleet.Position(i + 1), Value: []byte(value)})
			}
			controller.applyEndpoints(later)
			now := controller.Now()
			controller.storeReads.RecordResult(fleet.TopicEndpoints, now, nil)
			n := controller.withListChanges(now, fleet.Notice{}, 0, controller.directory.RoutingOffset())
			is.Equal(len(n.ListEntries), c.entries)
			host.applyListNotice(now, n)
			is.Equal(len(host.listReadNow) > 0, c.mustRead)
			is.Equal(host.listConfirmed(), !c.mustRead)
		})
	}
}

// Guards against a confirmation that stays valid for too long to read the list within the drain
// time.
func TestConfirmationAgeIsBoundedByDrainTime(t *testing.T) {
	for _, c := range []struct {
		drain, age time.Duration
		confirmed  bool
	}{
		{time.Second, 400 * time.Millisecond, true},
		{time.Second, 600 * time.Millisecond, false},
		{3 * time.Second, time.Second, true},
		{3 * time.Second, 1200 * time.Millisecond, false},
	} {
		is := is.New(t)
		g := listHost(c.drain)
		g.mesh.confirmList(g.Now().Add(-c.age))
		is.Equal(g.listConfirmed(), c.confirmed)
	}
}

// Guards against hosts that keep sending requests to an endpoint whose removal another host has found
// in a complete listing: the removal has no entry of its own to pass on.
func TestRemovalFoundInListingIsPassedOn(t *testing.T) {
	is := is.New(t)
	relay, host := listHost(time.Minute), listHost(time.Minute)
	entries := []fleet.Entry{{Key: "e1", Offset: 0, Value: []byte("ready")}, {Key: "e2", Offset: 1, Value: []byte("ready")}}
	for _, g := range []*Gateway{relay, host} {
		g.applyEndpoints(fleet.Batch{Entries: entries, Next: 2})
	}
	relay.replaceEndpoints(fleet.Batch{Entries: entries[1:], Next: 9})
	now := relay.Now()
	relay.storeReads.RecordResult(fleet.TopicEndpoints, now, nil)
	host.applyListNotice(now, relay.withListChanges(now, fleet.Notice{}, host.directory.Offset()-1, relay.directory.RoutingOffset()))
	is.Equal(usableEndpoints(relay, now), []fleet.EndpointID{"e2"})
	is.Equal(usableEndpoints(host, now), []fleet.EndpointID{"e2"})
	is.True(host.listConfirmed())
}
