package serve

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// versionRetryAfter is when the client of a stream may return whose software version is not known now: the hosts
// that know it may answer then.
const versionRetryAfter = 500 * time.Millisecond

// ErrVersionUnknown means that nobody who can be asked knows which software version began a stream.
var ErrVersionUnknown = errors.New("the software version that began the stream is not known")

// StreamVersions knows which software versions began streams. The software versions of one service write streams
// that do not fit together. Implementations are safe for concurrent use.
type StreamVersions interface {
	// Find returns what a request that resumes a stream requires of its endpoint. It may ask other hosts. The
	// error is marked with ErrVersionUnknown.
	Find(ctx context.Context, r *Request) (StreamVersion, error)
	// RecordStart records that the first event which the client got of a request came from an endpoint of a
	// software version. It does not block.
	RecordStart(r *Request, o fleet.StreamOrigin)
}

// StreamVersion is what the rest of a stream requires.
type StreamVersion struct {
	// Service is the service that began the stream.
	Service  string
	Required fleet.VersionRequirement
	// Assumed is the only version that the service is known to have had, if Required is not set. An endpoint of
	// another one that joins while the request waits must not run it.
	Assumed fleet.VersionRequirement
	// Source says where the knowledge comes from: this host, the name of another one, or all endpoints if they
	// have one version. Age is the time since the source learned of it.
	Source string
	Age    time.Duration
}

// resumesStream reports whether the client takes up a stream of which it has events.
func (r *Request) resumesStream() bool {
	return r.Route.Kind == fleet.Stream && r.Route.Resumable && r.LastEvent != ""
}

// requireVersion finds the software version that a resumed stream requires, and reports whether the request may
// run. It refuses the request if the version is not known.
func (x *exchange) requireVersion(ctx context.Context) bool {
	if x.server.Versions == nil || !x.request.resumesStream() {
		return true
	}
	v, err := x.server.Versions.Find(ctx, x.request)
	if err == nil && v.Service != x.request.Service && !x.request.Route.Serves(v.Service) {
		err = errors.Wrapf(ErrVersionUnknown, "the stream began at service %s, which the route no longer serves", v.Service)
	}
	if err != nil {
		x.result.Note = err.Error()
		x.finish(ctx, Refusal{Cause: CauseVersionUnknown, NotRun: true, RetryAfter: versionRetryAfter})
		return false
	}
	x.request.Service = v.Service
	x.result.StreamVersion = v
	x.setVersion(v.Required)
	return true
}

// recordEvent records that an event of an endpoint was sent to the client. The first one decides at which
// software version the stream may go on.
func (x *exchange) recordEvent(e fleet.Endpoint) {
	if x.eventSent {
		return
	}
	x.eventSent = true
	if !x.requiredVersion().Set {
		x.setVersion(fleet.RequireVersion(e.Version))
	}
	if x.server.Versions != nil {
		x.server.Versions.RecordStart(x.request, fleet.StreamOrigin{Service: x.request.Service, Version: x.requiredVersion().Version})
	}
}

func (x *exchange) setVersion(v fleet.VersionRequirement) { x.version.Store(&v) }

func (x *exchange) requiredVersion() fleet.VersionRequirement {
	if v := x.version.Load(); v != nil {
		return *v
	}
	return fleet.VersionRequirement{}
}

// joinedSince reports whether an endpoint has another version than the only one that there was when the version of the
// stream was decided. The request requires that one from then on.
func (x *exchange) joinedSince(e fleet.Endpoint) bool {
	assumed := x.result.StreamVersion.Assumed
	if x.requiredVersion().Set || assumed.Allows(e) {
		return false
	}
	x.setVersion(assumed)
	return true
}

// need returns what an endpoint must have for the rest of the request.
func (x *exchange) need() Need {
	n := x.request.Need()
	n.Version = x.requiredVersion()
	return n
}
