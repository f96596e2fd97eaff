package quarantine

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// latelyFor is for how long at least this host remembers what was answered: until it hears of
// the trial of a request whose endpoint had ended before.
const latelyFor = 3 * time.Second

// answered is a copy that an endpoint has answered to the end.
type answered struct {
	endpoint fleet.Endpoint
	// began is when it was sent there, at when its answer ended.
	began, at time.Time
}

// lately is which contents were answered lately. A popular request that is put on trial has
// most often been answered since: it need not wait for a copy to be tried. It is safe for
// concurrent use.
type lately struct {
	mu sync.Mutex
	// now and before are the copy of each content that began last, in two spans of latelyFor.
	now, before map[uint64]answered
	since       time.Time
	// looking holds the contents whose endpoints are looked at.
	looking map[uint64]bool
}

func newLately() *lately {
	return &lately{now: map[uint64]answered{}, before: map[uint64]answered{}, looking: map[uint64]bool{}}
}

// note takes in an answer.
func (l *lately) note(now time.Time, content uint64, a answered) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= latelyFor {
		l.now, l.before, l.since = map[uint64]answered{}, l.now, now
	}
	if a.began.After(l.now[content].began) {
		l.now[content] = a
	}
}

// look returns a copy of a content that has begun after a time, and was answered so long ago
// that its harm would have shown. The caller looks at the endpoint and then calls looked.
func (l *lately) look(now time.Time, content uint64, after time.Time) (a answered, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok = l.now[content]
	if !ok {
		a, ok = l.before[content]
	}
	if !ok || l.looking[content] || !a.began.After(after) || now.Sub(a.at) < servedFor {
		return answered{}, false
	}
	l.looking[content] = true
	return a, true
}

func (l *lately) looked(content uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.looking, content)
}

// clearServed clears suspects of which a copy has begun and was answered since the last end.
func (g *Guard) clearServed(now time.Time, content uint64, t trial) {
	a, ok := g.lately.look(now, content, t.ended)
	if !ok {
		return
	}
	go func() {
		defer g.lately.looked(content)
		if g.lives(a.endpoint) {
			g.clear(content)
		}
	}()
}
