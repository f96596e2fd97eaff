package gateway

import (
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// ContentionMode is when requests are scheduled for contention.
type ContentionMode string

// The modes. An empty mode is ContentionAuto.
const (
	// ContentionAuto schedules a service for contention if its endpoints state their work time or
	// that they are brittle, or if client accounts compete for a route with a tight objective.
	ContentionAuto ContentionMode = "auto"
	ContentionOn   ContentionMode = "on"
	ContentionOff  ContentionMode = "off"
)

// tightObjectiveShare is the share of a route's timeout up to which its objective is tight: a
// request that has waited for that share of its time misses the objective.
const tightObjectiveShare = 1.0 / 20

func (m ContentionMode) valid() bool {
	return m == "" || m == ContentionAuto || m == ContentionOn || m == ContentionOff
}

// contention reports whether requests for a service are scheduled for contention.
func (g *Gateway) contention(service string) bool {
	switch g.settings.Scheduling.Contention {
	case ContentionOn:
		return true
	case ContentionOff:
		return false
	}
	_, brittle := g.slotLimit(service)
	return brittle || g.health.StatesWorkTime(service) || accountsCompete(g.config.Load(), service)
}

// accountsCompete reports whether the configuration has client accounts and a route of the service
// with a tight objective.
func accountsCompete(c *fleet.Config, service string) bool {
	if c == nil || c.Accounts == nil {
		return false
	}
	for _, r := range c.Routes {
		tight := r.Objective > 0 && r.Objective <= time.Duration(tightObjectiveShare*float64(r.Timeout))
		if tight && r.Serves(service) {
			return true
		}
	}
	return false
}
