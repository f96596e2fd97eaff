package site

import (
	"net"
	"net/http"
	"slices"
	"time"
)

// listenRetryDelay is the delay before an endpoint that returns tries again to listen at its address.
const listenRetryDelay = 20 * time.Millisecond

// brittleState is whether an endpoint is brittle, and what follows.
type brittleState struct {
	// header is the value of the Server-Brittle header, optional. limit is the number of rejections in a second
	// beyond which the endpoint falls over; -1 means never.
	header string
	limit  float64
	// queue is the number of requests that wait, or -1 for that of the configuration.
	queue int
	// rejections are the times of the rejections in the last second.
	rejections []time.Time
	// down is set while the endpoint is away after a fall.
	down bool
	// falls counts the falls and life the starts.
	falls, life int
	// waiting holds a channel for each request that waits for a slot. It is closed when one is free or the
	// endpoint falls over.
	waiting []chan struct{}
}

// SetBrittle makes all responses state that the endpoint is brittle, with an optional value of the header. If it
// rejects more than limit requests in a second, it falls over; a negative limit means never. queue is the number
// of requests that wait from now on.
func (e *Endpoint) SetBrittle(header string, limit float64, queue int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.brittle.header, e.brittle.limit, e.brittle.queue = header, limit, queue
	e.brittle.rejections = nil
}

// Falls returns how often the endpoint has fallen over.
func (e *Endpoint) Falls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.brittle.falls
}

// enter waits until a slot is free if the queue has room. leave lets the next request enter; it is nil if the
// client has left or the endpoint has fallen over.
func (e *Endpoint) enter(r *http.Request) (life int, leave func()) {
	e.mu.Lock()
	life = e.brittle.life
	queue := e.config.Queue
	if e.brittle.header != "" && e.brittle.queue >= 0 {
		queue = e.brittle.queue
	}
	if e.running < e.config.Slots || len(e.brittle.waiting) >= queue {
		e.mu.Unlock()
		return life, e.next
	}
	turn := make(chan struct{})
	e.brittle.waiting = append(e.brittle.waiting, turn)
	e.mu.Unlock()
	select {
	case <-turn:
	case <-r.Context().Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.brittle.waiting, turn); i >= 0 {
		e.brittle.waiting = slices.Delete(e.brittle.waiting, i, i+1)
		return life, nil
	}
	if life != e.brittle.life {
		return life, nil
	}
	return life, e.next
}

// next lets the next request enter after one has ended.
func (e *Endpoint) next() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.brittle.waiting) > 0 && e.running < e.config.Slots {
		close(e.brittle.waiting[0])
		e.brittle.waiting = e.brittle.waiting[1:]
	}
}

// recordRejection counts a rejection. e.mu must be held.
func (e *Endpoint) recordRejection(now time.Time) {
	b := &e.brittle
	b.rejections = append(slices.DeleteFunc(b.rejections, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	if b.header == "" || b.limit < 0 || float64(len(b.rejections)) <= b.limit {
		return
	}
	e.fall()
}

// Fall makes the endpoint fall over. It returns empty after its FallTime.
func (e *Endpoint) Fall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fall()
}

// fall makes the endpoint fall over. e.mu must be held.
func (e *Endpoint) fall() {
	b := &e.brittle
	if b.down {
		return
	}
	b.down = true
	b.falls++
	b.life++
	b.rejections = nil
	for _, w := range b.waiting {
		close(w)
	}
	b.waiting = nil
	e.running, e.sequence, e.fence, e.loading = 0, 0, 0, ""
	e.unloading = ""
	clear(e.loaded)
	clear(e.uses)
	clear(e.inTransit)
	if e.config.StartMillis != 0 {
		e.config.StartMillis++
	}
	fallen := e.server
	time.AfterFunc(0, func() { _ = fallen.Close() })
	time.AfterFunc(e.config.FallTime, e.returnEmpty)
}

// returnEmpty starts the endpoint again after a fall, under its name and address and without models.
func (e *Endpoint) returnEmpty() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	l, err := net.Listen("tcp", e.Addr)
	if err != nil {
		time.AfterFunc(listenRetryDelay, e.returnEmpty) // An outgoing connection may use the port.
		return
	}
	e.brittle.down = false
	e.history = nil
	e.server = e.newServer()
	server := e.server
	go func() { _ = server.Serve(l) }()
	e.publishEntry()
}
