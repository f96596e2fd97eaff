// Package serve runs one typed request from admission through the choice of an endpoint to the
// end of its response. It is independent of wire formats: a protocol handler decodes requests
// into Request and encodes responses from Sink, and a Backend talks to endpoints.
package serve

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/signals"
	"github.com/tealvane/tealvane/pkg/wfq"
)

// Request is one attempt of a client.
type Request struct {
	// ID is the client's ID of this attempt.
	ID    string
	Route fleet.Route
	// Service is one of the targets of the route.
	Service string
	// Arrived is when the request was read.
	Arrived time.Time
	// Deadline is the earlier of the client's and the route's deadline.
	Deadline time.Time
	// ClientDeadline is the client's deadline, which is sent to endpoints.
	ClientDeadline time.Time
	// FirstByteDeadline is when the client disconnects if it has received no part of the
	// response. It is zero if only the deadline applies.
	FirstByteDeadline time.Time
	// Account is the client account, or empty if callers need none. Allowance is its rate
	// limit, and Cost the charge of the request.
	Account   string
	Allowance fleet.Allowance
	Cost      float64
	// Weight is the weight of the account among others under contention; 0 means 1.
	Weight float64
	// Model is empty for services without models. Adapter is empty for the base model.
	Model   string
	Adapter string
	// Fingerprint is the same for all repeats of the request.
	Fingerprint fleet.Fingerprint
	// Prompt identifies the parts of the prompt that other requests may share. Requests without parts are
	// told apart by Fingerprint only.
	Prompt fleet.Prompt
	// Affinity identifies a prompt prefix shared with other requests, or is empty. An endpoint
	// that has processed the prefix responds sooner.
	Affinity string
	// PromptTokens and OutputTokens are the numbers of tokens of the prompt and, at most, of the
	// response. SharedTokens are the tokens of the prompt prefix that is shared with other requests.
	// They are 0 if unknown.
	PromptTokens, OutputTokens, SharedTokens int
	// DeadlineIsStartOnly means that Deadline applies to the first byte of the response only.
	DeadlineIsStartOnly bool
	// LastEvent is the ID of the last event that the client received before this attempt, or
	// empty.
	LastEvent string
	// Resumes is the ID of the client attempt that brought the first event of the stream that this one
	// resumes, or empty if the client does not say.
	Resumes string
	// Wire is shared by the protocol handler and the backend. This package does not use it.
	Wire any
	// returned reports that this host has refused the request before and that it returned no
	// earlier than told. It is set only for services that are scheduled for contention.
	returned bool
	// limited reports that the requests for the model are limited to a share, in units of
	// 1/fleet.FullShare.
	limited bool
	share   int

	// charge is what the request's current slot was charged with, or nil. It is guarded by the lock
	// of the dispatcher's shard.
	charge *wfq.Item[*waiter]
	// work is the work counted for the request's current slot. It is guarded as charge is.
	work float64
}

// Returned reports whether this host has refused the request before and it returned no earlier than
// told. It is known only for services that are scheduled for contention.
func (r *Request) Returned() bool { return r.returned }

// Need returns what an endpoint must have loaded for the request.
func (r *Request) Need() Need {
	return Need{Service: r.Service, Model: r.Model, Adapter: r.Adapter}
}

// StartDeadline returns the time at which the client disconnects if the response has not begun.
func (r *Request) StartDeadline() time.Time {
	if r.FirstByteDeadline.IsZero() || r.Deadline.Before(r.FirstByteDeadline) {
		return r.Deadline
	}
	return r.FirstByteDeadline
}

// ObjectiveTime returns the time by which the response must begin to meet the objective.
func (r *Request) ObjectiveTime() time.Time { return r.Arrived.Add(r.Route.Objective) }

// ResponseClass classifies the response of an endpoint.
type ResponseClass int

const (
	// Completed means that the request has run, successfully or not.
	Completed ResponseClass = iota
	// Overloaded means that the endpoint did not run the request for lack of slots.
	Overloaded
	// NotLoaded means that the endpoint did not run the request because it does not have the
	// model or adapter loaded.
	NotLoaded
	// WrongEndpoint means that another endpoint has the address. The request did not run.
	WrongEndpoint
)

// Framing is how the end of a response's body is marked. The zero value stands for bodies whose format
// marks its own end.
type Framing string

const (
	FramingLength Framing = "length"
	FramingChunks Framing = "chunks"
	// FramingConnection means that the body ends with its connection, whether or not it is complete.
	FramingConnection Framing = "connection"
)

// Response is the response of an endpoint. Its body must be closed.
type Response struct {
	Class   ResponseClass
	Status  int
	Framing Framing
	// Load is the endpoint's load, or nil if the response does not report it.
	Load *fleet.Load
	// Signals holds the rate limit, pause and shutdown notice sent with the response.
	Signals signals.Response
	// Body returns io.EOF only at the end of the complete body, or with FramingConnection at the end of the
	// connection.
	Body io.ReadCloser
	// Events reports whether the body is a series of events.
	Events bool
	// Via is the name of the host by way of which the request was sent, or "".
	Via string
	// Head is shared by the protocol handler and the backend.
	Head any
}

// NotReadyError is returned while a host that has just started cannot serve yet. It is an ErrNoConfig.
type NotReadyError struct {
	// RetryAfter is when the client should send the request again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NotReadyError) Error() string { return "the host is starting" }

// Unwrap makes the error an ErrNoConfig.
func (e *NotReadyError) Unwrap() error { return ErrNoConfig }

// Failed reports whether the endpoint ran the request and returned a server error.
func (r *Response) Failed() bool { return r.Status >= 500 }

// continuesStream reports whether the response may follow the events that earlier runs have sent.
func (r *Response) continuesStream() bool { return r.Status < 300 }

var (
	// ErrNoConfig is returned while the host has not received a configuration.
	ErrNoConfig = errors.New("no configuration is known yet")
	// ErrNoRoute is returned if the configuration in force has no route for a request.
	ErrNoRoute = errors.New("no route")
	// ErrNoAccount is returned if the configuration in force has no account for a request's
	// key.
	ErrNoAccount = errors.New("no account has this key")
)

// Admission is the part of the configuration in force that applies to a request.
type Admission struct {
	// Route has the priority of the account if the account sets one.
	Route fleet.Route
	// Service is one of the targets of the route.
	Service string
	// Account has an empty name if callers need no key.
	Account fleet.Account
}

// ErrNotSent marks errors of a Backend that occurred before any byte was sent.
var ErrNotSent = errors.New("request was not sent")

// ErrUnreachable marks errors of a Backend that could not connect to the endpoint. They are
// also marked ErrNotSent.
var ErrUnreachable = errors.New("endpoint is not reachable")

// ErrNoPath marks errors of a Backend that cannot connect to the endpoint because this host, and all
// others that it could ask, have lost their links to endpoints. They are also marked ErrNotSent.
var ErrNoPath = errors.New("no host has links to endpoints")

// NoSlotError is returned by a Backend that has no slot for a request to a brittle endpoint. It is marked ErrNotSent.
type NoSlotError struct {
	// RetryIn is when there may be one.
	RetryIn time.Duration
}

// Error implements error.
func (e *NoSlotError) Error() string { return "no slot of the brittle endpoint" }

// Unwrap implements errors.Wrapper.
func (e *NoSlotError) Unwrap() error { return ErrNotSent }

// UnusableError is returned for a response that cannot be forwarded. The request may have run.
type UnusableError struct {
	Signals signals.Response
	Cause   error
}

// Error implements error.
func (e *UnusableError) Error() string { return e.Cause.Error() }

// Unwrap implements errors.Wrapper.
func (e *UnusableError) Unwrap() error { return e.Cause }

// Send holds the parameters of sending a request to an endpoint.
type Send struct {
	Endpoint fleet.Endpoint
	// Deadline is the client's deadline.
	Deadline time.Time
	// LastEvent is the ID of the last event that the client received.
	LastEvent string
	// Urgency is the priority of the request among those that wait at the endpoint, where 0 is
	// the highest.
	Urgency int
}

// Backend sends requests to endpoints.
type Backend interface {
	// Send returns the head of the response. An error marked ErrNotSent means that nothing was
	// sent, and a *Refusal that nothing may be sent at all. After any other error the request
	// may have run. Canceling ctx makes the endpoint stop.
	Send(ctx context.Context, r *Request, s Send) (*Response, error)
	// RunStatus queries an endpoint for the state of a request that was sent to it.
	RunStatus(ctx context.Context, r *Request, e fleet.Endpoint) (RunStatus, error)
}

// RunStatus is the state of a request as reported by an endpoint. It may lag behind by a few
// hundred milliseconds.
type RunStatus struct {
	// Active reports whether the request waits or runs at the endpoint.
	Active bool
	// Started reports whether the endpoint has produced a part of the response.
	Started bool
}

// Cause is the reason why a request was refused or failed.
type Cause string

const (
	CauseNoConfig   Cause = "no_config"
	CauseNoEndpoint Cause = "no_endpoint"
	CauseNoRoom     Cause = "no_room"
	CauseNotLoaded  Cause = "not_loaded"
	CauseNoModel    Cause = "no_such_model"
	// CauseLimited means that all endpoints with the model loaded are rate limited or asked
	// for a pause.
	CauseLimited Cause = "endpoint_limit"
	// CauseUnreachable means that no connection to the endpoints with the model loaded could be made while the
	// request waited.
	CauseUnreachable Cause = "endpoints_unreachable"
	CauseDeadline    Cause = "deadline"
	CauseClientGone  Cause = "client_gone"
	CauseBroken      Cause = "endpoint_failed"
	CauseBudget      Cause = "retry_budget"
	CauseStopping    Cause = "stopping"
	// CauseCrashes means that runs of the request repeatedly ended with a crash of their
	// endpoint.
	CauseCrashes Cause = "crashes_endpoints"
	// CauseAllowance means that the account has used up its rate limit.
	CauseAllowance Cause = "allowance"
	// CauseOnTrial means that the request is suspected of crashing endpoints and another copy
	// of it runs first as a probe.
	CauseOnTrial Cause = "on_trial"
	// CauseContention means that the replicas of the model cannot take the demand, and that the
	// request is not among the admitted share.
	CauseContention Cause = "contention"
	// CauseVersionUnknown means that nobody who can be asked knows which software version began a stream, and
	// CauseVersionGone that no endpoint of that version has the model and is able to take the stream in time.
	CauseVersionUnknown Cause = "version_unknown"
	CauseVersionGone    Cause = "version_gone"
	// CauseNoPath means that this host, and all others that it could ask, have lost their links to
	// endpoints.
	CauseNoPath Cause = "no_path"
	// CauseNoMemory means that the body of the request does not fit beside those of the others.
	CauseNoMemory Cause = "no_memory"
)

// Refusal is a final response of this host itself.
type Refusal struct {
	Cause Cause
	// NotRun promises that the request has not run and never will.
	NotRun bool
	// RetryAfter is the time after which the client may retry, or zero for none.
	RetryAfter time.Duration
	// Detail is added to the cause in the response to the client. It may be nil.
	Detail error
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Cause) }

// Sink receives the response to a request.
type Sink interface {
	// Begin sends the head of an endpoint's response.
	Begin(response *Response)
	// Write sends bytes of the body without buffering.
	Write(p []byte) error
	// Abort closes the connection so that the response does not look complete.
	Abort()
	// Refuse sends a final response of this host. It must not be called after Begin.
	Refuse(r Refusal)
}
