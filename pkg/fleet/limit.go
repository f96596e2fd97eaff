package fleet

// EndpointLimit is what is known of the request rate that an endpoint states for itself.
type EndpointLimit struct {
	Endpoint EndpointID `cbor:"1,keyasint"`
	// Version grows with each change that any host sees at the endpoint.
	Version int64 `cbor:"2,keyasint"`
	// Stated tells whether the endpoint states a rate, Rate is that in requests a second
	// from all hosts together.
	Stated bool    `cbor:"3,keyasint,omitempty"`
	Rate   float64 `cbor:"4,keyasint,omitempty"`
}

// NewerThan tells whether a limit replaces another of the same endpoint. Two hosts may see a
// change at the same time; all hosts then keep the stricter one.
func (l EndpointLimit) NewerThan(o EndpointLimit) bool {
	switch {
	case l.Version != o.Version:
		return l.Version > o.Version
	case l.Stated != o.Stated:
		return l.Stated
	}
	return l.Rate < o.Rate
}
