package follow_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/follow"
)

// countingStore counts reads.
type countingStore struct {
	fleet.Store
	reads int
}

func (s *countingStore) Newest(context.Context, fleet.Topic) (fleet.Batch, error) {
	s.reads++
	return fleet.Batch{}, nil
}

func (s *countingStore) Read(context.Context, fleet.Topic, fleet.Position, time.Duration) (fleet.Batch, error) {
	s.reads++
	return fleet.Batch{}, nil
}

func (s *countingStore) Put(context.Context, fleet.Topic, string, []byte, fleet.Position) (fleet.Position, error) {
	return 0, nil
}

// Guards against too frequent reads when the follower is woken again and again, and against a
// MinWakePause that extends a shorter Pause.
func TestWakeRespectsMinimumPause(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration
		want  int
	}{
		{"long pause ends at the minimum", time.Minute, 4},
		{"pause below the minimum is kept", 100 * time.Millisecond, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &countingStore{}
				wake := make(chan struct{}, 1)
				f := follow.Follower{
					Store: store, State: follow.NewState(), Log: slog.New(slog.DiscardHandler), Topic: fleet.TopicEndpoints,
					Pause: func() time.Duration { return c.pause }, Wake: wake, MinWakePause: 500 * time.Millisecond,
					Reset: func(fleet.Batch) {}, Apply: func(fleet.Batch) {}, Result: func(error) {},
				}
				ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
				defer stop()
				go func() {
					for ctx.Err() == nil {
						select {
						case wake <- struct{}{}:
						default:
						}
						time.Sleep(50 * time.Millisecond)
					}
				}()
				f.Run(ctx)
				time.Sleep(100 * time.Millisecond) // let the waking goroutine exit
				is.True(store.reads >= c.want*3/4 && store.reads <= c.want*4/3)
			})
		})
	}
}
