package follow

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// retryMin is the pause after a call that failed; it doubles with each further
	// one up to retryMax. Calls that the store refuses have a price too, and other
	// hosts tell meanwhile what changes.
	retryMin = 250 * time.Millisecond
	retryMax = 1500 * time.Millisecond
	// listRetryMax is the same for the list of endpoints, whose reads find out that
	// the store is back.
	listRetryMax = 700 * time.Millisecond
	// awayPause is the pause after a read that succeeds while the list cannot be read.
	// Such reads do not wait at the store, so that each answer would be followed by the next
	// read.
	awayPause = 500 * time.Millisecond
	// recheck is how often a pause is looked at again: what it depends on changes
	// with time alone, as when the word of another host gets too old.
	recheck = 250 * time.Millisecond
	// toldPoll is how often a topic is read that another host passes on.
	toldPoll = time.Minute
)

// Follower reads one topic to its end again and again.
type Follower struct {
	Store fleet.Store
	State *State
	Log   *slog.Logger
	Topic fleet.Topic
	// Wait is how long a read waits at the store for records, 0 not at all.
	Wait time.Duration
	// Pause is how long to rest after a read; nil rests only while the list of
	// endpoints cannot be read. Wake ends the pause early.
	Pause func() time.Duration
	Wake  <-chan struct{}
	// WakePause is the least pause before Wake ends it: many things may wake a host that
	// has just read.
	WakePause time.Duration
	// FailedPause is the least pause after a read that failed; nil is none.
	FailedPause func() time.Duration
	// Told tells whether another host passes on what the topic brings, so that it need
	// not be read: only every toldPoll, lest a mistake in what is passed on stays. It may
	// be nil.
	Told func() bool
	// Gather is how long to rest after a read that brought entries, so that those
	// which come one after the other are read together: sixty hosts that start
	// together write as many entries, and each host was woken by nearly every one.
	Gather func() time.Duration
	// Reset takes in the newest entries of all keys, Apply those that follow.
	Reset func(fleet.Batch)
	Apply func(fleet.Batch)
	// Result is told how each read went, Failed is called after one without answer.
	Result func(err error)
	Failed func(ctx context.Context)
}

// errReadAgain means that a read was ended because the store is back.
var errReadAgain = errors.New("read ended by the return of the store")

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	next := int64(-1)
	backoff := retryMin
	for ctx.Err() == nil {
		fresh := next < 0
		if !fresh {
			f.restWhileTold(ctx)
		}
		batch, err := f.read(ctx, next)
		var compacted *fleet.CompactedError
		switch {
		case errors.As(err, &compacted):
			f.Log.Info("records are gone from the store", "topic", f.Topic, "from", next, "first", compacted.First)
			next = -1
			continue
		case errors.Is(err, errReadAgain):
			continue
		case err != nil && ctx.Err() != nil:
			return // This host stops; the store is not lost.
		}
		f.Result(err)
		if err != nil {
			if f.Failed != nil {
				f.Failed(ctx)
			}
			if f.FailedPause != nil {
				f.restOrBack(ctx, max(backoff, f.FailedPause()))
			} else {
				f.restOrBack(ctx, backoff)
			}
			backoff = min(2*backoff, f.retryMax())
			continue
		}
		backoff = retryMin
		if fresh {
			f.Reset(batch)
		} else {
			f.Apply(batch)
		}
		next = batch.Next
		if len(batch.Entries) > 0 && f.Gather != nil {
			wait.For(ctx, f.Gather())
		}
		f.rest(ctx)
	}
}

// restWhileTold rests while another host passes on what the topic brings.
func (f *Follower) restWhileTold(ctx context.Context) {
	start := time.Now()
	for f.Told != nil && f.Told() && time.Since(start) < toldPoll && ctx.Err() == nil {
		wait.For(ctx, recheck)
	}
}

func (f *Follower) read(ctx context.Context, next int64) (fleet.Batch, error) {
	if next < 0 {
		return f.Store.Newest(ctx, f.Topic)
	}
	return f.readOn(ctx, next)
}

// readOn reads what follows. A read that began while the store was silent hangs
// for its whole wait, long after the store is back; a host would not hear of a
// new configuration meanwhile. So it does not wait while the store is away, and
// ends when another read shows that the store is back.
func (f *Follower) readOn(ctx context.Context, next int64) (fleet.Batch, error) {
	away, back := f.State.ListAway()
	if f.Wait == 0 || away {
		return f.Store.Read(ctx, f.Topic, next, 0)
	}
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-back:
			cancel()
		case <-wait.Done():
		}
	}()
	batch, err := f.Store.Read(wait, f.Topic, next, f.Wait)
	if err != nil && wait.Err() != nil && ctx.Err() == nil {
		return fleet.Batch{}, errReadAgain
	}
	return batch, err
}

func (f *Follower) retryMax() time.Duration {
	if f.Topic == fleet.TopicEndpoints {
		return listRetryMax
	}
	return retryMax
}

// rest is the pause after a read that succeeded.
func (f *Follower) rest(ctx context.Context) {
	if f.Pause == nil {
		if away, _ := f.State.ListAway(); away {
			f.restOrBack(ctx, awayPause)
		}
		return
	}
	start := time.Now()
	spread := wait.Jitter(time.Second).Seconds() // One factor for the whole rest.
	for {
		rested := time.Since(start)
		left := time.Duration(spread*float64(f.Pause())) - rested
		wake := f.Wake
		if rested < f.WakePause {
			wake = nil
			left = min(left, f.WakePause-rested)
		}
		if left <= 0 || !wait.Or(ctx, min(left, recheck), wake) {
			return
		}
	}
}

// restOrBack waits, until the store is back at the latest.
func (f *Follower) restOrBack(ctx context.Context, d time.Duration) {
	var back <-chan struct{}
	if f.Topic != fleet.TopicEndpoints {
		_, back = f.State.ListAway()
	}
	wait.Or(ctx, wait.Jitter(d), back)
}
