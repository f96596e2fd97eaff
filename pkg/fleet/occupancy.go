package fleet

import "hash/fnv"

// EndpointHash is a short name of an endpoint in messages that name many of them. Hosts don't use
// it where two of their endpoints have the same one.
type EndpointHash uint32

// Hash returns the short name of the endpoint.
func (id EndpointID) Hash() EndpointHash {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Write of a hash never fails.
	return EndpointHash(h.Sum32())
}

// EndpointLoads reports the requests of one or more hosts at the endpoints of the services that are
// scheduled for contention.
type EndpointLoads struct {
	// Loads leaves out endpoints without anything to report.
	Loads []EndpointLoad `cbor:"1,keyasint,omitempty"`
	// AgeMillis is the mean age of the numbers of requests in flight.
	AgeMillis int64 `cbor:"2,keyasint,omitempty"`
}

// EndpointLoad reports the requests of one or more hosts at one endpoint.
type EndpointLoad struct {
	Endpoint EndpointHash `cbor:"1,keyasint"`
	InFlight int          `cbor:"2,keyasint,omitempty"`
	// Completed is the number of requests completed since the last report. RunMillis is the sum of
	// their run times, and ExpectedMillis what it would be with the mean run time of their model
	// over all endpoints.
	Completed      int   `cbor:"3,keyasint,omitempty"`
	RunMillis      int64 `cbor:"4,keyasint,omitempty"`
	ExpectedMillis int64 `cbor:"5,keyasint,omitempty"`
}

// Occupancy is the controller's view of the requests of all hosts at the endpoints.
type Occupancy struct {
	// Token is the fencing token of the controller that published the view; relays may pass on the
	// view of a former one. Seq increases with each view of one controller.
	Token int64 `cbor:"5,keyasint"`
	Seq   int64 `cbor:"1,keyasint"`
	// AgeMillis is the mean age of the numbers of requests.
	AgeMillis int64 `cbor:"2,keyasint,omitempty"`
	// Endpoints leaves out endpoints that have no requests in flight and the usual run time.
	Endpoints []EndpointOccupancy `cbor:"3,keyasint,omitempty"`
	// Truncated is set if endpoints were left out for lack of bandwidth. Nothing is known of those
	// that are not listed then.
	Truncated bool `cbor:"4,keyasint,omitempty"`
	// Waiting lists the models and adapters that requests at hosts wait for.
	Waiting []NeedWaiting `cbor:"6,keyasint,omitempty"`
}

// NeedHash is a short name of a service, model and adapter in messages. If two have the same one,
// their waiting requests count for both.
type NeedHash uint32

// NewNeedHash returns the short name of a model, or of an adapter if it isn't empty.
func NewNeedHash(service, model, adapter string) NeedHash {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service + "\x00" + model + "\x00" + adapter)) // Write of a hash never fails.
	return NeedHash(h.Sum32())
}

// NeedWaiting is the number of requests of all hosts that wait for a model or adapter. It is encoded
// as an array to save space.
type NeedWaiting struct {
	_        struct{} `cbor:",toarray"`
	Need     NeedHash
	Requests int
}

// EndpointOccupancy is the occupancy of one endpoint. It is encoded as an array to save space.
type EndpointOccupancy struct {
	_        struct{} `cbor:",toarray"`
	Endpoint EndpointHash
	// InFlight is the number of requests of all hosts.
	InFlight int
	// RunTimePercent is how long requests take here in percent of the mean of their models over all
	// endpoints.
	RunTimePercent int
}
