package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"pgregory.net/rapid"
)

// controllerSilent is how long the notices of a silent controller count.
const controllerSilent = 3 * time.Second

// reference answers like a board, by looking at everything each time.
type reference struct {
	directory *fleet.Directory
	token     int64
	heard     time.Time
	notices   map[fleet.EndpointID]fleet.Placement
}

func (r *reference) notice(now time.Time, n fleet.Notice) {
	if n.Token < r.token {
		return
	}
	if n.Token > r.token || n.Full {
		r.notices = map[fleet.EndpointID]fleet.Placement{}
	}
	r.token, r.heard = n.Token, now
	for _, p := range n.Endpoints {
		r.notices[p.Endpoint] = p
	}
}

// ready returns the endpoints that serve a model, or a service if it is empty.
func (r *reference) ready(now time.Time, service, model string) []string {
	out := []string{}
	for _, v := range r.directory.Live(now) {
		if v.Draining || v.Service != service {
			continue
		}
		held := model == ""
		p, known := r.notices[v.ID]
		if known && now.Sub(r.heard) < controllerSilent {
			held = held || slices.ContainsFunc(p.Models, func(m fleet.ModelPlacement) bool { return m.Model == model && !m.Leaving })
		} else {
			held = held || slices.ContainsFunc(v.Holds, func(h fleet.Held) bool { return h.Model == model })
		}
		if held {
			out = append(out, string(v.ID))
		}
	}
	slices.Sort(out)
	return out
}

// Requests go to an endpoint that has announced its leaving, or to none although
// one holds the model: the index is kept up by endpoint, and each change of the
// list, of the notices, of the time and of the store must reach it. Whatever comes
// in which order, it answers as if it were built anew.
func TestBoardAnswersAsIfBuiltAnew(t *testing.T) {
	models := []string{"m0", "m1", "m2"}
	rapid.Check(t, func(t *rapid.T) {
		d := fleet.NewDirectory()
		b := fleet.NewBoard(d)
		r := &reference{directory: d, notices: map[fleet.EndpointID]fleet.Placement{}}
		now := at(0)
		offset := int64(0)
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
				e.Holds = []fleet.Held{{Model: model()}}
				d.Apply(now, offset, e)
				b.Changed()
			},
			"remove": func(t *rapid.T) {
				offset++
				d.Remove(now, offset, id())
				b.Changed()
			},
			"notice": func(t *rapid.T) {
				n := fleet.Notice{Token: int64(rapid.IntRange(1, 3).Draw(t, "token")), Full: rapid.Bool().Draw(t, "full")}
				for range rapid.IntRange(0, 2).Draw(t, "placements") {
					n.Endpoints = append(n.Endpoints, fleet.Placement{
						Endpoint: id(),
						Models:   []fleet.ModelPlacement{{Model: model(), Leaving: rapid.Bool().Draw(t, "leaving")}},
					})
				}
				b.Notice(now, n)
				r.notice(now, n)
			},
			"store": func(t *rapid.T) { d.StoreState(now, rapid.Bool().Draw(t, "answers")) },
			"prune": func(t *rapid.T) { d.Prune(now) },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(300, 40_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, service := range []string{"s", "t"} {
					for _, m := range append([]string{""}, models...) {
						got := []string{}
						for _, e := range b.Locate(now, service, m, "").Ready {
							got = append(got, string(e.ID))
						}
						slices.Sort(got)
						if want := r.ready(now, service, m); !slices.Equal(got, want) {
							t.Fatalf("%s of %s: %v instead of %v", m, service, got, want)
						}
					}
				}
			},
		})
	})
}
