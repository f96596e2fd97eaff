// Package retry bounds how often requests are sent to a second endpoint.
package retry

import (
	"sync"
	"time"
)

// slices is the number of parts into which a window is divided; the budget is
// exact to one part.
const slices = 20

// Limits are the bounds of a budget, shared by all hosts.
type Limits struct {
	// Ratio is the number of retries allowed for each request in a window.
	Ratio float64
	// Extra is the number of retries that all hosts may add in a window.
	Extra float64
	// Window is the length over which both are counted.
	Window time.Duration
}

// Budget is one host's part of a retry budget, per service. Each host keeps to
// its own requests and an even share of the extra retries, so that the sum over
// all hosts stays in bounds without any message between them.
type Budget struct {
	limits Limits
	// share is the part of the allowance that this host uses.
	share float64

	mu       sync.Mutex
	hosts    int
	services map[string]*window
}

// window counts requests and retries in slices of the window.
type window struct {
	requests [slices]int
	retries  [slices]int
	slice    int64
}

// NewBudget returns a budget of which this host uses the given share, below 1
// to leave room for late counting.
func NewBudget(limits Limits, share float64) *Budget {
	return &Budget{limits: limits, share: share, hosts: 1, services: map[string]*window{}}
}

// SetHosts tells among how many hosts the extra retries are divided.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, n)
}

// Request counts a client's request.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, service)
	w.requests[w.slice%slices]++
}

// spareShare is the part of the budget that retries may use which are only a better
// chance: a request that was given up at a slow endpoint had one. The rest is for requests
// that an endpoint has rejected, and that nobody serves without a retry.
const spareShare = 0.5

// Take allows one retry, or none while the budget is used up.
func (b *Budget) Take(now time.Time, service string) bool { return b.take(now, service, 1) }

// TakeSpare allows a retry of a request that may still be answered without it, while
// less than half of the budget is used, and the first one.
func (b *Budget) TakeSpare(now time.Time, service string) bool {
	return b.take(now, service, spareShare)
}

func (b *Budget) take(now time.Time, service string, part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(now, service)
	requests, retries := 0, 0
	for i := range slices {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := b.share * (b.limits.Ratio*float64(requests) + b.limits.Extra/float64(b.hosts))
	if float64(retries+1) > min(allowed, max(1, part*allowed)) {
		return false
	}
	w.retries[w.slice%slices]++
	return true
}

// at returns the window of a service, moved on to now.
func (b *Budget) at(now time.Time, service string) *window {
	slice := now.UnixNano() / int64(b.limits.Window/slices)
	w := b.services[service]
	if w == nil {
		w = &window{slice: slice}
		b.services[service] = w
	}
	for step := int64(0); w.slice < slice && step < slices; step++ {
		w.slice++
		w.requests[w.slice%slices] = 0
		w.retries[w.slice%slices] = 0
	}
	w.slice = max(w.slice, slice)
	return w
}
