// Package follow reads the topics of the platform's store to their end, again and
// again, and spares its calls: each has a price, and all hosts share the store.
package follow

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// State is how a host's reads of each topic went. It is safe for concurrent use.
type State struct {
	mu     sync.Mutex
	topics map[fleet.Topic]*topicState
	// back is closed, and made anew, when the list of endpoints can be read again.
	back chan struct{}
}

type topicState struct {
	loaded bool
	away   bool
	answer time.Time
}

// NewState returns the state of a host that has read nothing.
func NewState() *State {
	return &State{topics: map[fleet.Topic]*topicState{}, back: make(chan struct{})}
}

func (s *State) topic(t fleet.Topic) *topicState {
	x := s.topics[t]
	if x == nil {
		x = &topicState{}
		s.topics[t] = x
	}
	return x
}

// Answered notes a call's result and tells whether the store was lost or regained
// by it.
func (s *State) Answered(t fleet.Topic, now time.Time, err error) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.topic(t)
	away := err != nil
	changed = x.away != away
	x.away = away
	if changed && !away && t == fleet.TopicEndpoints {
		close(s.back)
		s.back = make(chan struct{})
	}
	if !away {
		x.answer = now
		x.loaded = true
	}
	return changed
}

// ListAway tells whether the list of endpoints cannot be read, and returns a
// channel that is closed when it can be read again. The list is read most often, so
// that it shows first what becomes of the store.
func (s *State) ListAway() (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(fleet.TopicEndpoints).away, s.back
}

// Loaded tells whether a topic was ever read.
func (s *State) Loaded(t fleet.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(t).loaded
}

// SetLoaded notes that another host has told what a topic holds.
func (s *State) SetLoaded(t fleet.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(t).loaded = true
}

// LastAnswer is when the store last answered a read of a topic, zero if never.
func (s *State) LastAnswer(t fleet.Topic) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(t).answer
}
