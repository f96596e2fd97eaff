// Package serve carries one typed request from admission over the choice of an
// endpoint to the end of its answer. It knows no wire format: a door decodes
// into Request and encodes from Sink, a Backend speaks to endpoints.
package serve

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/signals"
)

// Request is one request of a client, sent once.
type Request struct {
	// ID is the client's ID of this attempt.
	ID    string
	Route fleet.Route
	// Service was chosen among the targets of the route.
	Service string
	// Arrived is when the request was read.
	Arrived time.Time
	// Deadline is when the client or the route gives up.
	Deadline time.Time
	// ClientDeadline is when the client gives up; endpoints are told of it.
	ClientDeadline time.Time
	// FirstBy is when a client that has got no part of the answer leaves, which may
	// be long before its deadline; zero if only the deadline counts.
	FirstBy time.Time
	// Account is the client account, empty where callers need none; Allowance is what it may
	// ask, and Cost what the request counts of it.
	Account   string
	Allowance fleet.Allowance
	Cost      float64
	// Model is empty for plain services; Adapter is empty for the model itself.
	Model   string
	Adapter string
	// Fingerprint is the same each time that the request comes.
	Fingerprint fleet.Fingerprint
	// Affinity names what the request shares with others, empty for nothing: an endpoint
	// that has read it for another request begins sooner.
	Affinity string
	// StartOnly marks that Deadline bounds the wait for the first part of the
	// answer only; what has begun in time may end later.
	StartOnly bool
	// LastEvent is the ID of the last event that the client has, empty at the start.
	LastEvent string
	// Wire is what the door and the backend share; this package does not look at it.
	Wire any
}

// Need is what an endpoint must hold for the request.
func (r *Request) Need() Need {
	return Need{Service: r.Service, Model: r.Model, Adapter: r.Adapter}
}

// BeginBy is when the answer has to begin at the latest: after it the client has
// gone.
func (r *Request) BeginBy() time.Time {
	if r.FirstBy.IsZero() || r.Deadline.Before(r.FirstBy) {
		return r.Deadline
	}
	return r.FirstBy
}

// Aim is when the answer has to begin to be in time.
func (r *Request) Aim() time.Time { return r.Arrived.Add(r.Route.Objective) }

// Verdict tells what an answer of an endpoint means for its request.
type Verdict int

// The verdicts.
const (
	// Answered requests have run, with success or failure.
	Answered Verdict = iota
	// Full endpoints have not run the request and are short of places.
	Full
	// NotHeld endpoints have not run the request because they do not hold the
	// model or adapter.
	NotHeld
	// Elsewhere means that another incarnation has the address; nothing ran.
	Elsewhere
)

// Answer is an endpoint's answer; its body must be closed.
type Answer struct {
	Verdict Verdict
	Status  int
	// Load is the endpoint's load if the answer states it.
	Load *fleet.Load
	// Signals are what the endpoint says of itself beside its answer.
	Signals signals.Answer
	// Body ends with io.EOF after the whole body and with any other error before.
	Body io.ReadCloser
	// Head is what door and backend share of the answer.
	Head any
}

// Failed tells whether the endpoint ran the request and could not answer it.
func (a *Answer) Failed() bool { return a.Status >= 500 }

var (
	// ErrNoConfig means that the host knows no configuration yet.
	ErrNoConfig = errors.New("no configuration is known yet")
	// ErrNoRoute means that the configuration in force has no route for a request.
	ErrNoRoute = errors.New("no route")
	// ErrNoAccount means that the configuration in force has no account for a request's key.
	ErrNoAccount = errors.New("no account has this key")
)

// Admission is what the configuration in force says of a request.
type Admission struct {
	// Route has the priority of the account if that states one.
	Route fleet.Route
	// Service is chosen among the targets of the route.
	Service string
	// Account has no name where callers need no key.
	Account fleet.Account
}

// ErrNotSent marks errors of a Backend after which nothing has been sent.
var ErrNotSent = errors.New("request was not sent")

// ErrUnreachable marks errors of a Backend that could not connect to the endpoint;
// they are marked ErrNotSent too.
var ErrUnreachable = errors.New("endpoint is not reachable")

// UnusableError is an answer that cannot be passed on. The request may have run.
type UnusableError struct {
	Signals signals.Answer
	Cause   error
}

// Error implements error.
func (e *UnusableError) Error() string { return e.Cause.Error() }

// Unwrap implements errors.Wrapper.
func (e *UnusableError) Unwrap() error { return e.Cause }

// Send says how a request goes to an endpoint.
type Send struct {
	Endpoint fleet.Endpoint
	// Remaining is the time that the client still waits.
	Remaining time.Duration
	// LastEvent is the ID of the last event that the client has.
	LastEvent string
	// Urgency is how soon the endpoint takes the request up among those that wait there,
	// 0 first.
	Urgency int
}

// Backend sends requests to endpoints.
type Backend interface {
	// Send returns the head of the answer. An error marked ErrNotSent means that
	// nothing was sent, a *Refusal that nothing may be sent at all; after any other
	// the request may have run. Cancelling ctx makes the endpoint stop.
	Send(ctx context.Context, r *Request, s Send) (*Answer, error)
	// Run asks an endpoint what has become of a request that was sent to it.
	Run(ctx context.Context, r *Request, e fleet.Endpoint) (Run, error)
}

// Run is what an endpoint says of a request, as of a few hundred milliseconds ago.
type Run struct {
	// Held tells whether it waits or runs there, as far as the endpoint tells.
	Held bool
	// Begun tells whether it has made a part of the answer.
	Begun bool
}

// Cause is why a request was refused or failed.
type Cause string

// The causes.
const (
	CauseNoConfig   Cause = "no_config"
	CauseNoEndpoint Cause = "no_endpoint"
	CauseNoRoom     Cause = "no_room"
	CauseNotLoaded  Cause = "not_loaded"
	CauseNoModel    Cause = "no_such_model"
	// CauseLimited is that the endpoints which hold the model state request rates that are
	// used up, or have asked for a pause.
	CauseLimited    Cause = "endpoint_limit"
	CauseDeadline   Cause = "deadline"
	CauseClientGone Cause = "client_gone"
	CauseBroken     Cause = "endpoint_failed"
	CauseBudget     Cause = "retry_budget"
	CauseStopping   Cause = "stopping"
	// CauseCrashes is that endpoints have ended under the request each time.
	CauseCrashes Cause = "crashes_endpoints"
	// CauseAllowance is that the account has used up what it may ask.
	CauseAllowance Cause = "allowance"
	// CauseOnTrial is that endpoints have ended under the request, and another copy of it is
	// tried first.
	CauseOnTrial Cause = "on_trial"
)

// Refusal is a final answer of this host itself.
type Refusal struct {
	Cause Cause
	// NotRun promises that the request has not run and never will.
	NotRun bool
	// RetryAfter is when the client may come back; zero states none.
	RetryAfter time.Duration
	// Detail is what the door says beyond the cause, nil for nothing.
	Detail error
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Cause) }

// Sink takes the answer to a request.
type Sink interface {
	// Begin sends the head of an endpoint's answer.
	Begin(a *Answer)
	// Write sends bytes of the body at once.
	Write(p []byte) error
	// Abort ends the connection so that the answer does not look complete.
	Abort()
	// Refuse sends a final answer of this host. Nothing was begun before.
	Refuse(r Refusal)
}
