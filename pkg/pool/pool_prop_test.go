package pool_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against exceeding a contract's replicas or an endpoint's memory by an order whose
// decision no longer applies. Hosts claim the pool, are paused, crash and lose responses of
// the log and of endpoints; endpoints restart, and half of them ignore fencing tokens.
func TestReplicasAndMemoryStayWithinLimits(t *testing.T) {
	loads := 0
	rapid.Check(t, func(t *rapid.T) {
		s := schedule{newSimulation(t, true, false, true), t}
		t.Repeat(map[string]func(*rapid.T){
			"round":     func(*rapid.T) { s.round() },
			"round two": func(*rapid.T) { s.round() },
			"step":      func(*rapid.T) { s.step() },
			"fold":      func(*rapid.T) { s.applyRecords() },
			"append":    func(*rapid.T) { s.commitAppend() },
			"settle":    func(*rapid.T) { s.host().ctrl.PlanDone() },
			"deliver":   func(*rapid.T) { s.deliverOne() },
			"deliver 2": func(*rapid.T) { s.deliverOne() },
			"abandon":   func(*rapid.T) { s.abandonOne() },
			"observe":   func(*rapid.T) { s.observe() },
			"claim":     func(*rapid.T) { s.skipMost(); s.sim.claim(s.host()) },
			"hand over": func(*rapid.T) { s.skipMost(); s.host().ctrl.HandOver(s.host().ref) },
			"kill":      func(*rapid.T) { s.skipMost(); s.sim.kill(s.index(3, "host"), s.bool("listed as gone")) },
			"restart":   func(*rapid.T) { s.skipMost(); s.sim.restart(s.sim.endpoints[s.index(3, "endpoint")]) },
			"contract":  func(*rapid.T) { s.skipMost(); s.contract() },
		})
		loads += s.sim.loads
	})
	t.Logf("%d loads", loads)
}

// schedule draws the next action.
type schedule struct {
	sim *simulation
	t   *rapid.T
}

func (s schedule) index(n int, label string) int {
	if n == 0 {
		s.t.Skip("nothing to choose from")
	}
	return rapid.IntRange(0, n-1).Draw(s.t, label)
}

func (s schedule) bool(label string) bool { return rapid.Bool().Draw(s.t, label) }

func (s schedule) host() *host { return s.sim.hosts[s.index(len(s.sim.hosts), "host")] }

// skipMost skips most calls of a disruptive action.
func (s schedule) skipMost() {
	if s.index(3, "rarely") > 0 {
		s.t.Skip("not this time")
	}
}

func (s schedule) waiting() map[string]int {
	some := rapid.SampledFrom([]int{0, 5, 20, 40})
	return map[string]int{"a": some.Draw(s.t, "waiting a"), "b": some.Draw(s.t, "waiting b")}
}

// round runs the owner, or a host that claims the pool, for several steps, so that
// schedules reach states in which failures matter.
func (s schedule) round() {
	h := s.host()
	s.sim.applyRecords(h, len(s.sim.log))
	owner, _ := h.st.Pools.Owner(testPool)
	i := slices.IndexFunc(s.sim.hosts, func(h *host) bool { return h.ref == owner })
	if i >= 0 && s.index(5, "same owner") > 0 {
		h = s.sim.hosts[i]
	} else if owner != h.ref {
		s.sim.claim(h)
	}
	s.sim.runRounds(h, s.waiting(), s.bool("orders arrive"))
}

func (s schedule) step() {
	s.sim.now = s.sim.now.Add(time.Duration(s.index(800, "ms")) * time.Millisecond)
	s.sim.step(s.host())
}

func (s schedule) applyRecords() { s.sim.applyRecords(s.host(), s.index(20, "records")+1) }

// commitAppend commits a pending append, possibly for a second time.
func (s schedule) commitAppend() {
	a := s.sim.appends[s.index(len(s.sim.appends), "append")]
	s.sim.log = append(s.sim.log, a.data)
	a.committed = true
}

func (s schedule) order() *orderMsg { return s.sim.orders[s.index(len(s.sim.orders), "order")] }

func (s schedule) deliverOne() { s.sim.deliver(s.order(), s.index(8, "answer") == 0) }

func (s schedule) abandonOne() {
	if o := s.order(); !o.abandoned {
		s.sim.abandon(o)
	}
}

func (s schedule) observe() {
	list := s.sim.observation()
	if s.index(4, "stale") == 0 {
		list = s.sim.stale
	}
	s.host().ctrl.Observe(list)
}

func (s schedule) contract() {
	model := func(name string) modelLimits {
		return modelLimits{1 + s.index(3, "max "+name), int64(30 + 10*s.index(4, "mb "+name))}
	}
	s.sim.publishContract(limits{"a": model("a"), "b": model("b")})
}
