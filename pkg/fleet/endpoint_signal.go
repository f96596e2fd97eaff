package fleet

// EndpointSignal is the part of an endpoint's state, stated in its responses, that is shared
// among all hosts.
type EndpointSignal struct {
	Endpoint EndpointID `cbor:"1,keyasint"`
	// Version increases with each change of the rate that a host observes.
	Version int64 `cbor:"2,keyasint"`
	// Limited reports whether the endpoint states a request rate limit. Rate is the limit in
	// requests per second over all hosts together.
	Limited bool    `cbor:"3,keyasint,omitempty"`
	Rate    float64 `cbor:"4,keyasint,omitempty"`
	// Draining endpoints terminate soon. The flag is never cleared.
	Draining bool `cbor:"5,keyasint,omitempty"`
}

// Merge combines two signals of the same endpoint.
func (s EndpointSignal) Merge(o EndpointSignal) EndpointSignal {
	draining := s.Draining || o.Draining
	if o.newerThan(s) {
		s = o
	}
	s.Draining = draining
	return s
}

// newerThan reports whether the rate of s replaces the rate of o. If two hosts observe a
// change concurrently, the stricter rate wins.
func (s EndpointSignal) newerThan(o EndpointSignal) bool {
	switch {
	case s.Version != o.Version:
		return s.Version > o.Version
	case s.Limited != o.Limited:
		return s.Limited
	}
	return s.Rate < o.Rate
}
