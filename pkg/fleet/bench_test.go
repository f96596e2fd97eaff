package fleet_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// BenchmarkLocate measures the lookup of the endpoints for one request. BenchmarkIndex also
// includes the index update after a new entry of an endpoint that holds the model.
func BenchmarkLocate(b *testing.B) {
	for _, n := range []int{18, 1000, 12000} {
		locator, _ := locatorWithEndpoints(n)
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			for b.Loop() {
				locator.Locate(at(0), "s", "m7", "")
			}
		})
	}
}

func BenchmarkIndex(b *testing.B) {
	for _, n := range []int{18, 1000, 12000} {
		locator, d := locatorWithEndpoints(n)
		e := endpoint("e6")
		e.Loaded = []fleet.LoadedModel{{Model: "m6"}, {Model: "m7"}}
		offset := fleet.Position(n)
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			for b.Loop() {
				offset++
				d.Apply(at(0), offset, e)
				locator.MarkStale()
				locator.Locate(at(0), "s", "m7", "")
			}
		})
	}
}

func locatorWithEndpoints(n int) (*fleet.Locator, *fleet.Directory) {
	d := fleet.NewDirectory()
	for i := range n {
		e := endpoint(fmt.Sprint("e", i))
		e.Loaded = []fleet.LoadedModel{{Model: fmt.Sprint("m", i%310)}, {Model: fmt.Sprint("m", (i+1)%310)}}
		d.Apply(at(0), fleet.Position(i), e)
	}
	return fleet.NewLocator(d), d
}

// BenchmarkChangedFor measures the check for changes that a relay makes for each of its children
// with each notice.
func BenchmarkChangedFor(b *testing.B) {
	for _, n := range []int{18, 1000, 12000} {
		locator, _ := locatorWithEndpoints(n)
		all := fleet.Notice{Token: 1, Full: true}
		for i := range n {
			all.Endpoints = append(all.Endpoints, fleet.Placement{Endpoint: fleet.EndpointID(fmt.Sprint("e", i)), Models: []fleet.ModelPlacement{{Model: "m"}}})
		}
		locator.ApplyNotice(at(0), all)
		p := fleet.Pull{Source: "s", Token: 1, Version: int64(n)}
		locator.ApplyNotice(at(0), fleet.Notice{Token: 1, Endpoints: []fleet.Placement{{Endpoint: "e1", Models: []fleet.ModelPlacement{{Model: "o"}}}}})
		waiting := map[fleet.ModelRef]bool{{Service: "s", Model: "x"}: true}
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			for b.Loop() {
				locator.ChangedFor("s", p, waiting)
			}
		})
	}
}

// BenchmarkMemory reports the heap in use by a list of endpoints, its index and the placements of a
// notice, in bytes for each endpoint.
func BenchmarkMemory(b *testing.B) {
	const endpoints = 10000
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		locator, d := locatorWithEndpoints(endpoints)
		all := fleet.Notice{Token: 1, Full: true}
		for _, v := range d.Live(at(0)) {
			p := fleet.Placement{Endpoint: v.ID}
			for _, m := range v.Loaded {
				p.Models = append(p.Models, fleet.ModelPlacement{Model: m.Model})
			}
			all.Endpoints = append(all.Endpoints, p)
		}
		locator.ApplyNotice(at(0), all)
		locator.Locate(at(0), "s", "m7", "")
		all = fleet.Notice{}
		b.ReportMetric(float64(heap()-before)/endpoints, "bytes/endpoint")
		runtime.KeepAlive(locator)
	}
}
