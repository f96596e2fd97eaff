package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// weightStore simulates a weight store whose loads slow down in proportion beyond its
// slots.
type weightStore struct {
	now       time.Time
	slots     int
	expected  time.Duration
	remaining map[*storeLoad]time.Duration
}

// run executes loads, as many at once as allowed, until the given number has ended. It
// returns the highest number that ran at once and the duration of the first.
func (w *weightStore) run(s *loadLimiter, loads int) (most int, first time.Duration) {
	const tick = 50 * time.Millisecond
	for ended := 0; ended < loads; {
		for len(w.remaining) < s.allowed() {
			w.remaining[s.begin(w.now, fleet.Model{StoreLoad: w.expected})] = w.expected
		}
		most = max(most, len(w.remaining))
		w.now = w.now.Add(tick)
		speed := min(1, float64(w.slots)/float64(len(w.remaining)))
		for l := range w.remaining {
			if w.remaining[l] -= time.Duration(float64(tick) * speed); w.remaining[l] > 0 {
				continue
			}
			delete(w.remaining, l)
			s.finish(w.now, l)
			if ended++; first == 0 {
				first = w.now.Sub(l.started)
			}
		}
	}
	return most, first
}

// Guards against a limit that does not match the store's capacity: too many concurrent
// loads all finish late, too few leave capacity unused.
func TestLoadLimitFollowsWeightStore(t *testing.T) {
	for _, slots := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			is := is.New(t)
			w := &weightStore{now: time.Unix(1000, 0), slots: slots, expected: 13 * time.Second, remaining: map[*storeLoad]time.Duration{}}
			s := &loadLimiter{}
			_, first := w.run(s, 1)
			is.True(first < 14*time.Second)
			w.run(s, 20)
			is.True(s.allowed() >= slots)
			is.True(s.allowed() <= slots+1) // may be probing one more
			w.run(s, 4)                     // Let loads that started under an earlier limit end.
			most, _ := w.run(s, 8)
			is.True(most <= slots+1)
		})
	}
}

// Guards against losing the learned limit when the controller fails over.
func TestLoadLimitSurvivesFailover(t *testing.T) {
	is := is.New(t)
	var s loadLimiter
	is.Equal(s.allowed(), 1)
	s.restore(4)
	is.Equal(s.allowed(), 4)
	s.restore(0) // the former controller has learned nothing
	is.Equal(s.allowed(), 4)
}

// Guards against loads that never end, as after an endpoint crash, using up the limit.
func TestLostLoadReleasesItsSlot(t *testing.T) {
	is := is.New(t)
	var s loadLimiter
	now := time.Unix(1000, 0)
	s.begin(now, fleet.Model{StoreLoad: time.Second})
	l := s.begin(now, fleet.Model{StoreLoad: time.Second})
	is.Equal(s.inProgress(now.Add(time.Second)), 2)
	s.abandon(l)
	is.Equal(s.inProgress(now.Add(time.Second)), 1)
	is.Equal(s.inProgress(now.Add(9*time.Second)), 0)
}
