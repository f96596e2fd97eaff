package follow_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/follow"
)

// answerTime is how long the store takes to answer.
const answerTime = 4 * time.Millisecond

// store answers reads of some topics and fails those of others. It counts calls.
type store struct {
	mu    sync.Mutex
	away  map[fleet.Topic]bool
	calls map[fleet.Topic]int
}

func newStore(away ...fleet.Topic) *store {
	s := &store{away: map[fleet.Topic]bool{}, calls: map[fleet.Topic]int{}}
	for _, t := range away {
		s.away[t] = true
	}
	return s
}

func (s *store) call(ctx context.Context, t fleet.Topic) error {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[t]++
	if s.away[t] {
		return fleet.ErrStoreUnavailable
	}
	return ctx.Err()
}

func (s *store) back() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.away)
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.calls {
		n += c
	}
	return n
}

func (s *store) Newest(ctx context.Context, t fleet.Topic) (fleet.Batch, error) {
	return fleet.Batch{}, s.call(ctx, t)
}

func (s *store) Read(ctx context.Context, t fleet.Topic, _ int64, wait time.Duration) (fleet.Batch, error) {
	if err := s.call(ctx, t); err != nil {
		return fleet.Batch{}, err
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return fleet.Batch{}, ctx.Err()
}

func (s *store) Put(ctx context.Context, t fleet.Topic, _ string, _ []byte, _ int64) (int64, error) {
	return 0, s.call(ctx, t)
}

// run follows a topic until the test's context ends.
func run(ctx context.Context, s fleet.Store, state *follow.State, t fleet.Topic, pause func() time.Duration, wake <-chan struct{}) {
	f := &follow.Follower{
		Store: s, State: state, Log: slog.New(slog.DiscardHandler), Topic: t,
		Pause: pause, Wake: wake,
		Reset:  func(fleet.Batch) {},
		Apply:  func(fleet.Batch) {},
		Result: func(err error) { state.Answered(t, time.Now(), err) },
	}
	if pause == nil {
		f.Wait = 15 * time.Second
	}
	go f.Run(ctx)
}

// The store is away and comes back topic by topic. Until the list of endpoints can be
// read, reads of the other topics do not wait at the store; each was followed by the
// next at once, and sixty hosts made tens of thousands of calls in half a second.
func TestNoStormWhileTheListIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore(fleet.TopicEndpoints)
		state := follow.NewState()
		ctx, cancel := context.WithCancel(t.Context())
		run(ctx, s, state, fleet.TopicEndpoints, func() time.Duration { return time.Second }, nil)
		for _, topic := range []fleet.Topic{fleet.TopicConfig, fleet.TopicHosts, fleet.TopicClaims} {
			run(ctx, s, state, topic, nil, nil)
		}
		time.Sleep(10 * time.Second)
		is.True(s.count() < 120) // 10 s of three topics at awayPause, and the list
		s.back()
		time.Sleep(time.Second)
		before := s.count()
		time.Sleep(10 * time.Second)
		is.True(s.count()-before < 20) // long polls and the list
		cancel()
		synctest.Wait()
	})
}

// What a pause depends on changes while a host rests: the controller that confirmed its
// list of endpoints falls silent. A host that slept its pause out would send requests
// to an endpoint that left ten seconds ago.
func TestPauseIsLookedAtAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		ctx, cancel := context.WithCancel(t.Context())
		silent := time.Now().Add(3 * time.Second)
		run(ctx, s, follow.NewState(), fleet.TopicEndpoints, func() time.Duration {
			if time.Now().Before(silent) {
				return 10 * time.Second
			}
			return 700 * time.Millisecond
		}, nil)
		time.Sleep(2900 * time.Millisecond)
		is.Equal(s.count(), 1)
		time.Sleep(500 * time.Millisecond)
		is.Equal(s.count(), 2)
		cancel()
		synctest.Wait()
	})
}

// A loop has gone wrong and calls the store as fast as it answers. The platform must
// not pay for more than the bound, and a claim must not wait behind such calls.
func TestCallsAreBoundedForAnyLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		calls := follow.NewCalls(s)
		ctx, cancel := context.WithCancel(t.Context())
		for range 4 {
			go func() {
				for ctx.Err() == nil {
					_, _ = calls.Read(ctx, fleet.TopicHosts, 0, 0)
				}
			}()
		}
		time.Sleep(10 * time.Second)
		is.True(s.count() <= 20+6*10)
		start := time.Now()
		_, err := calls.Put(ctx, fleet.TopicClaims, "k", nil, 0)
		is.NoErr(err)
		is.Equal(time.Since(start), answerTime)
		cancel()
		synctest.Wait()
	})
}
