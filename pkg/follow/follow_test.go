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

// responseTime is the latency of the store.
const responseTime = 4 * time.Millisecond

// store responds to reads of some topics and fails those of others. It counts calls.
type store struct {
	fleet.Store // Calls that are not implemented here panic.

	mu          sync.Mutex
	unavailable map[fleet.Topic]bool
	calls       map[fleet.Topic]int
	// busyUntil is the time up to which each read returns a new entry.
	busyUntil time.Time
}

func newStore(unavailable ...fleet.Topic) *store {
	s := &store{unavailable: map[fleet.Topic]bool{}, calls: map[fleet.Topic]int{}}
	for _, t := range unavailable {
		s.unavailable[t] = true
	}
	return s
}

func (s *store) call(ctx context.Context, t fleet.Topic) error {
	time.Sleep(responseTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[t]++
	if s.unavailable[t] {
		return fleet.ErrStoreUnavailable
	}
	return ctx.Err()
}

func (s *store) restore(topics ...fleet.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range topics {
		delete(s.unavailable, t)
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

func (s *store) Read(ctx context.Context, t fleet.Topic, _ fleet.Position, wait time.Duration) (fleet.Batch, error) {
	if err := s.call(ctx, t); err != nil {
		return fleet.Batch{}, err
	}
	if time.Now().Before(s.busyUntil) {
		return fleet.Batch{Entries: []fleet.Entry{{Key: "k"}}}, nil
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return fleet.Batch{}, ctx.Err()
}

func (s *store) Extent(ctx context.Context, t fleet.Topic) (first, end fleet.Position, err error) {
	return 0, 0, s.call(ctx, t)
}

func (s *store) Put(ctx context.Context, t fleet.Topic, _ string, _ []byte, _ fleet.Position) (fleet.Position, error) {
	return 0, s.call(ctx, t)
}

// follower returns a follower of a topic that discards the entries.
func follower(s fleet.Store, state *follow.State, t fleet.Topic) *follow.Follower {
	return &follow.Follower{
		Store:  s,
		State:  state,
		Log:    slog.New(slog.DiscardHandler),
		Topic:  t,
		Reset:  func(fleet.Batch) {},
		Apply:  func(fleet.Batch) {},
		Result: func(err error) { state.RecordResult(t, time.Now(), err) },
	}
}

// stop ends all loops of a synctest bubble and waits for calls in flight, which must not
// outlive the test.
func stop(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Second)
	synctest.Wait()
}

// run follows a topic with the given pause, or with long polls if pause is nil.
func run(ctx context.Context, s fleet.Store, state *follow.State, t fleet.Topic, pause func() time.Duration) {
	f := follower(s, state, t)
	f.Pause = pause
	if pause == nil {
		f.Wait = 15 * time.Second
	}
	go f.Run(ctx)
}

// Guards against a storm of reads while the endpoint list is unavailable. Reads of other
// topics return at once during that time and must not follow each other without a pause.
func TestReadsArePacedWhileEndpointListIsUnavailable(t *testing.T) {
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
		s.restore(topics...)
		before := s.count()
		time.Sleep(10 * time.Second)
		is.True(s.count()-before < 120) // three topics at unavailablePause, and the list
		s.restore(fleet.TopicEndpoints)
		time.Sleep(time.Second)
		before = s.count()
		time.Sleep(10 * time.Second)
		is.True(s.count()-before < 20) // long polls and the list
		stop(cancel)
	})
}

// Guards against sleeping through a long pause after its reason has ended, for example when
// the controller stops confirming the endpoint list.
func TestPauseIsReevaluated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		ctx, cancel := context.WithCancel(t.Context())
		unconfirmedAt := time.Now().Add(3 * time.Second)
		run(ctx, s, follow.NewState(), fleet.TopicEndpoints, func() time.Duration {
			if time.Now().Before(unconfirmedAt) {
				return 10 * time.Second
			}
			return 700 * time.Millisecond
		})
		time.Sleep(2900 * time.Millisecond)
		is.Equal(s.count(), 1)
		time.Sleep(500 * time.Millisecond)
		is.Equal(s.count(), 2)
		stop(cancel)
	})
}

// Guards against a loop that calls the store without a pause. The rate of calls must stay
// bounded, and a claim must not wait behind the reads.
func TestCallRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		limited := follow.NewRateLimitedStore(s)
		ctx, cancel := context.WithCancel(t.Context())
		for range 4 {
			go func() {
				for ctx.Err() == nil {
					_, _ = limited.Read(ctx, fleet.TopicHosts, 0, 0)
				}
			}()
		}
		time.Sleep(10 * time.Second)
		is.True(s.count() <= 20+6*10)
		start := time.Now()
		_, err := limited.Put(ctx, fleet.TopicClaims, "k", nil, 0)
		is.NoErr(err)
		is.Equal(time.Since(start), responseTime)
		stop(cancel)
	})
}

// Guards against one read per entry when many hosts write their entries at about the same
// time.
func TestBurstOfEntriesIsReadInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStore()
		s.busyUntil = time.Now().Add(300 * time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		f := follower(s, follow.NewState(), fleet.TopicHosts)
		f.Wait = 15 * time.Second
		f.BatchDelay = func() time.Duration { return 250 * time.Millisecond }
		go f.Run(ctx)
		time.Sleep(2 * time.Second)
		is.True(s.count() <= 4) // the newest entries, two reads with entries, one pending read
		stop(cancel)
	})
}

// Guards against logging a store outage when a host shuts down and cancels its reads.
func TestShutdownIsNotReportedAsStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := follower(newStore(), follow.NewState(), fleet.TopicHosts)
		f.Wait = 15 * time.Second
		failures := 0
		f.Result = func(err error) {
			if err != nil {
				failures++
			}
		}
		go f.Run(ctx)
		time.Sleep(time.Second)
		stop(cancel)
		is.Equal(failures, 0)
	})
}
