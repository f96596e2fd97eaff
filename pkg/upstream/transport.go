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
	// OnLink is called with the result of each attempt to connect to an endpoint, and with the error of
	// a connection whose data was not acknowledged; ErrConnectSlow marks attempts that were given up
	// early. It may be nil and must not be changed once
	// connections are opened.
	OnLink func(id fleet.EndpointID, err error)
	// OnViolation is called with each response whose head is not valid and the number of bytes read for it.
	// It may be nil and must not be changed once connections are opened.
	OnViolation func(id fleet.EndpointID, v Violation, bytes int)

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

// Reserve returns a connection to an endpoint; see Pool.Reserve.
func (t *Transport) Reserve(ctx context.Context, e fleet.Endpoint) (*Reservation, error) {
	return t.pool(e).Reserve(ctx)
}

// ReserveWithin returns a connection to an endpoint; see Pool.ReserveWithin.
func (t *Transport) ReserveWithin(ctx context.Context, e fleet.Endpoint, patience time.Duration) (*Reservation, *Pending, error) {
	return t.pool(e).ReserveWithin(ctx, patience)
}

// Check opens a new connection to an endpoint, which is kept for later requests. It returns an error if
// that takes longer than ctx allows.
func (t *Transport) Check(ctx context.Context, e fleet.Endpoint) error {
	pending, err := t.pool(e).Connect()
	if err != nil {
		return err
	}
	defer pending.Abandon()
	r, err := pending.Wait(ctx)
	if err != nil {
		return err
	}
	r.Release()
	return nil
}

// CloseIdle closes the idle connections to an endpoint.
func (t *Transport) CloseIdle(id fleet.EndpointID) {
	t.mu.Lock()
	p := t.pools[id]
	t.mu.Unlock()
	if p != nil {
		p.closeIdle()
	}
}

func (t *Transport) pool(e fleet.Endpoint) *Pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[e.ID]
	if p == nil {
		p = NewPool(e.Addr, 0, t.now)
		p.dial = t.dial
		if t.OnLink != nil {
			p.onLink = func(err error) { t.OnLink(e.ID, err) }
		}
		if t.OnViolation != nil {
			p.onViolation = func(v Violation, bytes int) { t.OnViolation(e.ID, v, bytes) }
		}
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
