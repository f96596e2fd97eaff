package serve

import "github.com/tealvane/tealvane/pkg/fleet"

// Guard finds requests that crash endpoints. Implementations are safe for concurrent use
// and return at once.
type Guard interface {
	// Broke notes that a run at an endpoint broke off. The end of the endpoint is
	// suspected where nothing else explains it.
	Broke(e fleet.Endpoint, f fleet.Fingerprint, suspected bool)
}

// broke tells the guard of a run without a complete answer.
func (x *exchange) broke(e fleet.Endpoint, suspected bool) {
	f := x.request.Fingerprint
	if x.server.Guard == nil || f.Content == 0 {
		return
	}
	x.server.Guard.Broke(e, f, suspected)
}
