package proxy

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/links"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/upstream"
)

const (
	// connectPatience is the time to connect to an endpoint after which another host is asked. The
	// connection remains pending meanwhile.
	connectPatience = 300 * time.Millisecond
	// maxHelpers is the number of hosts that are asked for one attempt.
	maxHelpers = 3
	// untilDialTimeout leaves it to the dialer how long connecting may take.
	untilDialTimeout = time.Minute
)

// ErrNoPath is returned if this host cannot connect to the endpoint and no other host that has links to
// endpoints is known. It wraps upstream.ErrNotSent.
var ErrNoPath = errors.Wrap(upstream.ErrNotSent, "no host with links to endpoints is known")

// Transport sends requests to endpoints over this host's own connections or, while these fail, by way of
// another host. It is safe for concurrent use.
type Transport struct {
	Direct  *upstream.Transport
	Links   *links.Table
	Helpers *Helpers
	Open    Open
	Now     func() time.Time
	// OnSlow is called when a connection to an endpoint takes long.
	OnSlow func(id fleet.EndpointID)
}

// Send sends a request once and returns the head of the response and the name of the host by way of which
// it was sent, or "" if it was sent directly. An error marked upstream.ErrNotSent means that nothing was
// sent; one marked upstream.ErrUnreachable also that the endpoint, and not this host's links, is at fault
// as far as is known.
func (t *Transport) Send(ctx context.Context, e fleet.Endpoint, r upstream.Request) (resp *http.Response, via string, err error) {
	var pending *upstream.Pending
	var directErr error
	if t.Links.State(e.ID) == links.Up {
		var reservation *upstream.Reservation
		reservation, pending, directErr = t.Direct.ReserveWithin(ctx, e, connectPatience)
		if reservation != nil {
			resp, err = reservation.Do(ctx, r)
			return resp, "", err
		}
		if directErr != nil && !errors.Is(directErr, upstream.ErrUnreachable) {
			return nil, "", directErr
		}
	}
	if pending != nil {
		defer pending.Abandon()
		t.OnSlow(e.ID)
	}
	s, host, err := t.reserve(ctx, e, len(r.Body))
	if err == nil {
		return t.sendVia(ctx, s, host, r)
	}
	if ctx.Err() != nil || confirmsUnreachable(err) {
		return nil, "", err
	}
	if directErr == nil && (pending != nil || !t.Links.FailedRecently(t.Now(), e.ID)) {
		patience := untilDialTimeout
		if pending == nil && t.Links.Lost() {
			patience = connectPatience
		}
		resp, directErr = t.sendDirect(ctx, e, pending, r, patience)
		if !errors.Is(directErr, upstream.ErrUnreachable) {
			return resp, "", directErr
		}
	}
	return nil, "", t.unreachable(err, directErr)
}

// confirmsUnreachable reports whether another host with links to endpoints was refused a connection.
func confirmsUnreachable(err error) bool {
	var refused *refusedError
	return errors.As(err, &refused) && refused.Refused
}

// unreachable returns the error of a request that neither this host nor others could send. helperErr is why
// others could not, directErr why this host could not, or nil if it did not try again.
func (t *Transport) unreachable(helperErr, directErr error) error {
	switch {
	case errors.Is(helperErr, errNoHelper) && t.Links.Lost():
		return errors.Mark(helperErr, ErrNoPath)
	case errors.Is(helperErr, errNoHelper):
		return errors.Mark(errors.WithSecondaryError(helperErr, directErr), upstream.ErrUnreachable)
	case errors.Is(helperErr, upstream.ErrUnreachable):
		return errors.WithSecondaryError(helperErr, directErr)
	default: // The others were busy or do not use the endpoint, which says nothing about it.
		return helperErr
	}
}

// sendDirect sends a request over a pending connection, or over another one if pending is nil. patience
// limits the time to connect.
func (t *Transport) sendDirect(ctx context.Context, e fleet.Endpoint, pending *upstream.Pending, r upstream.Request, patience time.Duration) (*http.Response, error) {
	var reservation *upstream.Reservation
	var err error
	if pending != nil {
		reservation, err = pending.Wait(ctx)
	} else if reservation, pending, err = t.Direct.ReserveWithin(ctx, e, patience); pending != nil {
		pending.Abandon()
		t.OnSlow(e.ID)
		return nil, errConnectTimeout
	}
	if err != nil {
		return nil, err
	}
	return reservation.Do(ctx, r)
}

// errConnectTimeout is returned if connecting takes longer than a host waits that has lost its links.
var errConnectTimeout = errors.Wrap(upstream.ErrUnreachable, "timeout")

// errNoHelper means that no host could be asked, or only hosts that have lost their own links.
var errNoHelper = errors.Wrap(upstream.ErrNotSent, "no other host can connect to endpoints")

// reserve asks other hosts in turn to reserve a connection to an endpoint. All errors are marked
// upstream.ErrNotSent. An error is marked upstream.ErrUnreachable if a host with links to endpoints cannot
// connect to this one.
func (t *Transport) reserve(ctx context.Context, e fleet.Endpoint, bodyBytes int) (*session, Host, error) {
	tried := map[string]bool{}
	result := errNoHelper
	for len(tried) < maxHelpers && ctx.Err() == nil {
		host, ok := t.Helpers.Pick(t.Now(), tried)
		if !ok {
			break
		}
		tried[host.Name] = true
		s, a, err := reserve(ctx, t.Open, host, peer.ProxyRequest{Endpoint: e.ID, Bytes: int64(bodyBytes)}, readyTimeout)
		if err == nil {
			t.Helpers.RecordHelp(t.Now(), host, a.Load)
			return s, host, nil
		}
		t.Helpers.Done(host)
		var refused *refusedError
		switch {
		case ctx.Err() != nil:
			return nil, Host{}, errors.Mark(errors.Wrap(ctx.Err(), "request was canceled"), upstream.ErrNotSent)
		case !errors.As(err, &refused), refused.LinksLost, refused.Reason == ReasonStopping, refused.Reason == ReasonUnknownHost:
			t.Helpers.RecordUseless(t.Now(), host)
		case refused.Reason == ReasonUnreachable:
			t.Helpers.RecordHelp(t.Now(), host, a.Load)
			return nil, Host{}, errors.Mark(errors.Mark(err, upstream.ErrNotSent), upstream.ErrUnreachable)
		case refused.Reason == ReasonBusy:
			t.Helpers.RecordBusy(t.Now(), host, a.Load)
			result = errors.Mark(err, upstream.ErrNotSent)
		default:
			result = errors.Mark(err, upstream.ErrNotSent)
		}
	}
	return nil, Host{}, result
}

// sendVia sends a request by way of a host that has reserved a connection.
func (t *Transport) sendVia(ctx context.Context, s *session, host Host, r upstream.Request) (*http.Response, string, error) {
	resp, err := s.do(ctx, r)
	if err != nil {
		t.Helpers.Done(host)
		return nil, host.Name, errors.Wrapf(err, "by way of host %s", host.Name)
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, done: func() { t.Helpers.Done(host) }}
	return resp, host.Name, nil
}

// Do sends a request over this host's own connections; see upstream.Transport.Do.
func (t *Transport) Do(ctx context.Context, e fleet.Endpoint, r upstream.Request) (*http.Response, error) {
	return t.Direct.Do(ctx, e, r)
}

// DirectOnly sends all requests over this host's own connections.
type DirectOnly struct{ *upstream.Transport }

// Send sends a request once and returns the head of the response. The name of a host is always "".
func (d DirectOnly) Send(ctx context.Context, e fleet.Endpoint, r upstream.Request) (*http.Response, string, error) {
	resp, err := d.Do(ctx, e, r)
	return resp, "", err
}

// countedBody calls done once when it is closed.
type countedBody struct {
	io.ReadCloser
	once sync.Once
	done func()
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.once.Do(b.done)
	return b.ReadCloser.Close()
}
