package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/slotshare"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// slotPair is a pair of hosts for a brittle endpoint, all of whose slots the second one owns.
type slotPair struct {
	*hostPair
	slots *SlotTransport
}

func newSlotPair(t *testing.T, handler http.HandlerFunc) *slotPair {
	t.Helper()
	p := newHostPair(t, handler)
	p.transport.Direct = upstream.NewTransport(time.Now, func(fleet.Endpoint) int { return 8 }, upstream.Dial)
	p.endpoint.Slots = 2
	for i := 0; fleet.HostRank("a", p.endpoint.ID) > fleet.HostRank("b", p.endpoint.ID); i++ {
		p.endpoint.ID = fleet.EndpointID(fmt.Sprint("e", i))
	}
	var elapsed atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(elapsed.Load())) }
	limit := func(string) (slotshare.Limit, bool) { return slotshare.Limit{MaxRejections: 10, Since: now()}, true }
	own, other := slotshare.NewTable(now, limit), slotshare.NewTable(now, limit)
	own.SetHosts("a", []string{"b"})
	other.SetHosts("b", []string{"a"})
	elapsed.Store(int64(time.Minute))
	rejected := func(_ http.Header, status int) bool { return status == http.StatusServiceUnavailable }
	p.server.Slots, p.server.Rejected = other, rejected
	return &slotPair{p, &SlotTransport{
		Sender:        p.transport,
		Slots:         own,
		MaxRejections: func(string) float64 { return 10 },
		Host:          func(name string) (Host, bool) { return Host{Name: name, Addr: name}, true },
		Open:          p.open,
		Rejected:      rejected,
		Count:         func(string) {},
	}}
}

func (p *slotPair) send(ctx context.Context) (*http.Response, string, error) {
	return p.slots.Send(ctx, p.endpoint, upstream.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}})
}

// Guards against requests beyond the slots of a brittle endpoint, and against slots that stay taken after a run.
func TestRequestsKeepWithinSlots(t *testing.T) {
	is := is.New(t)
	finish := make(chan struct{})
	p := newSlotPair(t, func(w http.ResponseWriter, r *http.Request) {
		<-finish
		_, _ = io.WriteString(w, "answer")
	})
	results := make(chan error, 2)
	for range 2 {
		go func() {
			resp, via, err := p.send(t.Context())
			if err == nil {
				is.Equal(via, "b")
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			results <- err
		}()
	}
	for p.server.Slots.Use().InUse < 2 {
		wait.For(t.Context(), time.Millisecond)
	}
	_, _, err := p.send(t.Context())
	is.True(errors.As(err, new(*NoSlotError)))
	is.True(errors.Is(err, upstream.ErrNotSent))
	close(finish)
	is.NoErr(<-results)
	is.NoErr(<-results)
	for p.server.Slots.Use().InUse > 0 {
		wait.For(t.Context(), time.Millisecond)
	}
}

// Guards against a fall whose reason only the host knows that has sent the request.
func TestOwnerTellsThatEndpointHasRejected(t *testing.T) {
	is := is.New(t)
	requests := atomic.Int64{}
	p := newSlotPair(t, func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 2 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		panic(http.ErrAbortHandler)
	})
	_, _, err := p.send(t.Context())
	is.True(err != nil && !errors.Is(err, slotshare.ErrRejecting))
	resp, _, err := p.send(t.Context())
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	resp.Body.Close()
	for p.server.Slots.Use().InUse > 0 {
		wait.For(t.Context(), time.Millisecond)
	}
	for { // until the pause after the rejection has ended
		if _, _, err = p.send(t.Context()); !errors.As(err, new(*NoSlotError)) {
			break
		}
	}
	is.True(errors.Is(err, slotshare.ErrRejecting))
}

// Guards against requests that are sent without a slot when the owner does not respond.
func TestNoSlotWithoutOwner(t *testing.T) {
	is := is.New(t)
	p := newSlotPair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request was sent") })
	p.slots.Open = func(context.Context, string, peer.Request) (Stream, error) { return nil, errors.New("no answer") }
	_, _, err := p.send(t.Context())
	is.True(errors.As(err, new(*NoSlotError)))
	is.Equal(p.slots.Slots.Owners(p.endpoint), nil) // this host has to wait before it takes over
	p.slots.Open = p.open
	p.slots.Probe(t.Context(), "b")
	is.Equal(len(p.slots.Slots.Owners(p.endpoint)), 1)
}
