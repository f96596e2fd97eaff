package fleet

// BrittleService is whether the endpoints of a service are brittle, as they state in their responses and as all
// hosts share it. A brittle endpoint crashes if it has to reject too many requests for lack of room.
type BrittleService struct {
	Service string `cbor:"1,keyasint"`
	// Version increases with each change that a host observes.
	Version int64 `cbor:"2,keyasint"`
	Brittle bool  `cbor:"3,keyasint,omitempty"`
	// MaxRejections is how many requests an endpoint can reject in a second without crashing, over all
	// hosts together.
	MaxRejections float64 `cbor:"4,keyasint,omitempty"`
}

// NewerThan reports whether s replaces o. If two hosts observe a change concurrently, the stricter one wins.
func (s BrittleService) NewerThan(o BrittleService) bool {
	switch {
	case s.Version != o.Version:
		return s.Version > o.Version
	case s.Brittle != o.Brittle:
		return s.Brittle
	}
	return s.MaxRejections < o.MaxRejections
}
