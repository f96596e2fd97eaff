package orders

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// weightStore does loads as a real one does: beyond its slots all take longer.
type weightStore struct {
	now    time.Time
	slots  int
	stated time.Duration
	left   map[*storeLoad]time.Duration
}

// run lets loads go on, as many at once as are allowed, until some have ended, and
// returns how many ran at most and how long the first took.
func (w *weightStore) run(s *storeLoads, loads int) (most int, first time.Duration) {
	const tick = 50 * time.Millisecond
	for ended := 0; ended < loads; {
		for len(w.left) < s.allowed() {
			w.left[s.begin(w.now, fleet.Model{StoreLoad: w.stated})] = w.stated
		}
		most = max(most, len(w.left))
		w.now = w.now.Add(tick)
		speed := min(1, float64(w.slots)/float64(len(w.left)))
		for l := range w.left {
			if w.left[l] -= time.Duration(float64(tick) * speed); w.left[l] > 0 {
				continue
			}
			delete(w.left, l)
			s.done(w.now, l)
			if ended++; first == 0 {
				first = w.now.Sub(l.began)
			}
		}
	}
	return most, first
}

// A weight store does one load at full speed, and four were begun at once: none of them
// ended before the requests for it had been refused. Another store does four, and
// loads one after the other would leave three quarters of it unused.
func TestLoadsAtOnceFollowTheWeightStore(t *testing.T) {
	for _, slots := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			is := is.New(t)
			w := &weightStore{now: time.Unix(1000, 0), slots: slots, stated: 13 * time.Second, left: map[*storeLoad]time.Duration{}}
			s := &storeLoads{}
			_, first := w.run(s, 1)
			is.True(first < 14*time.Second)
			w.run(s, 20)
			is.True(s.allowed() >= slots)
			is.True(s.allowed() <= slots+1) // It may try one more just now.
			w.run(s, 4)                     // Those that were begun before are over.
			most, _ := w.run(s, 8)
			is.True(most <= slots+1)
		})
	}
}

// The controller dies. Its successor began to learn anew, with one load at a time.
func TestLearnedLoadsOutliveTheController(t *testing.T) {
	is := is.New(t)
	var s storeLoads
	is.Equal(s.allowed(), 1)
	s.assume(4)
	is.Equal(s.allowed(), 4)
	s.assume(0) // nobody has learned anything
	is.Equal(s.allowed(), 4)
}

// A load is accepted, and its endpoint crashes: it never ends. It counted as under way
// for ever, and with a store of one slot no model was loaded from it any more.
func TestLostLoadGivesItsSlotBack(t *testing.T) {
	is := is.New(t)
	var s storeLoads
	now := time.Unix(1000, 0)
	s.begin(now, fleet.Model{StoreLoad: time.Second})
	l := s.begin(now, fleet.Model{StoreLoad: time.Second})
	is.Equal(s.underWay(now.Add(time.Second)), 2)
	s.abandon(l)
	is.Equal(s.underWay(now.Add(time.Second)), 1)
	is.Equal(s.underWay(now.Add(9*time.Second)), 0)
}
