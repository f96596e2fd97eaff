package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/external"
	"golang.org/x/time/rate"
)

// Store is a weight store with a rate limit. Fetches slow down when more than the permitted number
// run concurrently. It is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	limits      external.StoreLimits
	mbPerSecond float64
	slowdown    float64
	limiter     *rate.Limiter
	running     int
	fetches     int
}

// NewStore returns a Store that fetches a checkpoint at mbPerSecond.
func NewStore(limits external.StoreLimits, mbPerSecond float64) *Store {
	return &Store{
		limits:      limits,
		mbPerSecond: mbPerSecond,
		slowdown:    1,
		limiter:     rate.NewLimiter(rate.Limit(limits.LoadsPerSecond), max(1, int(limits.LoadsPerSecond))),
	}
}

// SetSlowdown multiplies the duration of each fetch by factor.
func (s *Store) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Fetches returns the number of fetches started.
func (s *Store) Fetches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches
}

// Fetch blocks for the time that a fetch of memoryMB takes, or until ctx ends.
func (s *Store) Fetch(ctx context.Context, memoryMB int64) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	select {
	case <-time.After(s.startFetch(memoryMB)):
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	return ctx.Err()
}

// startFetch registers a running fetch and returns its duration.
func (s *Store) startFetch(memoryMB int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetches++
	s.running++
	share := max(1, float64(s.running)/float64(max(1, s.limits.Concurrent)))
	seconds := float64(memoryMB) / s.mbPerSecond * share * s.slowdown
	return time.Duration(seconds * float64(time.Second))
}

// Handler returns a handler for the weight store protocol and, under /control, for fault
// injection.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/limits", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.limits) })
	mux.HandleFunc("POST /v1/fetch", s.serveFetch)
	mux.HandleFunc("POST /control/store", controlHandler(func(in struct{ Slow float64 }) { s.SetSlowdown(in.Slow) }))
	return mux
}

type fetchRequest struct {
	MemoryMB int64 `json:"memory_mb"`
}

func (s *Store) serveFetch(w http.ResponseWriter, r *http.Request) {
	var in fetchRequest
	if !readJSON(w, r, &in) {
		return
	}
	if err := s.Fetch(r.Context(), in.MemoryMB); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, in)
}

// Hosts is the platform's host list. Changes become visible after a lag. It is safe for concurrent
// use.
type Hosts struct {
	mu      sync.Mutex
	lag     time.Duration
	visible map[string]external.ListedHost
	changes []hostChange
}

type hostChange struct {
	visibleAt time.Time
	name      string
	// host is nil if the host is removed.
	host *external.ListedHost
}

// NewHosts returns an empty host list with the given lag.
func NewHosts(lag time.Duration) *Hosts {
	return &Hosts{lag: lag, visible: map[string]external.ListedHost{}}
}

// Put adds or replaces a host.
func (h *Hosts) Put(host external.ListedHost) { h.addChange(host.Name, &host) }

func (h *Hosts) Remove(name string) { h.addChange(name, nil) }

func (h *Hosts) addChange(name string, host *external.ListedHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, hostChange{time.Now().Add(h.lag), name, host})
}

// List returns the currently visible hosts.
func (h *Hosts) List() []external.ListedHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for len(h.changes) > 0 && !h.changes[0].visibleAt.After(now) {
		c := h.changes[0]
		h.changes = h.changes[1:]
		if c.host == nil {
			delete(h.visible, c.name)
		} else {
			h.visible[c.name] = *c.host
		}
	}
	list := []external.ListedHost{}
	for _, host := range h.visible {
		list = append(list, host)
	}
	return list
}

// Handler returns a handler for the host list. Hosts register with PUT and deregister with DELETE.
func (h *Hosts) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]any{"hosts": h.List()})
	})
	mux.HandleFunc("PUT /v1/hosts/{name}", func(w http.ResponseWriter, r *http.Request) {
		var host external.ListedHost
		if readJSON(w, r, &host) {
			host.Name = r.PathValue("name")
			h.Put(host)
		}
	})
	mux.HandleFunc("DELETE /v1/hosts/{name}", func(_ http.ResponseWriter, r *http.Request) {
		h.Remove(r.PathValue("name"))
	})
	return mux
}
