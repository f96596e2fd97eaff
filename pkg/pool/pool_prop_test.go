package pool_test

import (
	"testing"

	"pgregory.net/rapid"
)

// A user sees a model loaded more often than the contract says, or an engine
// that runs out of accelerator memory. Hosts claim the pool at any time, are
// paused between decision and order, die, and lose answers of the log and of
// endpoints; endpoints restart, and half of them ignore fencing tokens. The
// cause would be an order that carries out a decision no longer counted.
func TestReplicasAndMemoryStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"round":     func(*rapid.T) { w.round() },
			"round two": func(*rapid.T) { w.round() },
			"step":      func(*rapid.T) { w.step() },
			"fold":      func(*rapid.T) { w.fold() },
			"append":    func(*rapid.T) { w.landAppend() },
			"settle":    func(*rapid.T) { w.settlePlan() },
			"deliver":   func(*rapid.T) { w.deliver() },
			"deliver 2": func(*rapid.T) { w.deliver() },
			"abandon":   func(*rapid.T) { w.abandon() },
			"claim":     func(*rapid.T) { w.rarely(w.claim) },
			"hand over": func(*rapid.T) { w.rarely(w.handOver) },
			"kill":      func(*rapid.T) { w.rarely(w.kill) },
			"restart":   func(*rapid.T) { w.rarely(w.restart) },
			"observe":   func(*rapid.T) { w.observe() },
			"contract":  func(*rapid.T) { w.rarely(w.lowerOrRaise) },
		})
		totalLoads += w.loads
	})
	t.Logf("%d loads", totalLoads)
}

var totalLoads int
