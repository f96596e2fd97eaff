package streamversions_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// simStore keeps the topics of a simulation. Each host has a fault of its own.
type simStore struct {
	mu     sync.Mutex
	era    int64
	topics map[fleet.Topic][]fleet.Entry
	copied map[fleet.Topic][]fleet.Entry
}

type storeFault int

const (
	noFault storeFault = iota
	rejectsWrites
	losesWriteAnswers
	rejectsAll
	storeFaults
)

// simHostStore is the store as one host reaches it.
type simHostStore struct {
	*simStore
	host *simHost
}

func (s simHostStore) Newest(_ context.Context, t fleet.Topic) (fleet.Batch, error) {
	b, err := s.Read(context.Background(), t, fleet.NewPosition(s.currentEra(), 0), 0)
	newest := map[string]fleet.Entry{}
	for _, e := range b.Entries {
		newest[e.Key] = e
	}
	b.Entries = b.Entries[:0]
	for _, e := range newest {
		b.Entries = append(b.Entries, e)
	}
	return b, err
}

func (s simHostStore) Page(context.Context, fleet.Topic, string) (fleet.Batch, bool, error) {
	panic("not used")
}

func (s simHostStore) Extent(context.Context, fleet.Topic) (first, end fleet.Position, err error) {
	panic("not used")
}

func (s simHostStore) Read(_ context.Context, t fleet.Topic, from fleet.Position, _ time.Duration) (fleet.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host.storeFault() == rejectsAll {
		return fleet.Batch{}, fleet.ErrStoreRejected
	}
	if from.Era() != s.era {
		return fleet.Batch{}, fleet.ErrStoreRestored
	}
	all := s.topics[t]
	b := fleet.Batch{Next: fleet.NewPosition(s.era, int64(len(all)))}
	for i, e := range all[from.Offset():] {
		e.Offset = from + fleet.Position(i)
		b.Entries = append(b.Entries, e)
	}
	return b, nil
}

func (s simHostStore) Put(_ context.Context, t fleet.Topic, key string, value []byte, at fleet.Position) (fleet.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host.storeFault() == rejectsAll || s.host.storeFault() == rejectsWrites {
		return 0, fleet.ErrStoreRejected
	}
	next := fleet.NewPosition(s.era, int64(len(s.topics[t])))
	if at != fleet.AnyOffset && at != next {
		return 0, errors.Mark(errors.New("another entry"), fleet.ErrStoreConflict)
	}
	s.topics[t] = append(s.topics[t], fleet.Entry{Key: key, Value: value})
	if s.host.storeFault() == losesWriteAnswers {
		return 0, fleet.ErrStoreUnavailable
	}
	return next, nil
}

func (s *simStore) currentEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *simStore) copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = map[fleet.Topic][]fleet.Entry{}
	for t, all := range s.topics {
		s.copied[t] = slices.Clone(all)
	}
}

func (s *simStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copied == nil {
		return
	}
	s.era++
	s.topics, s.copied = s.copied, nil
}
