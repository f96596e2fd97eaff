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
	// minBackoff is the backoff after a failed call. It doubles with each further failure up
	// to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// maxListBackoff replaces maxBackoff for the endpoint list, whose reads detect the end of
	// a store outage, and for the first read of a topic that a host needs to start.
	maxListBackoff = 700 * time.Millisecond
	// QuickRetries is the number of retries of a starting host that may follow each other without a
	// growing delay. Later ones, of reads of four topics, use SlowRetryDelay, so that they stay
	// below callsPerSecond.
	QuickRetries   = 5
	SlowRetryDelay = 900 * time.Millisecond
	// unavailablePause is the pause after a successful read while the endpoint list is
	// unavailable. Reads do not block at the store during that time.
	unavailablePause = 500 * time.Millisecond
	// recheckInterval is how often the conditions of a pause are evaluated again, since they
	// also change with time.
	recheckInterval = 250 * time.Millisecond
	// relayedPollInterval is the interval between reads of a topic that another host relays.
	relayedPollInterval = time.Minute
)

// Follower reads a topic repeatedly and delivers its entries.
type Follower struct {
	Store fleet.Store
	State *State
	Log   *slog.Logger
	Topic fleet.Topic
	// Start returns the position to read from, or NoPosition to begin with the newest entries. It
	// may block while another host is about to provide them. It may be nil.
	Start func(ctx context.Context) fleet.Position
	// Wait is how long a read may block at the store for new entries; 0 disables blocking.
	Wait time.Duration
	// Pause returns the pause after a read. If it is nil, the follower pauses only while the
	// endpoint list is unavailable. A receive from Wake ends the pause early.
	Pause func() time.Duration
	Wake  <-chan struct{}
	// MinWakePause is the minimum pause before Wake may end it, so that frequent wakes do not
	// cause a read each.
	MinWakePause time.Duration
	// MinFailurePause returns the minimum pause after a read that failed with err; nil means no minimum.
	MinFailurePause func(err error) time.Duration
	// Relayed reports whether another host relays the topic. It is then read only every
	// relayedPollInterval, to correct errors of the relay. It may be nil.
	Relayed func() bool
	// BatchDelay returns the pause after a read that returned entries, so that entries written
	// shortly after each other are read together. It may be nil.
	BatchDelay func() time.Duration
	// NeededToStart is set if the host cannot serve without the topic. While its first read fails
	// because the connection is lost, which is no sign of overload, the backoff does not grow but
	// to SlowRetryDelay after QuickRetries. These are made at the rate limit's burst, later ones at a
	// rate that leaves calls for the time when the store answers again.
	NeededToStart bool
	// Reset receives the newest entries of all keys, Apply the entries that follow.
	Reset func(fleet.Batch)
	Apply func(fleet.Batch)
	// Result receives the error of each completed read, or nil if it succeeded. Failed, if not
	// nil, is called after each failed read.
	Result func(err error)
	Failed func(ctx context.Context)
}

// errReadInterrupted means that a read was cancelled because the store is available again.
var errReadInterrupted = errors.New("read cancelled: the store is available again")

// Run reads the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	next := fleet.NoPosition
	if f.Start != nil {
		next = f.Start(ctx)
	}
	if next >= 0 {
		f.pauseAfterRead(ctx)
	}
	backoff := minBackoff
	failures := 0
	for ctx.Err() == nil {
		initial := next < 0
		if !initial {
			f.pauseWhileRelayed(ctx)
		}
		batch, err := f.read(ctx, next)
		var compacted *fleet.CompactedError
		switch {
		case errors.As(err, &compacted):
			f.Log.Info("store records compacted; reading the newest entries", "topic", f.Topic, "from", next, "first", compacted.First)
			next = fleet.NoPosition
			continue
		case errors.Is(err, fleet.ErrStoreRestored) && ctx.Err() == nil:
			next = fleet.NoPosition
			continue
		case errors.Is(err, errReadInterrupted):
			continue
		case err != nil && ctx.Err() != nil:
			return // Shutdown is not a store outage.
		}
		f.Result(err)
		if err != nil {
			if f.Failed != nil {
				f.Failed(ctx)
			}
			if f.MinFailurePause != nil {
				f.pauseUntilRestored(ctx, max(backoff, f.MinFailurePause(err)))
			} else {
				f.pauseUntilRestored(ctx, backoff)
			}
			failures++
			backoff = f.nextBackoff(backoff, initial, failures, err)
			continue
		}
		backoff = minBackoff
		if initial {
			f.Reset(batch)
		} else {
			f.Apply(batch)
		}
		next = batch.Next
		if len(batch.Entries) > 0 && f.BatchDelay != nil {
			wait.For(ctx, f.BatchDelay())
		}
		f.pauseAfterRead(ctx)
	}
}

// nextBackoff returns the backoff after a number of failures, of which err is the last.
func (f *Follower) nextBackoff(backoff time.Duration, initial bool, failures int, err error) time.Duration {
	if f.NeededToStart && initial && errors.Is(err, fleet.ErrStoreConnectionLost) {
		if failures < QuickRetries {
			return minBackoff
		}
		return SlowRetryDelay
	}
	return min(2*backoff, f.maxBackoff(initial))
}

// pauseWhileRelayed blocks while another host relays the topic, for at most
// relayedPollInterval.
func (f *Follower) pauseWhileRelayed(ctx context.Context) {
	start := time.Now()
	for f.Relayed != nil && f.Relayed() && time.Since(start) < relayedPollInterval && ctx.Err() == nil {
		wait.For(ctx, recheckInterval)
	}
}

func (f *Follower) read(ctx context.Context, next fleet.Position) (fleet.Batch, error) {
	if next < 0 {
		return f.Store.Newest(ctx, f.Topic)
	}
	return f.readNext(ctx, next)
}

// readNext reads the entries from next on. A read that started during a store outage may block
// for its whole wait after the store is available again. readNext therefore does not block
// while the store is unavailable, and cancels a blocked read when another read shows the end
// of the outage.
func (f *Follower) readNext(ctx context.Context, next fleet.Position) (fleet.Batch, error) {
	unavailable, restored := f.State.ListUnavailable()
	if f.Wait == 0 || unavailable {
		return f.Store.Read(ctx, f.Topic, next, 0)
	}
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-restored:
			cancel()
		case <-readCtx.Done():
		}
	}()
	batch, err := f.Store.Read(readCtx, f.Topic, next, f.Wait)
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		return fleet.Batch{}, errReadInterrupted
	}
	return batch, err
}

func (f *Follower) maxBackoff(initial bool) time.Duration {
	if f.Topic == fleet.TopicEndpoints || f.NeededToStart && initial {
		return maxListBackoff
	}
	return maxBackoff
}

// pauseAfterRead pauses after a successful read.
func (f *Follower) pauseAfterRead(ctx context.Context) {
	if f.Pause == nil {
		if unavailable, _ := f.State.ListUnavailable(); unavailable {
			f.pauseUntilRestored(ctx, unavailablePause)
		}
		return
	}
	start := time.Now()
	jitter := wait.Jitter(time.Second).Seconds() // The same factor applies to the whole pause.
	for {
		elapsed := time.Since(start)
		remaining := time.Duration(jitter*float64(f.Pause())) - elapsed
		wake := f.Wake
		if elapsed < f.MinWakePause {
			wake = nil
			remaining = min(remaining, f.MinWakePause-elapsed)
		}
		if remaining <= 0 || !wait.ForOrWake(ctx, min(remaining, recheckInterval), wake) {
			return
		}
	}
}

// pauseUntilRestored pauses for about d, or until the end of a store outage if that is sooner.
func (f *Follower) pauseUntilRestored(ctx context.Context, d time.Duration) {
	var restored <-chan struct{}
	if f.Topic != fleet.TopicEndpoints {
		_, restored = f.State.ListUnavailable()
	}
	wait.ForOrWake(ctx, wait.Jitter(d), restored)
}
