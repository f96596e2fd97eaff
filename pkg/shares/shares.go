// Package shares is the queue of requests whose customers share the places of a
// model: each gets its turn, earliest deadline first within a customer, and what
// cannot be served in time is refused at once. It implements serve.Queue.
package shares

import (
	"context"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/contract"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/pool"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/state"
)

const (
	// maxRetired bounds how often the replica of a place may be retired before it
	// is used; by then the request is refused.
	maxRetired = 4
	// resumeGrace is added to the time of a load for a stream that looks for
	// another replica: a part of its answer was passed on in time.
	resumeGrace = time.Second
)

// Replicas tells what is known of the pools.
type Replicas interface {
	// Targets returns the replicas of a model, or the endpoints of a service, that
	// may get new work.
	Targets(kind contract.Kind, pool, model string) []state.Target
	// Loading tells whether a load of the model is under way.
	Loading(pool, model string) bool
	// CanLoad tells whether somebody could decide a load now.
	CanLoad(pool string) bool
}

// Terms are what a contract says of a request.
type Terms struct {
	Customer string
	Model    contract.Model
	// Rank says which requests are refused first when queues grow.
	Rank int
}

// Config is what the queues of a host need.
type Config struct {
	Zone     string
	Replicas Replicas
	Health   *serve.Health
	Now      func() time.Time
	// Terms returns the terms of a request.
	Terms func(*serve.Request) Terms
	// Wanted is called without a lock when requests wait or were refused.
	Wanted func()
	// Refused counts a refusal.
	Refused func(model, reason string)
}

// Queues are the queues of all models on a host. It is safe for concurrent use:
// the state is in shards by model, each under its own lock.
type Queues struct {
	cfg Config

	mu     sync.RWMutex
	shards map[key]*queue
}

type key struct {
	kind        contract.Kind
	pool, model string
}

// NewQueues returns queues without any requests.
func NewQueues(cfg Config) *Queues { return &Queues{cfg: cfg, shards: map[key]*queue{}} }

// queue returns the shard of a model.
func (s *Queues) queue(m contract.Model) *queue {
	k := key{m.Kind, m.Pool, m.Name}
	s.mu.RLock()
	q := s.shards[k]
	s.mu.RUnlock()
	if q != nil {
		return q
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if q = s.shards[k]; q == nil {
		q = newQueue(s, m)
		s.shards[k] = q
	}
	return q
}

func (s *Queues) all() []*queue {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*queue, 0, len(s.shards))
	for _, q := range s.shards {
		all = append(all, q)
	}
	return all
}

// Arrive implements serve.Queue; usage is reported from what waits and runs.
func (s *Queues) Arrive(*serve.Request) {}

// Acquire implements serve.Queue.
func (s *Queues) Acquire(ctx context.Context, r *serve.Request, t serve.Tried) (fleet.Endpoint, *serve.Refusal) {
	terms := s.cfg.Terms(r)
	deadline := r.Deadline
	if t.Begun {
		deadline = s.cfg.Now().Add(terms.Model.LoadEstimate + resumeGrace)
	}
	for range maxRetired {
		target, refusal := s.queue(terms.Model).acquire(ctx, terms, deadline)
		if refusal != nil {
			return fleet.Endpoint{}, refusal
		}
		if target != nil {
			return fleet.Endpoint{ID: endpointID(*target), Addr: target.Addr, Zone: target.Zone}, nil
		}
	}
	return fleet.Endpoint{}, refuse(string(serve.CauseNoRoom), 0)
}

// endpointID names a replica where the serving path names an endpoint: an engine
// may hold two replicas, and only one of them may fail.
func endpointID(t state.Target) fleet.EndpointID { return fleet.EndpointID(t.Replica) }

// Release implements serve.Queue.
func (s *Queues) Release(r *serve.Request, e fleet.EndpointID, u serve.Use) {
	if u.Failed {
		s.cfg.Health.Suspect(s.cfg.Now(), e)
	}
	terms := s.cfg.Terms(r)
	s.queue(terms.Model).release(terms.Customer, string(e), u.Took)
}

// HasOther implements serve.Queue. No request is taken from a silent replica:
// contracts state no latency by which one could be told from a slow one.
func (s *Queues) HasOther(*serve.Request, fleet.EndpointID) bool { return false }

// ServiceTime implements serve.Queue; it is asked only where HasOther may be true.
func (s *Queues) ServiceTime(string) time.Duration { return 0 }

// Began implements serve.Queue. Shares follow from places, not from how soon answers
// begin.
func (s *Queues) Began(*serve.Request, time.Duration) {}

// Step gives free places to waiting requests and refuses what has become hopeless.
func (s *Queues) Step(now time.Time) {
	for _, q := range s.all() {
		q.grant(now)
		q.reconsider(now)
	}
}

// NoteLoad takes in the report of an engine on one of its replicas.
func (s *Queues) NoteLoad(now time.Time, pool, model, replica string, running int) {
	s.mu.RLock()
	q := s.shards[key{contract.Base, pool, model}]
	if q == nil {
		q = s.shards[key{contract.Adapter, pool, model}]
	}
	s.mu.RUnlock()
	if q != nil {
		q.noteLoad(now, replica, running)
	}
}

// Usage returns by pool how this host uses the models.
func (s *Queues) Usage(now time.Time) map[string][]pool.Usage {
	byPool := map[string][]pool.Usage{}
	for _, q := range s.all() {
		if list := q.usage(now); len(list) > 0 {
			byPool[q.pool] = append(byPool[q.pool], list...)
		}
	}
	return byPool
}

// Active returns the replicas of all models whose requests wait or run now.
func (s *Queues) Active() []state.Target {
	var targets []state.Target
	for _, q := range s.all() {
		if q.active() {
			targets = append(targets, q.targets()...)
		}
	}
	return targets
}
