package pool_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A user sees a model loaded more often than the contract says, or an engine
// that runs out of accelerator memory. Hosts claim the pool at any time, are
// paused between decision and order, die, and lose answers of the log and of
// endpoints; endpoints restart, and half of them ignore fencing tokens. The
// cause would be an order that carries out a decision no longer counted.
func TestReplicasAndMemoryStayWithinLimits(t *testing.T) {
	loads := 0
	rapid.Check(t, func(t *rapid.T) {
		s := schedule{newWorld(t, true, false, true), t}
		t.Repeat(map[string]func(*rapid.T){
			"round":     func(*rapid.T) { s.round() },
			"round two": func(*rapid.T) { s.round() },
			"step":      func(*rapid.T) { s.step() },
			"fold":      func(*rapid.T) { s.fold() },
			"append":    func(*rapid.T) { s.landAppend() },
			"settle":    func(*rapid.T) { s.host().ctrl.PlanDone() },
			"deliver":   func(*rapid.T) { s.deliverOne() },
			"deliver 2": func(*rapid.T) { s.deliverOne() },
			"abandon":   func(*rapid.T) { s.abandonOne() },
			"observe":   func(*rapid.T) { s.observe() },
			"claim":     func(*rapid.T) { s.rarely(); s.w.claim(s.host()) },
			"hand over": func(*rapid.T) { s.rarely(); s.host().ctrl.HandOver(s.host().ref) },
			"kill":      func(*rapid.T) { s.rarely(); s.w.kill(s.index(3, "host"), s.bool("listed as gone")) },
			"restart":   func(*rapid.T) { s.rarely(); s.w.restart(s.w.endpoints[s.index(3, "endpoint")]) },
			"contract":  func(*rapid.T) { s.rarely(); s.contract() },
		})
		loads += s.w.loads
	})
	t.Logf("%d loads", loads)
}

// schedule draws what happens next.
type schedule struct {
	w *world
	t *rapid.T
}

func (s schedule) index(n int, label string) int {
	if n == 0 {
		s.t.Skip("nothing to choose from")
	}
	return rapid.IntRange(0, n-1).Draw(s.t, label)
}

func (s schedule) bool(label string) bool { return rapid.Bool().Draw(s.t, label) }

func (s schedule) host() *host { return s.w.hosts[s.index(len(s.w.hosts), "host")] }

// rarely skips most calls of an action that sets everything back.
func (s schedule) rarely() {
	if s.index(3, "rarely") > 0 {
		s.t.Skip("not this time")
	}
}

func (s schedule) waiting() map[string]int {
	some := rapid.SampledFrom([]int{0, 5, 20, 40})
	return map[string]int{"a": some.Draw(s.t, "waiting a"), "b": some.Draw(s.t, "waiting b")}
}

// round lets the owner, or a host that takes the pool, work for a while, so
// that schedules get far enough for failures to matter.
func (s schedule) round() {
	h := s.host()
	s.w.fold(h, len(s.w.log))
	owner, _ := h.st.Pools.Owner(testPool)
	i := slices.IndexFunc(s.w.hosts, func(h *host) bool { return h.ref == owner })
	if i >= 0 && s.index(5, "same owner") > 0 {
		h = s.w.hosts[i]
	} else if owner != h.ref {
		s.w.claim(h)
	}
	s.w.work(h, s.waiting(), s.bool("orders arrive"))
}

func (s schedule) step() {
	s.w.now = s.w.now.Add(time.Duration(s.index(800, "ms")) * time.Millisecond)
	s.w.step(s.host())
}

func (s schedule) fold() { s.w.fold(s.host(), s.index(20, "records")+1) }

// landAppend lands any append under way, perhaps for the second time.
func (s schedule) landAppend() {
	a := s.w.appends[s.index(len(s.w.appends), "append")]
	s.w.log = append(s.w.log, a.data)
	a.landed = true
}

func (s schedule) order() *orderMsg { return s.w.orders[s.index(len(s.w.orders), "order")] }

func (s schedule) deliverOne() { s.w.deliver(s.order(), s.index(8, "answer") == 0) }

func (s schedule) abandonOne() {
	if o := s.order(); !o.abandoned {
		s.w.abandon(o)
	}
}

func (s schedule) observe() {
	list := s.w.observation()
	if s.index(4, "stale") == 0 {
		list = s.w.stale
	}
	s.host().ctrl.Observe(list)
}

func (s schedule) contract() {
	model := func(name string) modelLimits {
		return modelLimits{1 + s.index(3, "max "+name), int64(30 + 10*s.index(4, "mb "+name))}
	}
	s.w.publish(limits{"a": model("a"), "b": model("b")})
}
