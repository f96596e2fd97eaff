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
	// written is until when another entry is written every few milliseconds.
	written time.Time
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

func (s *store) back(topics ...fleet.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range topics {
		delete(s.away, t)
	}
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
	if time.Now().Before(s.written) {
		return fleet.Batch{Entries: []fleet.Entry{{Key: "k"}}}, nil
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

// follower returns a follower of a topic whose entries go nowhere.
func follower(s fleet.Store, state *follow.State, t fleet.Topic) *follow.Follower {
	return &follow.Follower{
		Store:  s,
		State:  state,
		Log:    slog.New(slog.DiscardHandler),
		Topic:  t,
		Reset:  func(fleet.Batch) {},
		Apply:  func(fleet.Batch) {},
		Result: func(err error) { state.Answered(t, time.Now(), err) },
	}
}

// end stops all loops of a bubble and lets calls in flight end: a call that still waits
// for its answer would outlive the test.
func end(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Second)
	synctest.Wait()
}

// run follows a topic with pauses, or with reads that wait if pause is nil.
func run(ctx context.Context, s fleet.Store, state *follow.State, t fleet.Topic, pause func() time.Duration) {
	f := follower(s, state, t)
	f.Pause = pause
	if pause == nil {
		f.Wait = 15 * time.Second
	}
	go f.Run(ctx)
}

// The store is away and comes back topic by topic. Until the list of endpoints can be
// read, reads of the other topics do not wait at the store; each was followed by the
// next at once, and sixty hosts made tens of thousands of calls until it could.
func TestNoStormWhileTheListIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		topics := []fleet.Topic{fleet.TopicConfig, fleet.TopicHosts, fleet.TopicClaims}
		s := newStore(append(topics, fleet.TopicEndpoints)...)
		state := follow.NewState()
		ctx, cancel := context.WithCancel(t.Context())
		run(ctx, s, state, fleet.TopicEndpoints, func() time.Duration { return time.Second })
		for _, topic := range topics {
			run(ctx, s, state, topic, nil)
		}
		time.Sleep(3 * time.Second)
		s.back(topics...)
		before := s.count()
		time.Sleep(10 * time.Second)
		is.True(s.count()-before < 120) // three topics at awayPause, and the list
		s.back(fleet.TopicEndpoints)
		time.Sleep(time.Second)
		before = s.count()
		time.Sleep(10 * time.Second)
		is.True(s.count()-before < 20) // long polls and the list
		end(cancel)
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
		})
		time.Sleep(2900 * time.Millisecond)
		is.Equal(s.count(), 1)
		time.Sleep(500 * time.Millisecond)
		is.Equal(s.count(), 2)
		end(cancel)
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
		end(cancel)
	})
}

// Sixty hosts start together, and each writes an entry. Every host was woken by nearly
// every entry, and the platform was charged for thousands of reads in a second.
func TestEntriesThatComeTogetherAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		s.written = time.Now().Add(300 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		f := follower(s, follow.NewState(), fleet.TopicHosts)
		f.Wait = 15 * time.Second
		f.Gather = func() time.Duration { return 250 * time.Millisecond }
		go f.Run(ctx)
		time.Sleep(2 * time.Second)
		is.True(s.count() <= 4) // the newest, two with entries, the one that waits
		end(cancel)
	})
}

// A host stops cleanly, which ends its reads. Its log said three times that the store
// was lost, and an engineer went to look for an outage.
func TestStopIsNoLossOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := follower(newStore(), follow.NewState(), fleet.TopicHosts)
		f.Wait = 15 * time.Second
		lost := 0
		f.Result = func(err error) {
			if err != nil {
				lost++
			}
		}
		go f.Run(ctx)
		time.Sleep(time.Second)
		end(cancel)
		is.Equal(lost, 0)
	})
}
