// Package keepalive decides for how long an idle model stays loaded, and when
// it is loaded ahead of its next request, from the gaps between its requests
// and from what idle accelerators and cold starts cost by its contract.
//
// The policy has the form of a hybrid histogram: it keeps the model loaded for
// a first time after each request, and loads it ahead for a window in which
// the next one is expected. Both are chosen to cost least over the gaps seen.
package keepalive

import (
	"math"
	"time"
)

const (
	// Buckets grow by a factor of two to the power of one quarter from a second to
	// about a day, which is finer than the spread of most gaps.
	firstBucket      = time.Second
	bucketsPerDouble = 4
	buckets          = 68
	// enough is the number of gaps from which on they are trusted; before, the
	// contract's keep-alive counts.
	enough = 4
	// decay halves the weight of a gap after about 45 newer ones, so that a
	// model whose use changes is soon understood anew.
	decay = 0.985
)

// Cost says what an hour of idle accelerator and a second of cold start cost;
// only their ratio matters.
type Cost struct {
	IdleHour        float64
	ColdStartSecond float64
	// Load is how long a cold start takes.
	Load time.Duration
}

// Gaps is the histogram of the gaps between the requests of one model. The
// zero value is empty.
type Gaps struct {
	weight [buckets + 1]float64
	sum    [buckets + 1]float64
	total  float64
	count  int
}

// Observe adds a gap between the end of a request and the next one.
func (g *Gaps) Observe(gap time.Duration) {
	for i := range g.weight {
		g.weight[i] *= decay
		g.sum[i] *= decay
	}
	g.total = g.total*decay + 1
	g.count++
	i := bucketOf(gap)
	g.weight[i]++
	g.sum[i] += gap.Seconds()
}

func bucketOf(gap time.Duration) int {
	if gap <= firstBucket {
		return 0
	}
	i := int(math.Ceil(math.Log2(gap.Seconds()/firstBucket.Seconds()) * bucketsPerDouble))
	return min(i, buckets)
}

// bound is the upper bound of a bucket; the last bucket has none.
func bound(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(2, float64(i)/bucketsPerDouble))
}

// Plan says when a model is loaded after its last request: until Keep, and
// again from WakeAt until WakeUntil unless WakeUntil is zero.
type Plan struct {
	Keep      time.Duration
	WakeAt    time.Duration
	WakeUntil time.Duration
}

// Loaded tells whether the model should be loaded when it has been idle for
// that long.
func (p Plan) Loaded(idle time.Duration) bool {
	return idle <= p.Keep || p.Ahead(idle)
}

// Ahead tells whether the model should be loaded ahead of its next request.
func (p Plan) Ahead(idle time.Duration) bool {
	return p.WakeUntil > 0 && idle >= p.WakeAt && idle <= p.WakeUntil
}

// Choose returns the plan that would have cost least over the gaps seen. With
// too few of them it keeps the model loaded for the fallback time.
func (g *Gaps) Choose(c Cost, fallback time.Duration) Plan {
	if g.count < enough {
		return Plan{Keep: fallback}
	}
	t := g.tabulate(c)
	best, bestCost := Plan{}, math.Inf(1)
	for i := -1; i < buckets; i++ {
		if cost := t.keepOnly(i); cost < bestCost {
			best, bestCost = Plan{Keep: t.upper(i)}, cost
		}
	}
	for from := 0; from < buckets; from++ {
		for until := from + 1; until < buckets; until++ {
			cost := t.window(from, until)
			if cost >= bestCost {
				continue
			}
			bestCost = cost
			// The load must be over when the window opens.
			wake := max(0, t.upper(from)-c.Load)
			best = Plan{WakeAt: wake, WakeUntil: t.upper(until)}
		}
	}
	return best
}

// table holds running sums over the buckets, so that a plan is costed in
// constant time.
type table struct {
	cost Cost
	// weight and seconds are sums over buckets 0 to i at index i+1.
	weight  [buckets + 2]float64
	seconds [buckets + 2]float64
	total   float64
}

func (g *Gaps) tabulate(c Cost) *table {
	t := &table{cost: c, total: g.total}
	for i := range g.weight {
		t.weight[i+1] = t.weight[i] + g.weight[i]
		t.seconds[i+1] = t.seconds[i] + g.sum[i]
	}
	return t
}

func (t *table) upper(i int) time.Duration {
	if i < 0 {
		return 0
	}
	return bound(i)
}

func (t *table) idle(seconds float64) float64 { return seconds / 3600 * t.cost.IdleHour }

func (t *table) cold(weight float64) float64 {
	return weight * t.cost.Load.Seconds() * t.cost.ColdStartSecond
}

// keepOnly costs keeping the model loaded to the end of bucket i.
func (t *table) keepOnly(i int) float64 {
	inside := t.weight[i+1]
	seconds := t.seconds[i+1] + (t.total-inside)*t.upper(i).Seconds()
	return t.idle(seconds) + t.cold(t.total-inside)
}

// window costs unloading at once and loading ahead for the buckets after
// from up to until. The load itself occupies the accelerator too.
func (t *table) window(from, until int) float64 {
	start := t.upper(from).Seconds()
	inside := t.weight[until+1] - t.weight[from+1]
	after := t.total - t.weight[until+1]
	seconds := t.seconds[until+1] - t.seconds[from+1] - inside*start
	seconds += after * (t.upper(until).Seconds() - start)
	seconds += (inside + after) * t.cost.Load.Seconds()
	return t.idle(seconds) + t.cold(t.total-inside)
}
