package quarantine

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// answerRetention is the least time for which answers are kept. It covers the delay until this host
// learns of a trial.
const answerRetention = 3 * time.Second

// answer is a copy of a request that was answered completely.
type answer struct {
	endpoint fleet.Endpoint
	// sentAt is when the copy was sent, answeredAt when its answer was complete.
	sentAt, answeredAt time.Time
}

// recentAnswers holds recently answered copies by content. A copy that was answered after the last
// crash clears a suspect without a probe. It is safe for concurrent use.
type recentAnswers struct {
	mu sync.Mutex
	// current and previous hold, in two generations of answerRetention, the copy of each content
	// that was sent last.
	current, previous map[uint64]answer
	rotatedAt         time.Time
	// checking holds the contents whose endpoints are being checked.
	checking map[uint64]bool
}

func newRecentAnswers() *recentAnswers {
	return &recentAnswers{current: map[uint64]answer{}, previous: map[uint64]answer{}, checking: map[uint64]bool{}}
}

// add records an answer.
func (r *recentAnswers) add(now time.Time, content uint64, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.rotatedAt) >= answerRetention {
		r.current, r.previous, r.rotatedAt = map[uint64]answer{}, r.current, now
	}
	if a.sentAt.After(r.current[content].sentAt) {
		r.current[content] = a
	}
}

// claim returns a copy of the content that was sent after the given time and answered long enough
// ago that a crash would have shown. If ok is true, the caller must check the endpoint and then
// call release.
func (r *recentAnswers) claim(now time.Time, content uint64, after time.Time) (a answer, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok = r.current[content]
	if !ok {
		a, ok = r.previous[content]
	}
	if !ok || r.checking[content] || !a.sentAt.After(after) || now.Sub(a.answeredAt) < servedWindow {
		return answer{}, false
	}
	r.checking[content] = true
	return a, true
}

func (r *recentAnswers) release(content uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.checking, content)
}

// clearIfServed clears the suspect if a copy of it was sent and answered after the last crash and
// the endpoint that answered is alive.
func (g *Guard) clearIfServed(now time.Time, content uint64, t trial) {
	a, ok := g.answers.claim(now, content, t.lastCrashAt)
	if !ok {
		return
	}
	go func() {
		defer g.answers.release(content)
		if g.isAlive(a.endpoint) {
			g.clearTrial(content)
		}
	}()
}
