package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Transport sends requests to endpoints over this host's own connections. It keeps a pool for each
// endpoint and is safe for concurrent use.
type Transport struct {
	now  func() time.Time
	dial Dialer
	// limit returns the maximum number of connections to an endpoint.
	limit func(fleet.Endpoint) int

	mu    sync.Mutex
	pools map[fleet.EndpointID]*Pool
}

// NewTransport returns a transport that opens connections on demand.
func NewTransport(now func() time.Time, limit func(fleet.Endpoint) int, dial Dialer) *Transport {
	return &Transport{now: now, dial: dial, limit: limit, pools: map[fleet.EndpointID]*Pool{}}
}

// Do sends a request to an endpoint once; see Pool.Do.
func (t *Transport) Do(ctx context.Context, e fleet.Endpoint, r Request) (*http.Response, error) {
	return t.pool(e).Do(ctx, r)
}

func (t *Transport) pool(e fleet.Endpoint) *Pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[e.ID]
	if p == nil {
		p = NewPool(e.Addr, 0, t.now)
		p.dial = t.dial
		t.pools[e.ID] = p
	}
	p.SetLimit(t.limit(e))
	return p
}

// CloseExcept closes the connections to all endpoints that are not in live.
func (t *Transport) CloseExcept(live map[fleet.EndpointID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.pools {
		if !live[id] {
			p.Close()
			delete(t.pools, id)
		}
	}
}

// Opened returns the number of connections opened so far to the current endpoints.
func (t *Transport) Opened() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.pools {
		n += p.Opened()
	}
	return n
}
