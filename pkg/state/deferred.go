package state

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/record"
)

// DeferredRequest is an accepted request whose response is fetched later.
type DeferredRequest struct {
	record.DeferredRequest
	// Answer is the response, nil until the request has completed.
	Answer *record.DeferredResponse
}

// DeferredRequests holds the deferred requests created since the horizon.
type DeferredRequests struct {
	mu       sync.RWMutex
	requests map[string]DeferredRequest
}

func newDeferredRequests() *DeferredRequests {
	return &DeferredRequests{requests: map[string]DeferredRequest{}}
}

// accept adds a request. It rejects a duplicate by its ID, or by the horizon
// if the first copy has already been deleted.
func (d *DeferredRequests) accept(r record.DeferredRequest, horizon time.Time) error {
	created, ok := record.Key{Value: r.ID}.Time()
	if !ok || created.Before(horizon) {
		return errors.Wrapf(ErrStale, "deferred request %s", r.ID)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, exists := d.requests[r.ID]; exists {
		return errors.Wrapf(ErrStale, "deferred request %s", r.ID)
	}
	d.requests[r.ID] = DeferredRequest{DeferredRequest: r}
	return nil
}

func (d *DeferredRequests) finish(f record.DeferredResponse) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.requests[f.ID]
	if !ok || r.Answer != nil {
		return errors.Wrapf(ErrStale, "deferred request %s is unknown or already completed", f.ID)
	}
	r.Answer = &f
	d.requests[f.ID] = r
	return nil
}

func (d *DeferredRequests) deleteBefore(horizon time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.requests, func(id string, _ DeferredRequest) bool {
		created, _ := record.Key{Value: id}.Time()
		return created.Before(horizon)
	})
}

// Get returns the deferred request with the given ID.
func (d *DeferredRequests) Get(id string) (DeferredRequest, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r, ok := d.requests[id]
	return r, ok
}

// Open returns the requests without a response, oldest first.
func (d *DeferredRequests) Open() []DeferredRequest {
	return slices.DeleteFunc(d.sorted(), func(r DeferredRequest) bool { return r.Answer != nil })
}

func (d *DeferredRequests) sorted() []DeferredRequest {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.SortedFunc(maps.Values(d.requests), func(a, b DeferredRequest) int {
		return cmp.Compare(a.ID, b.ID)
	})
}
