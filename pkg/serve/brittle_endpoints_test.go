package serve_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
)

var brittleSeeds = flag.Int("brittle-seeds", 1, "number of seeds of the simulation of brittle endpoints")

// simulateBrittle plays a deployment.
func simulateBrittle(t *testing.T, c simConfig) (out brittleResult) {
	synctest.Test(t, func(*testing.T) { out = newBrittleSim(c).run() })
	return out
}

// Guards against endpoints that fall over one after the other because the rejections of all hosts add up, and
// against serving less than with endpoints that are not brittle.
func TestBrittleEndpointsDoNotFallOver(t *testing.T) {
	for _, c := range []simConfig{
		{hosts: 9, endpoints: 10, load: 0.85, burst: true},
		{hosts: 9, endpoints: 10, load: 1.3},
		{hosts: 9, endpoints: 10, load: 1.3, contended: true},
		{hosts: 77, endpoints: 30, load: 0.85, burst: true},
		{hosts: 77, endpoints: 30, load: 1.3},
		{hosts: 300, endpoints: 60, load: 0.85, burst: true},
		{hosts: 300, endpoints: 60, load: 1.3},
		{hosts: 300, endpoints: 60, load: 1.3, contended: true},
	} {
		t.Run(fmt.Sprintf("%d hosts, load %v, burst %v, contended %v", c.hosts, c.load, c.burst, c.contended), func(t *testing.T) {
			skipLargeWithRace(t, c)
			for seed := range uint64(*brittleSeeds) {
				c.seed = seed + 1
				checkBrittle(t, c)
			}
		})
	}
}

// Guards against endpoints that fall over because hosts are killed, frozen or cut off with requests in progress, or hear
// late that the endpoints are brittle.
func TestBrittleEndpointsBesideFaultsOfHosts(t *testing.T) {
	for _, fault := range []simFault{simKill, simCut, simLate, simFreeze} {
		for _, c := range []simConfig{{hosts: 9, endpoints: 10, load: 1.0}, {hosts: 77, endpoints: 30, load: 1.0}} {
			t.Run(fmt.Sprintf("%s, %d hosts", fault, c.hosts), func(t *testing.T) {
				skipLargeWithRace(t, c)
				for seed := range uint64(*brittleSeeds) {
					c.fault, c.seed, c.brittle = fault, seed+1, true
					got := simulateBrittle(t, c)
					t.Logf("%.2f served in time, %.2f late, %d rejected, %d falls", got.served, got.late, got.rejected, got.falls)
					if allowed := 2 + c.endpoints/10; got.falls > allowed {
						t.Errorf("%d falls, %d allowed", got.falls, allowed)
					}
				}
			})
		}
	}
}

// skipLargeWithRace skips simulations that take minutes with the race detector. CI runs them without it.
func skipLargeWithRace(t *testing.T, c simConfig) {
	t.Helper()
	if raceEnabled && c.hosts > 9 {
		t.Skip("run without the race detector")
	}
}

// checkBrittle compares brittle endpoints with others.
func checkBrittle(t *testing.T, c simConfig) {
	t.Helper()
	c.brittle = false
	sound := simulateBrittle(t, c)
	c.brittle = true
	brittle := simulateBrittle(t, c)
	allowed := 2 + c.endpoints/10
	t.Logf("not brittle: %.2f served in time, %.2f late, %d rejected; brittle: %.2f, %.2f late, %d rejected, %d falls (%d allowed), %.2f questions and %.2f requests to other hosts for each request", sound.served, sound.late, sound.rejected, brittle.served, brittle.late, brittle.rejected, brittle.falls, allowed, brittle.asked, brittle.handed)
	if brittle.falls > allowed {
		t.Errorf("%d falls, %d allowed", brittle.falls, allowed)
	}
	if brittle.served < 0.95*sound.served {
		t.Errorf("%.2f served in time, at least %.2f expected", brittle.served, 0.95*sound.served)
	}
}
