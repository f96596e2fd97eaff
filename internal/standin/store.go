package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/external"
	"golang.org/x/time/rate"
)

// Store is a weight store with a rate limit. More loads at once than its
// limit share its speed.
type Store struct {
	mu      sync.Mutex
	limits  external.StoreLimits
	mbPerS  float64
	slow    float64
	limiter *rate.Limiter
	running int
	fetches int
}

// NewStore returns a store; mbPerSecond is the speed of one load.
func NewStore(limits external.StoreLimits, mbPerSecond float64) *Store {
	return &Store{
		limits:  limits,
		mbPerS:  mbPerSecond,
		slow:    1,
		limiter: rate.NewLimiter(rate.Limit(limits.LoadsPerSecond), max(1, int(limits.LoadsPerSecond))),
	}
}

// SetSlow makes each load take that many times as long.
func (s *Store) SetSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// Fetches counts the checkpoints fetched.
func (s *Store) Fetches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches
}

// Fetch takes as long as loading memoryMB takes.
func (s *Store) Fetch(ctx context.Context, memoryMB int64) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	select {
	case <-time.After(s.begin(memoryMB)):
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	return ctx.Err()
}

func (s *Store) begin(memoryMB int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetches++
	s.running++
	share := max(1, float64(s.running)/float64(max(1, s.limits.Concurrent)))
	seconds := float64(memoryMB) / s.mbPerS * share * s.slow
	return time.Duration(seconds * float64(time.Second))
}

// Handler serves the store's protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/limits", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.limits) })
	mux.HandleFunc("POST /v1/fetch", s.serveFetch)
	mux.HandleFunc("POST /control/store", control(func(in struct{ Slow float64 }) { s.SetSlow(in.Slow) }))
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

// Hosts is the platform's list of hosts. It shows changes after a lag.
type Hosts struct {
	mu      sync.Mutex
	lag     time.Duration
	shown   map[string]external.ListedHost
	changes []hostChange
}

type hostChange struct {
	at   time.Time
	name string
	host *external.ListedHost
}

// NewHosts returns an empty list whose changes show after lag.
func NewHosts(lag time.Duration) *Hosts {
	return &Hosts{lag: lag, shown: map[string]external.ListedHost{}}
}

// Put adds or replaces a host.
func (h *Hosts) Put(host external.ListedHost) { h.change(host.Name, &host) }

// Remove removes a host.
func (h *Hosts) Remove(name string) { h.change(name, nil) }

func (h *Hosts) change(name string, host *external.ListedHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, hostChange{time.Now().Add(h.lag), name, host})
}

// List returns what the list shows now.
func (h *Hosts) List() []external.ListedHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for len(h.changes) > 0 && !h.changes[0].at.After(now) {
		c := h.changes[0]
		h.changes = h.changes[1:]
		if c.host == nil {
			delete(h.shown, c.name)
		} else {
			h.shown[c.name] = *c.host
		}
	}
	list := []external.ListedHost{}
	for _, host := range h.shown {
		list = append(list, host)
	}
	return list
}

// Handler serves the list; hosts register with PUT and leave with DELETE.
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
