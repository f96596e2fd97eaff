package gateway

import (
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
)

// levelMetrics records the levels of models as metrics and logs their changes. It is used by one
// goroutine only.
type levelMetrics struct {
	// names bounds the number of models with series of their own.
	names tagValues
	// recorded holds the models with a level at the last call of record.
	recorded map[fleet.ModelRef]bool
}

// recordLevels records the levels in force. The controller logs each model that has become short of
// places, or no longer is.
func (g *Gateway) recordLevels(now time.Time) {
	var models []fleet.ModelLevel
	if levels := g.levels.Current(now); levels != nil {
		models = levels.Models
	}
	recorded := make(map[fleet.ModelRef]bool, len(models))
	for _, l := range models {
		ref := fleet.ModelRef{Service: l.Service, Model: l.Model}
		recorded[ref] = true
		g.recordLevel(ref, float64(l.Share(0, ""))/fleet.FullShare, float64(l.Wait))
		if !g.levelMetrics.recorded[ref] && g.election.HeldToken() != 0 {
			g.log.Info("model is short of places; each host admits a share of its requests", "service", l.Service, "model", l.Model, "share", l.Share(0, ""), "wait_ms", l.Wait)
		}
	}
	for ref := range g.levelMetrics.recorded {
		if recorded[ref] {
			continue
		}
		g.recordLevel(ref, 1, 0)
		if g.election.HeldToken() != 0 {
			g.log.Info("model is no longer short of places", "service", ref.Service, "model", ref.Model)
		}
	}
	g.levelMetrics.recorded = recorded
}

// recordLevel records the share of the most urgent requests and the expected wait in milliseconds.
func (g *Gateway) recordLevel(ref fleet.ModelRef, share, wait float64) {
	tags := map[string]string{"model": g.levelMetrics.names.limit(ref.Service + "/" + ref.Model)}
	scope := g.metrics.scope.Tagged(tags)
	scope.Gauge("level").Update(share)
	scope.Gauge("level_wait_ms").Update(wait)
}

// contended records requests that were refused for contention, and those that returned.
func (m *metrics) contended(r serve.Result) {
	if r.Refusal != nil && r.Refusal.Cause == serve.CauseContention {
		m.count("refused_contention", map[string]string{"model": m.models.limit(r.Request.Service + "/" + r.Request.Model)})
	}
	if r.Request.Returned() {
		m.count("returns", map[string]string{"outcome": r.Outcome()})
	}
}
