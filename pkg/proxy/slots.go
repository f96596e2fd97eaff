package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/signals"
	"github.com/tealvane/tealvane/pkg/slotshare"
	"github.com/tealvane/tealvane/pkg/upstream"
)

const (
	// slotWait is how long a request waits for a slot at one host.
	slotWait = 300 * time.Millisecond
	// slotTimeout is how long another host may take to say whether it has a slot.
	slotTimeout = slotWait + 300*time.Millisecond
	// probeTimeout bounds a probe of a host that seems to be down.
	probeTimeout = 300 * time.Millisecond
)

// NoSlotError is returned if no host has a slot for a request to a brittle endpoint. It wraps upstream.ErrNotSent.
type NoSlotError struct {
	// RetryIn is when there may be one.
	RetryIn time.Duration
}

// Error implements error.
func (e *NoSlotError) Error() string { return "no slot of the brittle endpoint" }

// Unwrap implements errors.Wrapper.
func (e *NoSlotError) Unwrap() error { return upstream.ErrNotSent }

// Sender sends requests to endpoints. Transport and DirectOnly implement it.
type Sender interface {
	Do(ctx context.Context, e fleet.Endpoint, r upstream.Request) (*http.Response, error)
	Send(ctx context.Context, e fleet.Endpoint, r upstream.Request) (resp *http.Response, via string, err error)
}

// SlotTransport keeps the requests of all hosts to a brittle endpoint within its slots: it sends them in a slot
// of this host or by way of a host that has one. Requests to other endpoints are only counted. It is safe for
// concurrent use.
type SlotTransport struct {
	Sender
	Slots *slotshare.Table
	// MaxRejections returns how many requests a brittle endpoint of a service can reject in a second.
	MaxRejections func(service string) float64
	// Host returns another known host, and Open opens streams to it. If Open is nil, requests are not sent by way of
	// other hosts.
	Host func(name string) (Host, bool)
	Open Open
	// Rejected reports whether a response rejects a request for lack of room.
	Rejected func(header http.Header, status int) bool
	// OnSignals is called with the signals in the responses to other requests than those of clients.
	OnSignals func(e fleet.Endpoint, s signals.Response, sent time.Time)
	// Count counts a request by how it got a slot.
	Count func(result string)
}

// Observe applies the signals in a response to a request that Do has sent.
func (t *SlotTransport) Observe(e fleet.Endpoint, s signals.Response, sent time.Time) {
	t.OnSignals(e, s, sent)
}

// Send sends a request once; see Transport.Send. It returns a NoSlotError if the endpoint is brittle and
// no host has a slot.
func (t *SlotTransport) Send(ctx context.Context, e fleet.Endpoint, r upstream.Request) (resp *http.Response, via string, err error) {
	if !t.Slots.Limited(e.Service) {
		slot, _ := t.Slots.Acquire(ctx, e, slotshare.Claim{MaxRejections: -1})
		return t.sendIn(ctx, slot, e, r)
	}
	claim := slotshare.Claim{Urgency: r.Urgency, Wait: slotWait, MaxRejections: t.MaxRejections(e.Service)}
	for _, owner := range t.Slots.Owners(e) {
		if owner.Self {
			slot, refused := t.Slots.Acquire(ctx, e, claim)
			if refused == nil {
				t.Count("own")
				return t.sendIn(ctx, slot, e, r)
			}
			continue
		}
		resp, err := t.sendBy(ctx, owner.Name, e, claim, r)
		if !errors.As(err, new(*NoSlotError)) {
			return resp, owner.Name, err
		}
		if ctx.Err() != nil {
			return nil, "", errors.Mark(errors.Wrap(ctx.Err(), "request was canceled"), upstream.ErrNotSent)
		}
	}
	t.Count("none")
	return nil, "", &NoSlotError{RetryIn: t.Slots.NextAttempt(e)}
}

// sendBy sends a request in a slot of another host. It returns a NoSlotError if that host has none, or does not
// respond.
func (t *SlotTransport) sendBy(ctx context.Context, owner string, e fleet.Endpoint, c slotshare.Claim, r upstream.Request) (*http.Response, error) {
	if t.Open == nil {
		return nil, &NoSlotError{}
	}
	h, known := t.Host(owner)
	if !known {
		t.Slots.RecordDown(owner)
		return nil, &NoSlotError{}
	}
	t.Slots.RecordQuestion()
	s, _, err := reserve(ctx, t.Open, h, peer.ProxyRequest{
		Endpoint: e.ID,
		Bytes:    int64(len(r.Body)),
		Slot:     &peer.SlotClaim{Urgency: c.Urgency, WaitMillis: c.Wait.Milliseconds(), MaxRejections: c.MaxRejections},
	}, slotTimeout)
	var refused *refusedError
	switch {
	case err == nil:
		t.Slots.RecordGrant(h.Name, e.ID)
		t.Count("handed_on")
		return s.do(ctx, r)
	case ctx.Err() != nil:
		return nil, &NoSlotError{}
	case !errors.As(err, &refused), refused.Reason == ReasonStopping:
		t.Slots.RecordDown(h.Name)
	case refused.Reason == ReasonUnreachable && !refused.LinksLost:
		return nil, errors.Mark(errors.Mark(err, upstream.ErrNotSent), upstream.ErrUnreachable)
	default:
		t.Slots.RecordRefusal(h.Name, e.ID)
	}
	return nil, &NoSlotError{}
}

// sendIn sends a request in a slot of this host.
func (t *SlotTransport) sendIn(ctx context.Context, slot *slotshare.Slot, e fleet.Endpoint, r upstream.Request) (*http.Response, string, error) {
	resp, via, err := t.Sender.Send(ctx, e, r)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		slot.End(slotshare.NotSent)
	case err != nil:
		slot.End(slotshare.Ended)
		err = t.explain(e, err)
	case t.Rejected != nil && t.Rejected(resp.Header, resp.StatusCode):
		slot.End(slotshare.Rejected)
	default:
		counted := &countedBody{ReadCloser: resp.Body, done: func() { slot.End(slotshare.Ended) }}
		resp.Body = &explainedBody{ReadCloser: counted, explain: func(err error) error { return t.explain(e, err) }}
	}
	return resp, via, err
}

// explain marks the failure of a run if the endpoint has just rejected requests for lack of room.
func (t *SlotTransport) explain(e fleet.Endpoint, err error) error {
	if !t.Slots.Rejecting(e) {
		return err
	}
	return errors.Mark(err, slotshare.ErrRejecting)
}

// explainedBody is a body whose read errors are passed through explain.
type explainedBody struct {
	io.ReadCloser
	explain func(error) error
}

// Read implements io.Reader.
func (b *explainedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = b.explain(err)
	}
	return n, err
}

// Probe finds out whether a host that seems to be down responds.
func (t *SlotTransport) Probe(ctx context.Context, name string) {
	host, known := t.Host(name)
	if !known || t.Open == nil {
		t.Slots.RecordDown(name)
		return
	}
	s, _, err := reserve(ctx, t.Open, host, peer.ProxyRequest{}, probeTimeout)
	if err == nil {
		s.abort()
	}
	var refused *refusedError
	if err != nil && (!errors.As(err, &refused) || refused.Reason == ReasonStopping) {
		t.Slots.RecordDown(name)
		return
	}
	t.Slots.RecordUp(name)
}

// Observe does nothing.
func (DirectOnly) Observe(fleet.Endpoint, signals.Response, time.Time) {}
