package fleet

// EndpointSignal is what an endpoint says of itself in its answers, as far as it concerns all
// hosts.
type EndpointSignal struct {
	Endpoint EndpointID `cbor:"1,keyasint"`
	// Version grows with each change of the rate that any host sees at the endpoint.
	Version int64 `cbor:"2,keyasint"`
	// Limited tells whether the endpoint states a request rate, Rate is that in requests a
	// second from all hosts together.
	Limited bool    `cbor:"3,keyasint,omitempty"`
	Rate    float64 `cbor:"4,keyasint,omitempty"`
	// Leaving endpoints end soon; they never stop to.
	Leaving bool `cbor:"5,keyasint,omitempty"`
}

// Merge returns what two signals of the same endpoint tell together.
func (s EndpointSignal) Merge(o EndpointSignal) EndpointSignal {
	leaving := s.Leaving || o.Leaving
	if o.newerThan(s) {
		s = o
	}
	s.Leaving = leaving
	return s
}

// newerThan tells whether the rate of a signal replaces that of another. Two hosts may see a
// change at the same time; all hosts then keep the stricter one.
func (s EndpointSignal) newerThan(o EndpointSignal) bool {
	switch {
	case s.Version != o.Version:
		return s.Version > o.Version
	case s.Limited != o.Limited:
		return s.Limited
	}
	return s.Rate < o.Rate
}
