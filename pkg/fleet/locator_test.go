package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"pgregory.net/rapid"
)

// controllerTimeout is how long notices are used after the last one.
const controllerTimeout = 3 * time.Second

// reference is a locator without an index; it evaluates all entries and notices on each call.
type reference struct {
	directory    *fleet.Directory
	token        int64
	lastNoticeAt time.Time
	placements   map[fleet.EndpointID]fleet.Placement
}

func (r *reference) applyNotice(now time.Time, n fleet.Notice) {
	if n.Token < r.token {
		return
	}
	if n.Token > r.token || n.Full {
		r.placements = map[fleet.EndpointID]fleet.Placement{}
	}
	r.token, r.lastNoticeAt = n.Token, now
	for _, p := range n.Endpoints {
		r.placements[p.Endpoint] = p
	}
}

// ready returns the endpoints that serve a model, or all endpoints of the service if model is
// empty.
func (r *reference) ready(now time.Time, service, model string) []string {
	out := []string{}
	for _, v := range r.directory.Live(now) {
		if v.Draining || v.Service != service {
			continue
		}
		holdsModel := model == ""
		p, known := r.placements[v.ID]
		if known && now.Sub(r.lastNoticeAt) < controllerTimeout {
			holdsModel = holdsModel || slices.ContainsFunc(p.Models, func(m fleet.ModelPlacement) bool { return m.Model == model && !m.Unloading })
		} else {
			holdsModel = holdsModel || slices.ContainsFunc(v.Loaded, func(h fleet.LoadedModel) bool { return h.Model == model })
		}
		if holdsModel {
			out = append(out, string(v.ID))
		}
	}
	slices.Sort(out)
	return out
}

// Guards against a stale index that returns a draining endpoint or omits one that holds the
// model. After any sequence of events the locator must agree with the reference.
func TestIncrementalIndexMatchesReference(t *testing.T) {
	models := []string{"m0", "m1", "m2"}
	rapid.Check(t, func(t *rapid.T) {
		d := fleet.NewDirectory()
		l := fleet.NewLocator(d)
		r := &reference{directory: d, placements: map[fleet.EndpointID]fleet.Placement{}}
		now := at(0)
		offset := fleet.Position(0)
		id := func() fleet.EndpointID {
			return fleet.EndpointID(fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "endpoint")))
		}
		model := func() string { return rapid.SampledFrom(models).Draw(t, "model") }
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				offset++
				e := endpoint(string(id()))
				e.Service = rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")
				e.Draining = rapid.IntRange(0, 5).Draw(t, "draining") == 0
				e.Loaded = []fleet.LoadedModel{{Model: model()}}
				d.Apply(now, offset, e)
				l.MarkStale()
			},
			"remove": func(t *rapid.T) {
				offset++
				d.Remove(now, offset, id())
				l.MarkStale()
			},
			"notice": func(t *rapid.T) {
				n := fleet.Notice{Token: int64(rapid.IntRange(1, 3).Draw(t, "token")), Full: rapid.Bool().Draw(t, "full")}
				for range rapid.IntRange(0, 2).Draw(t, "placements") {
					n.Endpoints = append(n.Endpoints, fleet.Placement{
						Endpoint: id(),
						Models:   []fleet.ModelPlacement{{Model: model(), Unloading: rapid.Bool().Draw(t, "leaving")}},
					})
				}
				l.ApplyNotice(now, n)
				r.applyNotice(now, n)
			},
			"store": func(t *rapid.T) { d.SetStoreAvailable(now, rapid.Bool().Draw(t, "answers")) },
			"prune": func(t *rapid.T) { d.Prune(now) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(300, 40_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, service := range []string{"s", "t"} {
					for _, m := range append([]string{""}, models...) {
						got := []string{}
						for _, e := range l.Locate(now, service, m, "").Ready {
							got = append(got, string(e.ID))
						}
						slices.Sort(got)
						if want := r.ready(now, service, m); !slices.Equal(got, want) {
							t.Fatalf("model %q of service %q: endpoints %v, want %v", m, service, got, want)
						}
					}
				}
			},
		})
	})
}

// Guards against a notice of all placements that is too large for the time of a pull, and against
// losing some of them when they come in parts.
func TestManyPlacementsComeInParts(t *testing.T) {
	const endpoints, perNotice = 2500, 1000
	sender, receiver := fleet.NewLocator(fleet.NewDirectory()), fleet.NewLocator(fleet.NewDirectory())
	all := fleet.Notice{Token: 1, Full: true}
	for i := range endpoints {
		all.Endpoints = append(all.Endpoints, fleet.Placement{Endpoint: fleet.EndpointID(fmt.Sprint("e", i)), Models: []fleet.ModelPlacement{{Model: "m"}}})
	}
	sender.ApplyNotice(at(0), all)
	p := fleet.Pull{}
	for range 4 {
		n := sender.ChangesSince(at(0), "sender", p)
		if len(n.Endpoints) > perNotice {
			t.Fatalf("notice has %d placements, want at most %d", len(n.Endpoints), perNotice)
		}
		receiver.ApplyNotice(at(0), n)
		p = fleet.Pull{Source: "sender", Token: 1, Version: n.Version}
	}
	if changed, _ := sender.ChangedFor("sender", p, nil); changed {
		t.Error("the sender has changes left after four notices")
	}
	got := 0
	for p = (fleet.Pull{}); ; {
		n := receiver.ChangesSince(at(0), "receiver", p)
		if len(n.Endpoints) == 0 {
			break
		}
		got += len(n.Endpoints)
		p = fleet.Pull{Source: "receiver", Token: 1, Version: n.Version}
	}
	if got != endpoints {
		t.Errorf("receiver has %d placements, want %d", got, endpoints)
	}
}
