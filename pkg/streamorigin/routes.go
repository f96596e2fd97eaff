package streamorigin

import (
	"slices"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// RouteKey identifies a route across configurations by what it matches.
func RouteKey(r fleet.Route) string { return r.Host + r.PathPrefix }

// Routes tracks which services the resumable routes have had lately, by RouteKey. It is safe for concurrent use.
type Routes struct {
	mu     sync.Mutex
	config *fleet.Config
	uses   map[string]serviceUses
}

// serviceUses holds when a route last had each service; zero if it has it now.
type serviceUses map[string]time.Time

// NewRoutes returns a tracker that knows no routes.
func NewRoutes() *Routes { return &Routes{uses: map[string]serviceUses{}} }

// Observe records the configuration that is in force.
func (t *Routes) Observe(now time.Time, c *fleet.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c == nil || c == t.config {
		return
	}
	before := t.config
	t.config = c
	earlier := t.uses
	t.uses = map[string]serviceUses{}
	for key, uses := range earlier {
		t.inherit(now, key, uses)
	}
	for _, r := range c.Routes {
		if !resumable(r) {
			continue
		}
		key := RouteKey(r)
		if before != nil {
			// The requests of a new route were another one's before.
			if old, ok := before.Match(r.Host, r.PathPrefix); ok {
				t.inherit(now, key, earlier[RouteKey(old)])
			}
		}
		for _, target := range r.Targets {
			t.of(key)[target.Service] = time.Time{}
		}
	}
	if before == nil {
		return
	}
	for _, old := range before.Routes {
		// The requests of a removed route may be another one's now.
		if r, ok := c.Match(old.Host, old.PathPrefix); ok && resumable(r) && RouteKey(r) != RouteKey(old) {
			t.inherit(now, RouteKey(r), earlier[RouteKey(old)])
		}
	}
}

func resumable(r fleet.Route) bool { return r.Kind == fleet.Stream && r.Resumable }

func (t *Routes) of(key string) serviceUses {
	if t.uses[key] == nil {
		t.uses[key] = serviceUses{}
	}
	return t.uses[key]
}

// inherit adds services that a route has had until now or earlier, unless that is too long ago.
func (t *Routes) inherit(now time.Time, key string, uses serviceUses) {
	for service, leftAt := range uses {
		if leftAt.IsZero() {
			leftAt = now
		}
		have, ok := t.uses[key][service]
		if now.Sub(leftAt) <= HistoryTime && (!ok || !have.IsZero() && have.Before(leftAt)) {
			t.of(key)[service] = leftAt
		}
	}
}

// Services returns the services that a route has, or had within HistoryTime, sorted.
func (t *Routes) Services(now time.Time, key string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.uses[key].lately(now)
}

// All returns the services of all routes, as Services does.
func (t *Routes) All(now time.Time) map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string][]string, len(t.uses))
	for key, uses := range t.uses {
		if services := uses.lately(now); len(services) > 0 {
			out[key] = services
		}
	}
	return out
}

// AllServices returns the services of routes, sorted.
func AllServices(routes map[string][]string) []string {
	var out []string
	for _, services := range routes {
		out = append(out, services...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (u serviceUses) lately(now time.Time) []string {
	var out []string
	for service, leftAt := range u {
		if leftAt.IsZero() || now.Sub(leftAt) <= HistoryTime {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}
