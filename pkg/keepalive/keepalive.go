// Package keepalive decides how long an idle model stays loaded and when it is preloaded for
// its next request. The decision is based on the gaps between its requests and on the
// contract's costs of idle accelerators and cold starts.
//
// The policy uses a histogram of the gaps. It either keeps the model loaded for a fixed time
// after each request, or unloads it at once and preloads it for the window in which the next
// request is expected, whichever would have cost least over the observed gaps.
package keepalive

import (
	"math"
	"time"
)

const (
	// Bucket bounds grow from firstBucket by a factor of 2^(1/bucketsPerDouble).
	firstBucket      = time.Second
	bucketsPerDouble = 4
	buckets          = 68
	// minGaps is the number of gaps required to choose a plan from the histogram.
	minGaps = 4
	// decay is the factor applied to the weight of all earlier gaps when a gap is added.
	decay = 0.985
)

// Cost holds the costs of an hour of idle accelerator and of a second of cold start. Only
// their ratio matters.
type Cost struct {
	IdleHour        float64
	ColdStartSecond float64
	// Load is the duration of a cold start.
	Load time.Duration
}

// Gaps is a histogram of the gaps between the requests of one model. The zero value is empty.
type Gaps struct {
	weight [buckets + 1]float64
	sum    [buckets + 1]float64
	total  float64
	count  int
}

// Observe adds a gap between the end of a request and the next request.
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

// upperBound returns the upper bound of a bucket. It must not be called for the last bucket,
// which is unbounded.
func upperBound(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(2, float64(i)/bucketsPerDouble))
}

// Plan says when a model is loaded after its last request: until Keep, and again from PreloadAt
// until PreloadUntil if PreloadUntil is not zero.
type Plan struct {
	Keep         time.Duration
	PreloadAt    time.Duration
	PreloadUntil time.Duration
}

// Loaded reports whether the model should be loaded after it has been idle for the given time.
func (p Plan) Loaded(idle time.Duration) bool {
	return idle <= p.Keep || p.Preload(idle)
}

// Preload reports whether the model should be preloaded after it has been idle for the given
// time.
func (p Plan) Preload(idle time.Duration) bool {
	return p.PreloadUntil > 0 && idle >= p.PreloadAt && idle <= p.PreloadUntil
}

// Choose returns the plan that would have cost least over the observed gaps. With too few
// gaps, it returns a plan that keeps the model loaded for the fallback time.
func (g *Gaps) Choose(c Cost, fallback time.Duration) Plan {
	if g.count < minGaps {
		return Plan{Keep: fallback}
	}
	t := g.prefixSums(c)
	best, bestCost := Plan{}, math.Inf(1)
	for i := -1; i < buckets; i++ {
		if cost := t.keepCost(i); cost < bestCost {
			best, bestCost = Plan{Keep: t.bucketEnd(i)}, cost
		}
	}
	for from := 0; from < buckets; from++ {
		for until := from + 1; until < buckets; until++ {
			cost := t.preloadCost(from, until)
			if cost >= bestCost {
				continue
			}
			bestCost = cost
			// The load must complete before the window starts.
			preloadAt := max(0, t.bucketEnd(from)-c.Load)
			best = Plan{PreloadAt: preloadAt, PreloadUntil: t.bucketEnd(until)}
		}
	}
	return best
}

// costTable holds prefix sums over the buckets, so that the cost of a plan is computed in
// constant time.
type costTable struct {
	cost Cost
	// weight and seconds hold the sums over buckets 0 to i at index i+1.
	weight  [buckets + 2]float64
	seconds [buckets + 2]float64
	total   float64
}

func (g *Gaps) prefixSums(c Cost) *costTable {
	t := &costTable{cost: c, total: g.total}
	for i := range g.weight {
		t.weight[i+1] = t.weight[i] + g.weight[i]
		t.seconds[i+1] = t.seconds[i] + g.sum[i]
	}
	return t
}

func (t *costTable) bucketEnd(i int) time.Duration {
	if i < 0 {
		return 0
	}
	return upperBound(i)
}

func (t *costTable) idleCost(seconds float64) float64 { return seconds / 3600 * t.cost.IdleHour }

func (t *costTable) coldStartCost(weight float64) float64 {
	return weight * t.cost.Load.Seconds() * t.cost.ColdStartSecond
}

// keepCost returns the cost of keeping the model loaded up to the upper bound of bucket i.
func (t *costTable) keepCost(i int) float64 {
	inside := t.weight[i+1]
	seconds := t.seconds[i+1] + (t.total-inside)*t.bucketEnd(i).Seconds()
	return t.idleCost(seconds) + t.coldStartCost(t.total-inside)
}

// preloadCost returns the cost of unloading the model at once and preloading it for the
// buckets after from up to until. The load itself also occupies the accelerator.
func (t *costTable) preloadCost(from, until int) float64 {
	start := t.bucketEnd(from).Seconds()
	inside := t.weight[until+1] - t.weight[from+1]
	after := t.total - t.weight[until+1]
	seconds := t.seconds[until+1] - t.seconds[from+1] - inside*start
	seconds += after * (t.bucketEnd(until).Seconds() - start)
	seconds += (inside + after) * t.cost.Load.Seconds()
	return t.idleCost(seconds) + t.coldStartCost(t.total-inside)
}
