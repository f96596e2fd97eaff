package routing_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/routing"
	"pgregory.net/rapid"
)

// A request must never go to a replica without a free slot.
func TestPickRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []routing.Candidate
		slotFree := false
		for i := range rapid.IntRange(0, 6).Draw(t, "n") {
			c := routing.Candidate{
				Replica:       fmt.Sprint(i),
				OwnRequests:   rapid.IntRange(0, 4).Draw(t, "own"),
				OtherRequests: rapid.IntRange(0, 9).Draw(t, "others"),
				Limit:         rapid.IntRange(1, 4).Draw(t, "limit"),
				Suspect:       rapid.Bool().Draw(t, "suspect"),
			}
			slotFree = slotFree || c.OwnRequests < c.Limit
			list = append(list, c)
		}
		i := routing.Pick(list, routing.Options{Zone: "z", ServiceTime: time.Second}, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		if (i >= 0) != slotFree {
			t.Fatalf("picked %d of %+v, a slot is free: %t", i, list, slotFree)
		}
		if i >= 0 && list[i].OwnRequests >= list[i].Limit {
			t.Fatalf("picked %+v, which has no free slot", list[i])
		}
	})
}

// Parameters of the simulation for BenchmarkLag: hosts send requests to replicas with a few
// slots each and see their load with a delay.
const (
	simHosts    = 9
	simReplicas = 18
	simSlots    = 4
	simService  = 100 * time.Millisecond
	simLoad     = 0.85
	simRequests = 60_000
)

type simReplica struct {
	free    []time.Duration // when each slot is free
	load    []sample        // load over time, oldest first
	own     [simHosts]int
	ownLoad [simHosts][]sample // requests of each host over time
}

type sample struct {
	at   time.Duration
	load int
}

// reportedLoad returns the load as of lag before now.
func (r *simReplica) reportedLoad(now, lag time.Duration) int { return loadAt(r.load, now-lag) }

func loadAt(samples []sample, at time.Duration) int {
	i, _ := slices.BinarySearchFunc(samples, at+1, func(s sample, at time.Duration) int { return int(s.at - at) })
	if i == 0 {
		return 0
	}
	return samples[i-1].load
}

type completion struct {
	at      time.Duration
	replica int
	host    int
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type chooser func(replicas []*simReplica, host int, now, lag time.Duration, rnd *rand.Rand) int

func chooseRandom(replicas []*simReplica, _ int, _, _ time.Duration, rnd *rand.Rand) int {
	return rnd.IntN(len(replicas))
}

// chooseLeast returns the replica with the least reported load.
func chooseLeast(replicas []*simReplica, _ int, now, lag time.Duration, _ *rand.Rand) int {
	best := 0
	for i, r := range replicas {
		if r.reportedLoad(now, lag) < replicas[best].reportedLoad(now, lag) {
			best = i
		}
	}
	return best
}

func choosePick(replicas []*simReplica, host int, now, lag time.Duration, rnd *rand.Rand) int {
	list := make([]routing.Candidate, len(replicas))
	for i, r := range replicas {
		list[i] = routing.Candidate{
			OwnRequests:   r.own[host],
			OtherRequests: r.reportedLoad(now, lag) - loadAt(r.ownLoad[host], now-lag),
			ReportAge:     lag,
			Limit:         simRequests,
		}
	}
	return routing.Pick(list, routing.Options{ServiceTime: simService}, rnd.IntN)
}

// simulate returns the 99th percentile of the response time.
func simulate(choose chooser, lag time.Duration) time.Duration {
	rnd := rand.New(rand.NewPCG(5, 5))
	replicas := make([]*simReplica, simReplicas)
	for i := range replicas {
		replicas[i] = &simReplica{free: make([]time.Duration, simSlots)}
	}
	mean := float64(simService) / (simReplicas * simSlots * simLoad)
	var running completionHeap
	var times []time.Duration
	now := time.Duration(0)
	for range simRequests {
		now += time.Duration(rnd.ExpFloat64() * mean)
		for len(running) > 0 && running[0].at <= now {
			done := heap.Pop(&running).(completion)
			r := replicas[done.replica]
			r.addLoad(done.at, done.host, -1)
		}
		host := rnd.IntN(simHosts)
		i := choose(replicas, host, now, lag, rnd)
		end := replicas[i].start(now, time.Duration(rnd.ExpFloat64()*float64(simService)))
		replicas[i].addLoad(now, host, 1)
		heap.Push(&running, completion{end, i, host})
		times = append(times, end-now)
	}
	slices.Sort(times)
	return times[len(times)*99/100]
}

func (r *simReplica) addLoad(at time.Duration, host, change int) {
	r.own[host] += change
	r.ownLoad[host] = append(r.ownLoad[host], sample{at, r.own[host]})
	load := change
	if len(r.load) > 0 {
		load += r.load[len(r.load)-1].load
	}
	r.load = append(r.load, sample{at, load})
}

// start runs a request in the slot that is free first and returns its end.
func (r *simReplica) start(now, service time.Duration) time.Duration {
	i := 0
	for j := range r.free {
		if r.free[j] < r.free[i] {
			i = j
		}
	}
	r.free[i] = max(now, r.free[i]) + service
	return r.free[i]
}

// BenchmarkLag reports the 99th percentile of the response time by the delay of load reports.
func BenchmarkLag(b *testing.B) {
	choosers := []struct {
		name   string
		choose chooser
	}{{"random", chooseRandom}, {"least", chooseLeast}, {"pick", choosePick}}
	for _, lag := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
		for _, c := range choosers {
			b.Run(fmt.Sprintf("lag=%s/%s", lag, c.name), func(b *testing.B) {
				for range b.N {
					b.ReportMetric(float64(simulate(c.choose, lag).Milliseconds()), "p99-ms")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// Hosts must send requests with the same affinity to the same replica without coordination, so
// that its prompt cache is used, unless that replica is busier than another.
func TestSameAffinitySelectsSameReplica(t *testing.T) {
	is := is.New(t)
	list := []routing.Candidate{{Replica: "a", Limit: 9}, {Replica: "b", Limit: 9}, {Replica: "c", Limit: 9}}
	at := map[string]map[int]int{}
	for host := range 20 {
		rnd := rand.New(rand.NewPCG(uint64(host), 1))
		for _, key := range []string{"d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"} {
			if at[key] == nil {
				at[key] = map[int]int{}
			}
			at[key][routing.Pick(list, routing.Options{Affinity: key, ServiceTime: time.Second}, rnd.IntN)]++
		}
	}
	used := map[int]bool{}
	for _, replicas := range at {
		is.Equal(len(replicas), 1)
		for i := range replicas {
			used[i] = true
		}
	}
	is.Equal(len(used), 3) // keys spread over all replicas

	for i := range list {
		busy := slices.Clone(list)
		busy[i].OwnRequests = 5
		rnd := rand.New(rand.NewPCG(1, 1))
		for range 20 {
			got := routing.Pick(busy, routing.Options{Affinity: "d1", ServiceTime: time.Second}, func(n int) int { return (i + 1 + rnd.IntN(n-1)) % n })
			is.True(got != i)
		}
	}
}

// A replica in the host's own availability zone must be used unless it is busier than another,
// to avoid traffic between zones.
func TestOwnZoneIsPreferred(t *testing.T) {
	is := is.New(t)
	list := []routing.Candidate{
		{Replica: "far-1", Zone: "b", Limit: 9},
		{Replica: "near", Zone: "a", Limit: 9},
		{Replica: "far-2", Zone: "c", Limit: 9},
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	pick := func(list []routing.Candidate, affinity string) int {
		return routing.Pick(list, routing.Options{Zone: "a", Affinity: affinity, ServiceTime: time.Second}, rnd.IntN)
	}
	for _, affinity := range []string{"", "d1", "d2", "d3"} {
		for range 20 {
			is.Equal(list[pick(list, affinity)].Replica, "near")
		}
	}
	busy := slices.Clone(list)
	busy[1].OwnRequests = 5
	far := 0
	for range 60 {
		if pick(busy, "") != 1 {
			far++
		}
	}
	is.True(far > 20) // two of three random candidates are less busy
}
