package serve_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
	"github.com/tealvane/tealvane/pkg/signals"
)

// simEndpoint is an endpoint that falls over if it has to reject too many requests in a second.
type simEndpoint struct {
	fleet.Endpoint
	sim *brittleSim

	mu         sync.Mutex
	running    int
	waiting    []chan bool
	rejections []time.Time
	downUntil  time.Time
	falls      int
	// life is closed when the endpoint falls over.
	life chan struct{}
}

// state returns the number of requests that the endpoint lets wait, and whether it is brittle.
func (e *simEndpoint) state(now time.Time) (queue int, brittle bool) {
	since := now.Sub(e.sim.start)
	switch {
	case !e.sim.brittle || since < brittleFrom:
		return simQueue, false
	case since < brittleFrom+simSettle:
		return simQueue, true
	}
	return simShortQueue, true
}

type arrival int

const (
	arrivalRuns arrival = iota
	arrivalRejected
	arrivalRefused
	arrivalBroken
)

// arrive waits until a request may run.
func (e *simEndpoint) arrive(ctx context.Context) (arrival, chan struct{}) {
	e.mu.Lock()
	now := time.Now()
	if now.Before(e.downUntil) {
		e.mu.Unlock()
		return arrivalRefused, nil
	}
	life := e.life
	queue, brittle := e.state(now)
	switch {
	case e.running < simSlots:
		e.running++
		e.mu.Unlock()
		return arrivalRuns, life
	case len(e.waiting) >= queue:
		e.reject(now, brittle)
		e.mu.Unlock()
		return arrivalRejected, nil
	}
	turn := make(chan bool, 1)
	e.waiting = append(e.waiting, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return arrivalRuns, life
	case <-life:
		return arrivalBroken, nil
	case <-ctx.Done():
		e.mu.Lock()
		defer e.mu.Unlock()
		if i := slices.Index(e.waiting, turn); i >= 0 {
			e.waiting = slices.Delete(e.waiting, i, i+1)
		} else if e.life == life {
			e.next()
		}
		return arrivalBroken, nil
	}
}

// reject counts a rejection. It must be called with mu held.
func (e *simEndpoint) reject(now time.Time, brittle bool) {
	e.sim.rejected.Add(1)
	e.rejections = append(slices.DeleteFunc(e.rejections, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	settled := now.Sub(e.sim.start) >= brittleFrom+simSettle
	if !brittle || !settled || len(e.rejections) <= simRejections {
		return
	}
	e.falls++
	e.downUntil = now.Add(simDown)
	e.running, e.waiting, e.rejections = 0, nil, nil
	close(e.life)
	e.life = make(chan struct{})
}

// next lets the next request run. It must be called with mu held.
func (e *simEndpoint) next() {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	e.waiting[0] <- true
	e.waiting = e.waiting[1:]
}

// response returns a response, which states the load.
func (e *simEndpoint) response(class serve.ResponseClass, status int, body string) *serve.Response {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, brittle := e.state(time.Now())
	said := signals.Response{Brittle: signals.Brittleness{Stated: brittle, MaxRejections: simRejections}}
	load := &fleet.Load{Running: e.running, Waiting: len(e.waiting), Slots: simSlots, WorkTimePercent: 100}
	return &serve.Response{Class: class, Status: status, Load: load, Signals: said, Body: io.NopCloser(strings.NewReader(body))}
}

// end ends a run.
func (e *simEndpoint) end(life chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == life {
		e.next()
	}
}
