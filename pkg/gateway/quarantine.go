package gateway

import (
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/quarantine"
)

// newChecker returns what looks for endpoints that end under requests.
func (g *Gateway) newChecker() *quarantine.Checker {
	return &quarantine.Checker{
		Ended:     g.endpoints.Ended,
		Announced: g.directory.Announced,
		Found:     func([]fleet.Crash) { g.metrics.count("endpoints_crashed", nil) },
		Now:       g.Now,
		Log:       g.log,
		Runs:      quarantine.NewRuns(),
	}
}
