package relay_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/proptest"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/relay"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { proptest.Main(m, 200, 60) }

// deployment draws hosts of different strength in some zones.
func deployment(t *rapid.T) []relay.Member {
	n := rapid.IntRange(1, 300).Draw(t, "hosts")
	zones := rapid.IntRange(1, 5).Draw(t, "zones")
	cores := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0.12, 0.192, 0.8}), n, n).Draw(t, "cores")
	var out []relay.Member
	for i := range n {
		name := fmt.Sprint("h", i)
		out = append(out, relay.Member{Name: name, Addr: name, Zone: fmt.Sprint("z", i%zones), Cores: cores[i]})
	}
	return out
}

// Each host asks another, and all of them may lose their relays one after the other. Two
// that asked each other would never hear of the controller again, and one that is asked by
// all hosts would be too slow for any.
func TestQuestionsEndAtTheController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := deployment(t)
		controller := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "controller")]
		ask := map[string][]relay.Member{}
		load := map[string]int{}
		for _, h := range hosts {
			if h.Name == controller.Name {
				continue
			}
			list := relay.Upstreams(h, controller, hosts)
			ask[h.Name] = list
			load[list[0].Name]++
			if list[len(list)-1].Name != controller.Name {
				t.Fatalf("%s does not ask the controller in the end", h.Name)
			}
			for _, u := range list[:len(list)-1] {
				if u.Name == h.Name || u.Zone != h.Zone {
					t.Fatalf("%s asks %+v", h.Name, u)
				}
			}
		}
		choice := rapid.IntRange(0, 3).Draw(t, "choice")
		for name := range ask {
			hops := 0
			for at := name; at != controller.Name; hops++ {
				list := ask[at]
				at = list[min(choice, len(list)-1)].Name
				if hops > 4 {
					t.Fatalf("%s is %d hops away from the controller", name, hops)
				}
			}
		}
		for _, h := range hosts {
			// Hosts choose among relays by a hash, so that some get more than their part.
			if most := 2*relay.Children(h.Cores) + 8; h.Name != controller.Name && load[h.Name] > most {
				t.Fatalf("%d hosts ask %+v", load[h.Name], h)
			}
		}
	})
}

// A few hosts ask the controller themselves: a relay would only be one hop more.
func TestFewHostsNeedNoRelay(t *testing.T) {
	is := is.New(t)
	var hosts []relay.Member
	for i := range 9 {
		hosts = append(hosts, relay.Member{Name: fmt.Sprint(i), Zone: fmt.Sprint(i % 3), Cores: 0.4})
	}
	for _, h := range hosts[1:] {
		is.Equal(relay.Upstreams(h, hosts[0], hosts), hosts[:1])
	}
}

// Hosts tell relays of their requests, reports come late, doubled and out of order, and
// hosts go over to another relay. Arrivals that were counted twice would load replicas that
// nobody needs, and a report that came late would bring back requests that were served.
func TestSumsCountNothingTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		relays := []*relay.Sums{relay.NewSums(), relay.NewSums()}
		told, got := 0, 0
		var seq [3]int64
		var sent [2][]fleet.DemandReport
		var sentAt [2]time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			at := rapid.IntRange(0, 1).Draw(t, "relay")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // a new report goes to one relay
				host := rapid.IntRange(0, 2).Draw(t, "host")
				seq[host]++
				n := rapid.IntRange(0, 3).Draw(t, "arrived")
				told += n
				r := fleet.DemandReport{
					Host:  fmt.Sprint(host),
					Seq:   seq[host],
					Needs: []fleet.NeedReport{{Service: "s", Model: "m", Arrived: n, Waiting: n}},
				}
				sent[at] = append(sent[at], r)
				sentAt[at] = now
				relays[at].Take(now, r, fleet.Heard{})
			case 1: // a copy of one comes again; messages are given up after half a second
				if len(sent[at]) > 0 && now.Sub(sentAt[at]) < time.Second {
					relays[at].Take(now, sent[at][len(sent[at])-1], fleet.Heard{})
				}
			case 2:
				got += arrivals(relays[at].Sum(now, fleet.DemandReport{}))
			case 3:
				now = now.Add(time.Second)
				sum := relays[at].Sum(now, fleet.DemandReport{})
				got += arrivals(sum)
				if n := waiting(sum); n != 0 {
					t.Fatalf("%d requests wait at hosts that have not reported for a second", n)
				}
			}
		}
		for _, s := range relays {
			got += arrivals(s.Sum(now, fleet.DemandReport{}))
		}
		if got != told {
			t.Fatalf("%d arrivals were told, %d counted", told, got)
		}
	})
}

func arrivals(r fleet.DemandReport) int {
	n := 0
	for _, x := range r.Needs {
		n += x.Arrived
	}
	return n
}

func waiting(r fleet.DemandReport) int {
	n := 0
	for _, x := range r.Needs {
		n += x.Waiting
	}
	return n
}

// A zone's relay adds up what waits for one model at two hosts. The first that is due
// decides when it is loaded, and requests that can still be in time go before late ones.
func TestSumOfTwoHosts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := relay.NewSums()
	need := func(waiting, inTime int, due int64) []fleet.NeedReport {
		return []fleet.NeedReport{{Service: "s", Model: "m", Waiting: waiting, InTime: inTime, DueIn: due, Arrived: waiting}}
	}
	s.Take(now, fleet.DemandReport{Host: "a", Seq: 1, Needs: need(2, 0, 100), Unreachable: []fleet.EndpointID{"e"}, Pausing: []fleet.EndpointID{"f"}}, fleet.Heard{Host: "a"})
	s.Take(now, fleet.DemandReport{Host: "b", Seq: 1, Needs: need(1, 1, 900)}, fleet.Heard{Host: "b"})
	at := now.Add(100 * time.Millisecond)
	sum := s.Sum(at, fleet.DemandReport{Host: "r", Needs: need(1, 0, 50)})
	is.Equal(sum.Host, "r")
	is.Equal(sum.Needs, []fleet.NeedReport{{Service: "s", Model: "m", Waiting: 4, InTime: 1, DueIn: 800, Arrived: 4}})
	is.Equal(sum.Unreachable, []fleet.EndpointID{"e"})
	is.Equal(sum.Pausing, []fleet.EndpointID{"f"})
	is.Equal(len(s.Heard(at)), 2)
	is.Equal(arrivals(s.Sum(at, fleet.DemandReport{})), 0) // told once
	is.Equal(waiting(s.Sum(at, fleet.DemandReport{})), 3)  // still so
	is.True(!s.Take(at, fleet.DemandReport{Host: "a", Seq: 1, Needs: need(9, 9, 0)}, fleet.Heard{}))
}

// Changes that no request waits for come in a row. A relay that told each of them to each
// host had no time left for its own requests; one that waited with all of them let
// requests wait for models that were there.
func TestPaceOfAnswers(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	q := relay.Question{Asked: at(100), Answered: at(90)}
	for _, c := range []struct {
		name            string
		changed, urgent bool
		spacing         time.Duration
		want            time.Time
	}{
		{"nothing has changed", false, false, 50 * time.Millisecond, at(350)},
		{"a model that is waited for", true, true, 50 * time.Millisecond, at(100)},
		{"another model", true, false, 50 * time.Millisecond, at(140)},
		{"another model, at a busy relay", true, false, time.Second, at(350)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(q.Answer(c.changed, c.urgent, c.spacing), c.want)
		})
	}
	is := is.New(t)
	is.True(relay.Spacing(8, 0.4) < 30*time.Millisecond)
	is.True(relay.Spacing(58, 0.192) == relay.MaxHold)
	is.True(slices.Contains([]time.Duration{relay.Spacing(0, 0)}, 8*time.Millisecond))
}
