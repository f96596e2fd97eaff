package gateway

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/follow"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/quarantine"
	"github.com/tealvane/tealvane/pkg/serve"
	"pgregory.net/rapid"
)

// listCodec decodes entries of a test: the value is the state of the endpoint.
type listCodec struct{}

func (listCodec) Config(fleet.Entry) (*fleet.Config, bool, error) { return nil, false, nil }

func (listCodec) Endpoint(e fleet.Entry) (fleet.Endpoint, error) {
	return fleet.Endpoint{ID: fleet.EndpointID(e.Key), Service: "s", Draining: string(e.Value) == "leaving"}, nil
}

// listHost returns a host that knows nothing but how to keep the list of endpoints.
func listHost(drain time.Duration) *Gateway {
	g := &Gateway{
		codec:     listCodec{},
		log:       slog.New(slog.DiscardHandler),
		directory: fleet.NewDirectory(),
		feed:      newFeed(),
		reads:     follow.NewState(),
		mesh:      newMesh("b", peer.Fingerprint{}),
		listNow:   make(chan struct{}, 1),
		noticeNow: make(chan struct{}, 1),
		children:  newChildren(),
	}
	g.crashesTold = newCrashesTold()
	g.crashesKept = newKeptCrashes()
	g.guard = quarantine.NewGuard(quarantine.Config{
		Announced: g.directory.Announced,
		Crashed:   func([]fleet.Crash) {},
		Now:       g.Now,
		Log:       g.log,
	})
	g.settings.Timing.Drain = drain
	g.board = fleet.NewBoard(g.directory)
	g.health = serve.NewHealth()
	g.dispatcher = serve.NewDispatcher("z", locator{g.board, g.config.Load}, g.health, g.Now, func() {})
	g.setShared()
	return g
}

// usable names the endpoints that a host sends requests to.
func usable(g *Gateway, now time.Time) []fleet.EndpointID {
	var out []fleet.EndpointID
	for _, v := range g.directory.Live(now) {
		if !v.Draining {
			out = append(out, v.ID)
		}
	}
	return out
}

// Endpoints come, leave and vanish, while notices of the controller are lost, late, doubled
// and out of order. A host that took a list with a gap for confirmed did not read
// the store itself, and sent requests to an endpoint that had left. Whenever the list
// is confirmed as of a time, it has to be the controller's of that time or newer.
func TestConfirmedListIsNeverOlderThanItSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &passing{controller: listHost(time.Minute), host: listHost(time.Minute), now: time.Unix(1000, 0), told: noOffset, left: map[string]bool{}}
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

// passing is a controller that follows the store at once, a host that learns from its
// notices, and the notices on their way.
type passing struct {
	controller, host *Gateway
	now              time.Time
	next             int64
	told             int64
	notices          []sentNotice
	// left names the endpoints that have announced their leaving.
	left map[string]bool
	log  []fleet.Entry
	// history holds what the controller used since when.
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

// change writes an entry: a heartbeat, an announcement, or that an endpoint is gone.
func (w *passing) change(t *rapid.T) {
	e := fleet.Entry{Key: "e" + strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "endpoint")), Offset: w.next}
	states := []string{"ready", "ready", "leaving", ""}
	if w.left[e.Key] {
		states = []string{"leaving", ""} // An endpoint that has announced its leaving never comes back.
	}
	e.Value = []byte(rapid.SampledFrom(states).Draw(t, "state"))
	w.left[e.Key] = w.left[e.Key] || string(e.Value) == "leaving"
	w.next++
	w.log = append(w.log, e)
	w.controller.takeEndpoints(fleet.Batch{Entries: []fleet.Entry{e}})
	w.history = append(w.history, usedSince{w.now, usable(w.controller, w.now)})
}

// send makes a notice, as the controller does for all hosts.
func (w *passing) send() {
	w.controller.reads.Answered(fleet.TopicEndpoints, w.now, nil)
	change := w.controller.directory.Material()
	n := w.controller.withList(w.now, fleet.Notice{}, w.told, change)
	w.told = change
	w.notices = append(w.notices, sentNotice{n, w.now})
}

// deliver brings any notice that was sent lately, and may bring it again; others are lost.
func (w *passing) deliver(t *rapid.T) {
	w.notices = slices.DeleteFunc(w.notices, func(n sentNotice) bool { return w.now.Sub(n.at) > peerTimeout })
	if len(w.notices) == 0 {
		return
	}
	w.host.takeListNotice(w.now, rapid.SampledFrom(w.notices).Draw(t, "notice").Notice)
}

// read lets the host read the store to its end.
func (w *passing) read() {
	w.host.takeEndpoints(fleet.Batch{Entries: w.log})
}

// check compares what the host uses with what the controller used at the time as of
// which the list is confirmed, or since. A notice may be peerTimeout on its way.
func (w *passing) check(t *rapid.T) {
	confirmed := w.host.mesh.confirmed
	if confirmed.IsZero() {
		return
	}
	asOf := confirmed.Add(-peerTimeout)
	got := usable(w.host, w.now)
	var allowed [][]fleet.EndpointID
	for i, h := range w.history {
		if i+1 == len(w.history) || w.history[i+1].at.After(asOf) {
			allowed = append(allowed, h.used)
		}
	}
	if len(allowed) == 0 || slices.ContainsFunc(allowed, func(a []fleet.EndpointID) bool { return slices.Equal(a, got) }) {
		return
	}
	t.Fatalf("the host uses %v, confirmed as of %v ago; the controller used %v since", got, w.now.Sub(confirmed), allowed)
}

// The store comes back after an outage, and the entries of all endpoints change at once. The
// controller, on a slow link, sent all of them to each of 77 hosts; its notices came
// too late, others took it for dead, and for ten seconds hardly a model was loaded.
func TestNoticesKeepToTheLink(t *testing.T) {
	value := strings.Repeat("x", 600)
	for _, c := range []struct {
		name     string
		mbps     float64
		changed  int
		entries  int
		mustRead bool
	}{
		{"one endpoint leaves", 10, 1, 1, false},
		{"all come back, on a slow link", 10, 90, 0, true},
		{"the link is not stated", 0, 90, 0, true},
		{"all come back, on a fast link", 1000, 90, 90, false},
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
			controller.takeEndpoints(first)
			host.takeEndpoints(first)
			var later fleet.Batch
			for i := range c.changed {
				later.Entries = append(later.Entries, fleet.Entry{Key: "e" + strconv.Itoa(i), Offset: int64(i + 1), Value: []byte(value)})
			}
			controller.takeEndpoints(later)
			now := controller.Now()
			controller.reads.Answered(fleet.TopicEndpoints, now, nil)
			n := controller.withList(now, fleet.Notice{}, 0, controller.directory.Material())
			is.Equal(len(n.ListEntries), c.entries)
			host.takeListNotice(now, n)
			is.Equal(len(host.listNow) > 0, c.mustRead)
			is.Equal(host.listConfirmed(), !c.mustRead)
		})
	}
}

// A deployment demands that endpoints which leave are noticed within a second. A list that
// counted as confirmed for longer than half of that would be read too late.
func TestConfirmationKeepsToTheBoundOfTheDeployment(t *testing.T) {
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
		g.mesh.confirm(g.Now().Add(-c.age))
		is.Equal(g.listConfirmed(), c.confirmed)
	}
}
