package gateway

import "time"

// stamp is a controller's own time, in milliseconds since its start. Hosts pass it on as it
// is, and tell the newest that they have heard, so that the controller knows by its own
// clock since when each has certainly heard it. It says nothing to another controller,
// whose clock began at another time.
type stamp struct {
	token int64
	at    int64
}

// stampFor is what this host passes on of the holder of a token: its own time, or the last
// that it has heard; 0 for none.
func (g *Gateway) stampFor(now time.Time, token int64) int64 {
	if held := g.election.Held(); held != 0 && held == token {
		return now.Sub(g.started).Milliseconds()
	}
	return g.stampOf(token)
}

// stampOf is the last stamp heard of the holder of a token, 0 for none.
func (g *Gateway) stampOf(token int64) int64 {
	s := g.heardStamp.Load()
	if s == nil || s.token != token {
		return 0
	}
	return s.at
}

// stampTime is the time of a stamp of this host.
func (g *Gateway) stampTime(at int64) time.Time { return g.started.Add(milliseconds(at)) }
