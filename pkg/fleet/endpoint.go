package fleet

// EndpointID names one incarnation of an endpoint.
type EndpointID string

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
	Holds    []Held
	// InMemory and OnDisk name the models of which the endpoint keeps a copy.
	InMemory []string
	OnDisk   []string
}

// Held is a model that an endpoint has loaded.
type Held struct {
	Model    string
	Adapters []string
}

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
