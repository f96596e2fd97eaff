package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/signals"
)

// storeEra tracks the newest era of the store that this host knows. It is safe for concurrent use.
type storeEra struct {
	mu     sync.Mutex
	newest int64
	// changed is closed and replaced when the era increases.
	changed chan struct{}
	// restoredAt is when this host learned of the newest era by a restore. unread holds the topics
	// that were not read since.
	restoredAt time.Time
	unread     map[fleet.Topic]bool
}

// unknownEra is less than every era.
const unknownEra = -1

func newStoreEra() *storeEra { return &storeEra{newest: unknownEra, changed: make(chan struct{})} }

// observe records an era and returns the newest one before. It reports whether the store was
// restored since; the first era that a host sees is no restore.
func (s *storeEra) observe(now time.Time, era int64) (before int64, restored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.newest
	if era <= before {
		return before, false
	}
	s.newest = era
	close(s.changed)
	s.changed = make(chan struct{})
	if before == unknownEra {
		return before, false
	}
	s.restoredAt = now
	s.unread = map[fleet.Topic]bool{}
	for _, t := range fleet.Topics {
		s.unread[t] = true
	}
	return before, true
}

// recordRead records that a topic was read in an era. It reports whether that was the last one to be read
// after a restore, and how long ago this host learned of the restore.
func (s *storeEra) recordRead(now time.Time, t fleet.Topic, era int64) (took time.Duration, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era != s.newest || !s.unread[t] {
		return 0, false
	}
	delete(s.unread, t)
	return now.Sub(s.restoredAt), len(s.unread) == 0
}

// current returns the newest era and a channel that is closed when it increases.
func (s *storeEra) current() (int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest, s.changed
}

// observeEra records the era of the store. After a restore, at the time at, entries that the older copy
// lacks may be written again, and this host's reads start over. A zero time means that the restore was
// long ago.
func (g *Gateway) observeEra(at time.Time, era int64) (restored bool) {
	before, restored := g.era.observe(g.Now(), era)
	g.metrics.gauge("store_era", float64(max(before, era)))
	if !restored {
		return false
	}
	g.log.Warn("store was restored from an older copy; reading all topics anew", "era", era, "former_era", before, "list_next", g.directory.Offset())
	g.metrics.count("store_restores", nil)
	g.directory.SetStoreRestored(at)
	g.storeReads.InterruptReads()
	g.signalDraining()
	return true
}

// signalDraining tells all hosts which endpoints drain. A restored store may lack their announcements,
// and a host that reads it would not learn of them until they are written again.
func (g *Gateway) signalDraining() {
	now := g.Now()
	for _, v := range g.directory.Live(now) {
		if v.Draining {
			g.health.Signals.Observe(now, v.ID, signals.Response{Draining: true}, now, false)
		}
	}
}

// withEra returns a function that records the era of a batch of a topic that was read from the store and
// then applies the batch.
func (g *Gateway) withEra(t fleet.Topic, apply func(fleet.Batch)) func(fleet.Batch) {
	return func(b fleet.Batch) {
		if g.observeEra(g.Now(), b.Next.Era()) {
			trySend(g.listReadNow)
		}
		apply(b)
		if took, done := g.era.recordRead(g.Now(), t, b.Next.Era()); done {
			g.log.Info("all topics read after the restore of the store", "era", b.Next.Era(), "took_ms", took.Milliseconds())
		}
	}
}

// awaitRestore blocks until the store is in a newer era. It returns false if ctx ends before.
func (g *Gateway) awaitRestore(ctx context.Context, era int64) bool {
	for {
		newest, changed := g.era.current()
		if newest > era {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
