package fleet

// StreamOrigin is the service and software version of the endpoint that sent the first event of a stream.
type StreamOrigin struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

// StreamStart says where the stream of a client attempt began.
type StreamStart struct {
	// Attempt is the client's ID of the attempt.
	Attempt string       `cbor:"1,keyasint"`
	Origin  StreamOrigin `cbor:"2,keyasint"`
}

// StreamLookup asks where a stream began.
type StreamLookup struct {
	Attempt string `cbor:"1,keyasint"`
	// Service is the one that is to serve the rest of the stream.
	Service string `cbor:"2,keyasint"`
	// Route identifies the route of the request; empty if it is not known.
	Route string `cbor:"3,keyasint,omitempty"`
}

// StreamLookupResult is the response to a StreamLookup.
type StreamLookupResult struct {
	// Origin is nil if the host does not know it.
	Origin *StreamOrigin `cbor:"1,keyasint,omitempty"`
	// Age is the time in milliseconds since the host learned of it.
	Age int64 `cbor:"2,keyasint,omitempty"`
	// Conflict reports that the host has been told of several origins.
	Conflict bool `cbor:"3,keyasint,omitempty"`
	// OneVersion reports that the host knows that all streams of the route began at one software version of the service.
	OneVersion bool `cbor:"4,keyasint,omitempty"`
}
