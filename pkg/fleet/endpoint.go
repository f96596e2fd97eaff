package fleet

import (
	"strconv"
	"strings"
)

// EndpointID names one incarnation of an endpoint: the name that its entries in the list
// stand under and, where the endpoint states it, when it was started. An endpoint may
// start again under its name. It then holds nothing, counts its orders anew and has ended
// all runs, so that whatever is kept by EndpointID ends with the incarnation.
type EndpointID string

// bornMark separates an endpoint's name from its start.
const bornMark = "@"

// NewEndpointID returns the ID of an incarnation. Born is its start in Unix
// milliseconds, 0 if the endpoint does not state it.
func NewEndpointID(name string, born int64) EndpointID {
	if born == 0 && !strings.Contains(name, bornMark) {
		return EndpointID(name)
	}
	return EndpointID(name + bornMark + strconv.FormatInt(born, 10))
}

// Name is what the endpoint calls itself in each of its incarnations.
func (id EndpointID) Name() string {
	if i := strings.LastIndex(string(id), bornMark); i >= 0 {
		return string(id[:i])
	}
	return string(id)
}

// Born is the start of the incarnation in Unix milliseconds, 0 if it is not known.
func (id EndpointID) Born() int64 {
	i := strings.LastIndex(string(id), bornMark)
	born, err := strconv.ParseInt(string(id[i+1:]), 10, 64)
	if i < 0 || err != nil {
		return 0
	}
	return born
}

// Endpoint is what an endpoint last said of itself in the platform's list.
type Endpoint struct {
	ID      EndpointID
	Service string
	// Addr is the address as IP number and port. It may be reused by another
	// endpoint after this one has ended.
	Addr string
	Zone string
	// Slots is the number of requests that run at once.
	Slots int
	// Draining endpoints take no new requests.
	Draining bool
	// Unreadable is set where the newest entry under the name is not understood: it
	// may be of another writer, and names no endpoint to use. Only the ID is known.
	Unreadable bool
	Holds      []Held
	// InMemory and OnDisk name the models of which the endpoint keeps a copy.
	InMemory []string
	OnDisk   []string
}

// Held is a model that an endpoint has loaded.
type Held struct {
	Model    string
	Adapters []string
}

// TakesRequests tells whether new requests may be sent to the endpoint.
func (e Endpoint) TakesRequests() bool { return !e.Draining && !e.Unreadable }

// Report is an endpoint's answer to a status call; it lags.
type Report struct {
	Holds []Held
	// Loading lists adapters that are on their way, as MODEL/NAME.
	Loading []string
	// Busy endpoints carry out an order.
	Busy bool
	// Sequence counts the orders that the endpoint had accepted.
	Sequence int64
}

// Load is the number of requests at an endpoint as its answers state it.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
