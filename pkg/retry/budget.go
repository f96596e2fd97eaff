// Package retry limits how often requests are sent to a second endpoint.
package retry

import (
	"sync"
	"time"
)

// windowSlices is the number of slices of a sliding window. The budget is exact to one slice.
const windowSlices = 20

// Limits configures a budget that is shared by all hosts.
type Limits struct {
	// Ratio is the number of retries allowed per request in a window.
	Ratio float64
	// Extra is the number of additional retries allowed in a window, summed over all hosts.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget is one host's part of a retry budget, kept per service. Each host counts only its own
// requests and uses an equal part of the extra retries, so that the sum over all hosts stays
// within the limits without coordination. It is safe for concurrent use.
type Budget struct {
	limits Limits
	// share is the fraction of the allowed retries that this host uses.
	share float64

	mu       sync.Mutex
	hosts    int
	services map[string]*window
}

// window counts requests and retries in the slices of a sliding window.
type window struct {
	requests [windowSlices]int
	retries  [windowSlices]int
	// current is the number of the latest slice, counted from the Unix epoch.
	current int64
}

// NewBudget returns a budget that uses the given share of the allowed retries. A share below 1
// leaves a margin for counts that lag behind.
func NewBudget(limits Limits, share float64) *Budget {
	return &Budget{limits: limits, share: share, hosts: 1, services: map[string]*window{}}
}

// SetHosts sets the number of hosts that share the extra retries.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, n)
}

// RecordRequest counts a client request.
func (b *Budget) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(now, service)
	w.requests[w.current%windowSlices]++
}

// spareShare is the part of the budget that TakeSpare may use. The rest is reserved for
// rejected requests, which cannot be served without a retry.
const spareShare = 0.5

// Take takes one retry and reports whether the budget allows it.
func (b *Budget) Take(now time.Time, service string) bool { return b.take(now, service, 1) }

// TakeSpare takes a retry for a request that may still be served without it, and reports
// whether the budget allows it. It may use only part of the budget, but at least one retry.
func (b *Budget) TakeSpare(now time.Time, service string) bool {
	return b.take(now, service, spareShare)
}

func (b *Budget) take(now time.Time, service string, maxPart float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(now, service)
	requests, retries := 0, 0
	for i := range windowSlices {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := b.share * (b.limits.Ratio*float64(requests) + b.limits.Extra/float64(b.hosts))
	if float64(retries+1) > min(allowed, max(1, maxPart*allowed)) {
		return false
	}
	w.retries[w.current%windowSlices]++
	return true
}

// advance returns the window of a service, advanced to now. It must be called with mu held.
func (b *Budget) advance(now time.Time, service string) *window {
	slice := now.UnixNano() / int64(b.limits.Window/windowSlices)
	w := b.services[service]
	if w == nil {
		w = &window{current: slice}
		b.services[service] = w
	}
	for step := int64(0); w.current < slice && step < windowSlices; step++ {
		w.current++
		w.requests[w.current%windowSlices] = 0
		w.retries[w.current%windowSlices] = 0
	}
	w.current = max(w.current, slice)
	return w
}
