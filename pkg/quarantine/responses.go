package quarantine

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// responseRetention is the least time for which responses are kept. It covers the delay
// until this host learns of a trial.
const responseRetention = 3 * time.Second

// response is a copy of a request that was answered completely.
type response struct {
	endpoint fleet.Endpoint
	// sentAt is when the copy was sent, completedAt when its response was complete.
	sentAt, completedAt time.Time
}

// recentResponses holds recently answered copies by content. A copy that was answered after the
// last crash clears a suspect without a probe. It is safe for concurrent use.
type recentResponses struct {
	mu sync.Mutex
	// current and previous hold, in two generations of responseRetention, the copy of each content
	// that was sent last.
	current, previous map[uint64]response
	rotatedAt         time.Time
	// checking holds the contents whose endpoints are being checked.
	checking map[uint64]bool
}

func newRecentResponses() *recentResponses {
	return &recentResponses{current: map[uint64]response{}, previous: map[uint64]response{}, checking: map[uint64]bool{}}
}

// add records a response.
func (r *recentResponses) add(now time.Time, content uint64, resp response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.rotatedAt) >= responseRetention {
		r.current, r.previous, r.rotatedAt = map[uint64]response{}, r.current, now
	}
	if resp.sentAt.After(r.current[content].sentAt) {
		r.current[content] = resp
	}
}

// claim returns a copy of the content that was sent after the given time and answered long enough
// ago that a crash would have shown. If ok is true, the caller must check the endpoint and then
// call release.
func (r *recentResponses) claim(now time.Time, content uint64, after time.Time) (resp response, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	resp, ok = r.current[content]
	if !ok {
		resp, ok = r.previous[content]
	}
	if !ok || r.checking[content] || !resp.sentAt.After(after) || now.Sub(resp.completedAt) < servedWindow {
		return response{}, false
	}
	r.checking[content] = true
	return resp, true
}

func (r *recentResponses) release(content uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.checking, content)
}

// clearIfServed clears the suspect if a copy of it was sent and answered after the last crash and
// the endpoint that answered is alive.
func (g *Guard) clearIfServed(now time.Time, content uint64, t trial) {
	resp, ok := g.responses.claim(now, content, t.lastCrashAt)
	if !ok {
		return
	}
	go func() {
		defer g.responses.release(content)
		if g.isAlive(resp.endpoint) {
			g.clearTrial(content)
		}
	}()
}
