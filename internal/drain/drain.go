// Package drain waits for the connections of an HTTP server that is about to shut down: http.Server closes connections
// without an answer to the requests that it reads after Shutdown was called.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
)

// idleGracePeriod is how long a connection must be idle before a stopping host closes it. It
// leaves slow clients time to send their next request, whose response closes the connection.
const idleGracePeriod = 2 * time.Second

// pollInterval is the interval at which Wait checks whether all connections are drained.
const pollInterval = 10 * time.Millisecond

// Tracker tracks the open connections of a server. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// idleSince holds the time at which each connection became idle, zero for active connections.
	idleSince map[net.Conn]time.Time
}

// NewTracker returns a tracker without connections.
func NewTracker() *Tracker { return &Tracker{idleSince: map[net.Conn]time.Time{}} }

// Track records the state of a connection. It has the signature of http.Server.ConnState.
func (t *Tracker) Track(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case http.StateClosed, http.StateHijacked:
		delete(t.idleSince, c)
	case http.StateIdle:
		t.idleSince[c] = time.Now()
	default:
		t.idleSince[c] = time.Time{}
	}
}

// drained reports whether all connections are closed or have been idle for idleGracePeriod.
func (t *Tracker) drained(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, since := range t.idleSince {
		if since.IsZero() || now.Sub(since) < idleGracePeriod {
			return false
		}
	}
	return true
}

// Wait blocks until all connections are closed or have been idle for idleGracePeriod, or ctx is done.
func (t *Tracker) Wait(ctx context.Context) {
	for !t.drained(time.Now()) && wait.For(ctx, pollInterval) {
	}
}
