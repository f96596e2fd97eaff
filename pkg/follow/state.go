// Package follow reads the topics of the platform's store continuously and limits the rate of
// calls to it.
package follow

import (
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// State tracks the results of a host's reads by topic. It is safe for concurrent use.
type State struct {
	mu     sync.Mutex
	topics map[fleet.Topic]*topicState
	// restored is closed and replaced when the endpoint list becomes available again, and when
	// the store was restored from an older copy.
	restored chan struct{}
}

type topicState struct {
	loaded      bool
	unavailable bool
	lastSuccess time.Time
}

// NewState returns the state of a host that has not read any topic.
func NewState() *State {
	return &State{topics: map[fleet.Topic]*topicState{}, restored: make(chan struct{})}
}

func (s *State) topic(t fleet.Topic) *topicState {
	state := s.topics[t]
	if state == nil {
		state = &topicState{}
		s.topics[t] = state
	}
	return state
}

// RecordResult records the result of a read of a topic. It reports whether the availability of the
// topic has changed.
func (s *State) RecordResult(t fleet.Topic, now time.Time, err error) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.topic(t)
	unavailable := err != nil
	changed = state.unavailable != unavailable
	state.unavailable = unavailable
	if changed && !unavailable && t == fleet.TopicEndpoints {
		s.interruptReads()
	}
	if !unavailable {
		state.lastSuccess = now
		state.loaded = true
	}
	return changed
}

// InterruptReads ends the reads that block at the store, because the store was restored from an older
// copy.
func (s *State) InterruptReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interruptReads()
}

// interruptReads must be called with s.mu held.
func (s *State) interruptReads() {
	close(s.restored)
	s.restored = make(chan struct{})
}

// ListUnavailable reports whether the endpoint list is unavailable. The returned channel is closed
// when the list becomes available again or InterruptReads is called. The list is read most often, so
// that it indicates the state of the store first.
func (s *State) ListUnavailable() (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(fleet.TopicEndpoints).unavailable, s.restored
}

// Loaded reports whether the content of a topic is known, from a read or from another host.
func (s *State) Loaded(t fleet.Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(t).loaded
}

// SetLoaded records that another host has sent the content of a topic.
func (s *State) SetLoaded(t fleet.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(t).loaded = true
}

// LastSuccess returns the time of the last successful read of a topic, or the zero time if
// there was none.
func (s *State) LastSuccess(t fleet.Topic) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(t).lastSuccess
}
