// Package fairqueue implements serve.Queue with fair sharing of a model's slots between
// customers. While requests wait, slots are shared by the weights of the customers' contracts, and
// within a customer the request with the earliest deadline is served first. Requests that cannot be served in time are refused
// at once.
package fairqueue

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
	// maxRetired bounds how often an acquired replica may be retired before it is used. After that,
	// the request is refused.
	maxRetired = 4
	// resumeGrace is added to the load time of the model in the deadline of a stream that resumes
	// at another replica.
	resumeGrace = time.Second
)

// Replicas provides the state of the pools.
type Replicas interface {
	// Targets returns the replicas of a model, or the endpoints of a service, that accept new
	// requests.
	Targets(kind contract.Kind, pool, model string) []state.Target
	// Loading reports whether the model is being loaded.
	Loading(pool, model string) bool
	// CanLoad reports whether the pool has a controller that can decide to load a model now.
	CanLoad(pool string) bool
}

// Terms holds what a contract specifies for a request.
type Terms struct {
	Customer string
	// Weight is the weight of the customer's contract; 0 means 1.
	Weight float64
	Model  contract.Model
	// Rank determines which requests are refused first when queues grow.
	Rank int
}

// Config holds the dependencies of Queues.
type Config struct {
	Zone     string
	Replicas Replicas
	Health   *serve.Health
	Now      func() time.Time
	// Terms returns the terms of a request.
	Terms func(*serve.Request) Terms
	// OnDemand is called without a lock when a request waits or was refused.
	OnDemand func()
	// OnRefused is called for each refusal.
	OnRefused func(model, reason string)
}

// Queues holds the queues of all models on a host. It is safe for concurrent use; each queue has
// its own lock.
type Queues struct {
	cfg Config

	mu     sync.RWMutex
	queues map[queueKey]*queue
}

type queueKey struct {
	kind        contract.Kind
	pool, model string
}

// NewQueues returns a Queues without requests.
func NewQueues(cfg Config) *Queues { return &Queues{cfg: cfg, queues: map[queueKey]*queue{}} }

// queue returns the queue of a model, which it creates if there is none.
func (s *Queues) queue(m contract.Model) *queue {
	k := queueKey{m.Kind, m.Pool, m.Name}
	s.mu.RLock()
	q := s.queues[k]
	s.mu.RUnlock()
	if q != nil {
		return q
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if q = s.queues[k]; q == nil {
		q = newQueue(s, m)
		s.queues[k] = q
	}
	return q
}

func (s *Queues) all() []*queue {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*queue, 0, len(s.queues))
	for _, q := range s.queues {
		all = append(all, q)
	}
	return all
}

// RecordArrival implements serve.Queue. It does nothing, since usage is derived from waiting
// and running requests.
func (s *Queues) RecordArrival(*serve.Request) {}

// Acquire implements serve.Queue.
func (s *Queues) Acquire(ctx context.Context, r *serve.Request, t serve.PriorAttempts) (fleet.Endpoint, *serve.Refusal) {
	terms := s.cfg.Terms(r)
	deadline := r.Deadline
	if t.ResponseStarted {
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

// endpointID returns the endpoint ID of a replica. It names the replica and not the engine, since
// an engine may hold two replicas and only one of them may fail.
func endpointID(t state.Target) fleet.EndpointID { return fleet.EndpointID(t.Replica) }

// Release implements serve.Queue.
func (s *Queues) Release(r *serve.Request, e fleet.EndpointID, u serve.SlotResult) {
	if u.Failed {
		s.cfg.Health.RecordConnectionFailure(s.cfg.Now(), e)
	}
	terms := s.cfg.Terms(r)
	s.queue(terms.Model).release(terms.Customer, string(e), u.Duration)
}

// HasAlternative implements serve.Queue. It always returns false: without a latency limit in
// contracts, an unresponsive replica cannot be distinguished from a slow one.
func (s *Queues) HasAlternative(serve.Need, fleet.EndpointID) bool { return false }

// LatestStart implements serve.Queue. The wait of requests is not limited.
func (s *Queues) LatestStart(*serve.Request) time.Time { return time.Time{} }

// ServiceTime implements serve.Queue. It is not used, since HasAlternative returns false.
func (s *Queues) ServiceTime(string) time.Duration { return 0 }

// RecordFirstByte implements serve.Queue. It does nothing, since shares depend on slots only.
func (s *Queues) RecordFirstByte(*serve.Request, time.Duration) {}

// Step grants free slots to waiting requests and refuses those that cannot be served in time any
// more.
func (s *Queues) Step(now time.Time) {
	for _, q := range s.all() {
		q.grant(now)
		q.refuseLate(now)
	}
}

// RecordLoad records an engine's load report for one of its replicas.
func (s *Queues) RecordLoad(now time.Time, pool, model, replica string, running int) {
	s.mu.RLock()
	q := s.queues[queueKey{contract.Base, pool, model}]
	if q == nil {
		q = s.queues[queueKey{contract.Adapter, pool, model}]
	}
	s.mu.RUnlock()
	if q != nil {
		q.recordLoad(now, replica, running)
	}
}

// Usage returns this host's use of models by pool.
func (s *Queues) Usage(now time.Time) map[string][]pool.Usage {
	byPool := map[string][]pool.Usage{}
	for _, q := range s.all() {
		if list := q.usage(now); len(list) > 0 {
			byPool[q.pool] = append(byPool[q.pool], list...)
		}
	}
	return byPool
}

// Active returns the replicas of all models with waiting or running requests.
func (s *Queues) Active() []state.Target {
	var targets []state.Target
	for _, q := range s.all() {
		if q.active() {
			targets = append(targets, q.targets()...)
		}
	}
	return targets
}
