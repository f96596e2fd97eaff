package gateway

import "time"

// stamp is a reading of the controller's clock, in milliseconds since its start. Hosts pass
// stamps on unchanged and report the newest one back, so that the controller knows by its own
// clock when each host has received its heartbeat. Stamps of different controllers are not
// comparable.
type stamp struct {
	token int64
	at    int64
}

// stampFor returns the stamp to pass on for the holder of a token: this host's own if it is the
// holder, otherwise the last one received. It returns 0 if there is none.
func (g *Gateway) stampFor(now time.Time, token int64) int64 {
	if held := g.election.HeldToken(); held != 0 && held == token {
		return now.Sub(g.startedAt).Milliseconds()
	}
	return g.stampOf(token)
}

// stampOf returns the last stamp received from the holder of a token, or 0 if there is none.
func (g *Gateway) stampOf(token int64) int64 {
	s := g.lastStamp.Load()
	if s == nil || s.token != token {
		return 0
	}
	return s.at
}

// stampTime returns the time of one of this host's own stamps.
func (g *Gateway) stampTime(at int64) time.Time { return g.startedAt.Add(milliseconds(at)) }
