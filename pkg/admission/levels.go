package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// enterLoad and leaveLoad are the requests in flight or waiting, as a multiple of the places,
	// above which a model becomes short and below which it is no longer. They must stay beyond
	// their bound for settleTime, since the numbers of hosts are not from the same time.
	enterLoad  = 1.25
	leaveLoad  = 0.9
	settleTime = 300 * time.Millisecond
	// rateTimeConstant is the time constant of the moving averages of rates. It covers a few
	// reports of each host.
	rateTimeConstant = 600 * time.Millisecond
	// fullRateTimeConstant is the time constant with which the completion rate of full replicas
	// follows the measured one.
	fullRateTimeConstant = time.Second
	// fillTime is the time over which free places are filled and a backlog is worked off.
	fillTime = time.Second
	// feedbackDelay is the usual time until the effect of a level is seen in reports. What was
	// admitted in that time counts as in flight; otherwise the level would oscillate.
	feedbackDelay = 750 * time.Millisecond
	// minCapacityShare is the least capacity, as a share of the completion rate, so that places
	// are not idle once a backlog is worked off.
	minCapacityShare = 0.1
	// minCapacity is the least capacity in requests per second.
	minCapacity = 1.0
	// maxModels bounds the models in one list. Those with the largest backlog come first.
	maxModels = 64
	// modelTTL is how long a model without demand is remembered.
	modelTTL = 5 * time.Second
)

// Sums is the demand of all hosts for one model.
type Sums struct {
	Service, Model string
	// Inflight and Waiting count requests now. Places is the number of slots of the ready replicas.
	Inflight, Waiting, Places int
	// Arrived, Completed and Rejected count events since the last decision. Flows splits Arrived,
	// as far as hosts know that the model is short.
	Arrived, Completed, Rejected int
	Flows                        []fleet.Flow
}

// load is the number of requests that need a place.
func (s Sums) load() float64 { return float64(s.Inflight + s.Waiting) }

// Levels decides which models are short of places and which share of the requests for them hosts
// admit. It is not safe for concurrent use.
type Levels struct {
	models map[fleet.ModelRef]*modelState
	last   fleet.Levels
	at     time.Time
}

// modelState is the state of one model between decisions.
type modelState struct {
	arrived, completed float64
	flows              map[flowKey]float64
	// fullRate is the completion rate while all places are used, and places their number then.
	// While places are free, the measured rate says nothing about the capacity.
	fullRate float64
	places   int
	// beyondSince is when the load went beyond the bound at which short changes, or zero.
	beyondSince time.Time
	short       bool
	seenAt      time.Time
	// observed is how long the rates have been averaged.
	observed time.Duration
	// admitted holds the recent admissions that reports do not show yet.
	admitted []admission
}

type flowKey struct {
	priority int
	account  string
}

// admission is the rate, beyond the completion rate, that was admitted during a time.
type admission struct {
	at    time.Time
	extra float64
}

// NewLevels returns a Levels without models.
func NewLevels() *Levels { return &Levels{models: map[fleet.ModelRef]*modelState{}} }

// Decide returns the levels for the current demand of all hosts. weight returns the weight of an
// account and may be nil. A change of token resets all state.
func (l *Levels) Decide(now time.Time, token int64, sums []Sums, weight func(account string) float64) fleet.Levels {
	if token != l.last.Token {
		*l = *NewLevels()
		l.last.Token, l.at = token, now
	}
	dt := now.Sub(l.at)
	l.at = now
	var short []fleet.ModelLevel
	backlog := map[fleet.ModelRef]float64{}
	for _, s := range sums {
		ref := fleet.ModelRef{Service: s.Service, Model: s.Model}
		m := l.models[ref]
		if m == nil {
			m = &modelState{flows: map[flowKey]float64{}}
			l.models[ref] = m
		}
		m.seenAt = now
		m.measure(s, dt)
		m.decideShort(now, s)
		if m.short {
			short = append(short, m.level(now, dt, s, weight))
			backlog[ref] = s.load() - float64(s.Places)
		}
	}
	for ref, m := range l.models {
		if now.Sub(m.seenAt) > modelTTL {
			delete(l.models, ref)
		}
	}
	slices.SortFunc(short, func(a, b fleet.ModelLevel) int {
		x, y := fleet.ModelRef{Service: a.Service, Model: a.Model}, fleet.ModelRef{Service: b.Service, Model: b.Model}
		return cmp.Or(cmp.Compare(backlog[y], backlog[x]), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	l.last = fleet.Levels{Token: token, Seq: l.last.Seq + 1, Models: short[:min(len(short), maxModels)]}
	return l.last
}

// measure updates the rates with the events of the last dt.
func (m *modelState) measure(s Sums, dt time.Duration) {
	decay := math.Exp(-dt.Seconds() / rateTimeConstant.Seconds())
	add := func(rate float64, n int) float64 { return rate*decay + float64(n)/rateTimeConstant.Seconds() }
	m.observed += dt
	m.arrived = add(m.arrived, s.Arrived)
	m.completed = add(m.completed, s.Completed)
	m.measureFullRate(s, dt)
	for k, rate := range m.flows {
		if m.flows[k] = rate * decay; m.flows[k] < 0.01 {
			delete(m.flows, k)
		}
	}
	for _, f := range s.Flows {
		m.flows[flowKey{f.Priority, f.Account}] += float64(f.Arrived) / rateTimeConstant.Seconds()
	}
}

// measureFullRate updates the completion rate of full replicas. It changes in proportion if replicas
// are added or lost.
func (m *modelState) measureFullRate(s Sums, dt time.Duration) {
	if m.places > 0 && s.Places > 0 {
		m.fullRate *= float64(s.Places) / float64(m.places)
	}
	if s.Places > 0 {
		m.places = s.Places
	}
	completed := m.completed * m.correction()
	if s.load() >= float64(s.Places) {
		m.fullRate += (completed - m.fullRate) * (1 - math.Exp(-dt.Seconds()/fullRateTimeConstant.Seconds()))
		return
	}
	m.fullRate = max(m.fullRate, completed)
}

// correction scales up moving averages that were started recently.
func (m *modelState) correction() float64 {
	return 1 / (1 - math.Exp(-max(m.observed, settleTime).Seconds()/rateTimeConstant.Seconds()))
}

// decideShort updates whether the model is short of places. It leaves that state only if the places
// can also take all requests that arrive, since the level itself keeps the load low.
func (m *modelState) decideShort(now time.Time, s Sums) {
	places := float64(s.Places)
	beyond := s.Places > 0 && s.load() > enterLoad*places
	if m.short {
		fits := m.arrived*m.correction() <= m.fullRate
		beyond = s.Places == 0 || s.load() < leaveLoad*places && fits
	}
	switch {
	case !beyond:
		m.beyondSince = time.Time{}
	case m.beyondSince.IsZero():
		m.beyondSince = now
	case now.Sub(m.beyondSince) >= settleTime:
		m.short = !m.short
		m.beyondSince = time.Time{}
	}
}

// level returns the level of a short model.
func (m *modelState) level(now time.Time, dt time.Duration, s Sums, weight func(string) float64) fleet.ModelLevel {
	pending := 0.0
	m.admitted = slices.DeleteFunc(m.admitted, func(a admission) bool { return now.Sub(a.at) > feedbackDelay })
	for _, a := range m.admitted {
		pending += a.extra
	}
	capacity := m.fullRate + (float64(s.Places)-s.load()-pending)/fillTime.Seconds()
	capacity = max(capacity, minCapacityShare*m.fullRate, minCapacity)
	demand := m.arrived * m.correction()
	m.admitted = append(m.admitted, admission{at: now, extra: (min(capacity, demand) - m.fullRate) * dt.Seconds()})
	level := fleet.ModelLevel{Service: s.Service, Model: s.Model}
	if backlog := s.load() - float64(s.Places); backlog > 0 {
		level.Wait = int64(1000 * backlog / max(m.fullRate, minCapacity))
	}
	flows := m.scaledFlows(demand, weight)
	level.Shares, level.Accounts = listShares(flows, Allocate(capacity, flows))
	return level
}

// scaledFlows returns the flows scaled to the given total rate, since hosts report them only once
// they know that the model is short. Until then all requests form one flow.
func (m *modelState) scaledFlows(total float64, weight func(string) float64) []Flow {
	sum := 0.0
	for _, rate := range m.flows {
		sum += rate
	}
	if sum == 0 {
		return []Flow{{Rate: total}}
	}
	flows := make([]Flow, 0, len(m.flows))
	for k, rate := range m.flows {
		f := Flow{Priority: k.priority, Account: k.account, Rate: rate * total / sum}
		if weight != nil {
			f.Weight = weight(k.account)
		}
		flows = append(flows, f)
	}
	slices.SortFunc(flows, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Account, b.Account))
	})
	return flows
}

// listShares converts the shares of flows, which are sorted by priority, to those of a message. The
// share of a priority is the largest one of its accounts.
func listShares(flows []Flow, shares []float64) (byPriority []fleet.PriorityShare, accounts []fleet.AccountShare) {
	for i, f := range flows {
		share := int(math.Round(shares[i] * fleet.FullShare))
		if n := len(byPriority); n == 0 || byPriority[n-1].Priority != f.Priority {
			byPriority = append(byPriority, fleet.PriorityShare{Priority: f.Priority, Share: share})
		} else {
			byPriority[n-1].Share = max(byPriority[n-1].Share, share)
		}
	}
	for i, f := range flows {
		at := slices.IndexFunc(byPriority, func(p fleet.PriorityShare) bool { return p.Priority == f.Priority })
		if share := int(math.Round(shares[i] * fleet.FullShare)); share < byPriority[at].Share {
			accounts = append(accounts, fleet.AccountShare{Priority: f.Priority, Account: f.Account, Share: share})
		}
	}
	return byPriority, accounts
}
