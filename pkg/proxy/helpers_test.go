package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hostsInZones returns hosts that are spread over three zones.
func hostsInZones(n int) []Host {
	out := make([]Host, n)
	for i := range out {
		out[i] = Host{Name: fmt.Sprint("h", i), Addr: fmt.Sprint("h", i), Zone: fmt.Sprint("zone-", i%3), Cores: 0.4}
	}
	return out
}

// others returns all hosts but one.
func others(hosts []Host, self Host) []Host {
	var out []Host
	for _, h := range hosts {
		if h.Name != self.Name {
			out = append(out, h)
		}
	}
	return out
}

// Guards against a host that becomes the helper of hundreds while others have room, at several sizes and
// with half of one zone, all of it or half of all hosts without links.
func TestHelpersAreSpread(t *testing.T) {
	for _, size := range []int{9, 77, 300, 1000} {
		for name, cut := range map[string]func(i int) bool{
			"half of a zone":    func(i int) bool { return i%6 == 0 },
			"a zone":            func(i int) bool { return i%3 == 0 },
			"half of all hosts": func(i int) bool { return i%2 == 0 },
		} {
			t.Run(fmt.Sprint(size, " ", name), func(t *testing.T) {
				hosts := hostsInZones(size)
				isCut := map[string]bool{}
				for i, h := range hosts {
					isCut[h.Name] = cut(i)
				}
				now := time.Now()
				requests := map[string]int{}
				sentBy := map[string]map[string]bool{}
				asked, sent := 0, 0
				for i, self := range hosts {
					if !cut(i) {
						continue
					}
					h := NewHelpers(self, func() []Host { return others(hosts, self) })
					for range 20 {
						tried := map[string]bool{}
						for len(tried) < maxHelpers {
							helper, ok := h.Pick(now, tried)
							if !ok {
								break
							}
							asked++
							tried[helper.Name] = true
							if !isCut[helper.Name] {
								h.RecordHelp(now, helper, requests[helper.Name])
								requests[helper.Name]++
								sent++
								if sentBy[helper.Name] == nil {
									sentBy[helper.Name] = map[string]bool{}
								}
								sentBy[helper.Name][self.Name] = true
								break
							}
							h.RecordUseless(now, helper)
							h.Done(helper)
						}
					}
				}
				most := 0
				for _, callers := range sentBy {
					most = max(most, len(callers))
				}
				connections := 0
				for _, callers := range sentBy {
					connections += len(callers)
				}
				t.Logf("%d requests, %.2f hosts asked a request, %.2f helpers a host, at most %d hosts at one helper",
					sent, float64(asked)/float64(sent), float64(connections)*20/float64(sent), most)
				if most > 16 {
					t.Errorf("one host helps %d others, want at most 16", most)
				}
				if asked > 2*sent {
					t.Errorf("%d hosts asked for %d requests", asked, sent)
				}
			})
		}
	}
}

// Guards against bytes between zones while a host of the own zone has room, and against a helper that
// takes all requests while others are idle.
func TestHelperIsChosenByZoneAndLoad(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	hosts := hostsInZones(6)
	h := NewHelpers(hosts[0], func() []Host { return others(hosts, hosts[0]) })
	first, ok := h.Pick(now, nil)
	is.True(ok)
	is.Equal(first.Name, "h3") // The only other host of the zone.
	h.RecordHelp(now, first, 20)
	second, ok := h.Pick(now, nil)
	is.True(ok)
	is.True(second.Zone != first.Zone)
	h.RecordUseless(now, first)
	h.RecordHelp(now, second, 1000)
	third, ok := h.Pick(now, nil)
	is.True(ok)
	is.True(third.Name != first.Name && third.Name != second.Name)
	_, ok = h.Pick(now, map[string]bool{"h1": true, "h2": true, "h4": true, "h5": true})
	is.True(!ok) // The rest could not help recently.
	_, ok = h.Pick(now.Add(time.Hour), map[string]bool{"h1": true, "h2": true, "h4": true, "h5": true})
	is.True(ok)
}
