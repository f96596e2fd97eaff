package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// check checks the aims: no host in touch sends more than three requests with the harmful part to endpoints after
// the settle window, only harmful parts are blocked, and sound requests with the same first part are served.
func (x *partSim) check() {
	x.t.Helper()
	crashes, contents := 0, 0
	sends := map[int]int{}
	for second, crashed := range x.crashTimes {
		crashes += len(crashed)
		for _, at := range x.sends[second] {
			if len(crashed) >= 5 && at.After(crashed[4].Add(settleWindow)) {
				sends[second]++
			}
		}
	}
	blocked := map[uint64]bool{}
	for i, g := range x.guards {
		if x.dead[i] || x.cutHost && i == 1 {
			continue
		}
		for _, b := range g.Blocklist.All(x.now) {
			if b.Suspect {
				continue
			}
			if b.PromptPart == 0 {
				contents++
				continue
			}
			blocked[b.Request.Content] = true
		}
	}
	served := 1.0
	if x.asked >= 20 {
		served = float64(x.began) / float64(x.asked)
	}
	x.t.Logf("crashes %d, sends after the window %v, parts blocked %d, sound first attempts served %.2f of %d, contents on trial %d, blocked %d a host, bytes of reports a crash %d",
		crashes, sends, len(blocked), served, x.asked, len(x.trials), contents/x.hosts, x.reportBytes/max(1, crashes))
	for _, n := range sends {
		if n > 3 {
			x.t.Errorf("%d requests with a harmful prompt part were sent to endpoints later than %v after the fifth crash, want at most 3", n, settleWindow)
		}
	}
	for part := range blocked {
		if !slices.Contains(x.allowed, part) && !(x.harmfulFirst && part/10_000 == secondPart(simFirstParts, 0)/10_000) {
			x.t.Errorf("the sound prompt part %d is blocked", part)
		}
	}
	if x.settled(settleWindow) && len(blocked) == 0 {
		x.t.Errorf("no prompt part is blocked after %d crashes", crashes)
	}
	if served < 0.9 {
		x.t.Errorf("%.2f of the sound requests with the same first part are served at the first attempt, want 0.9", served)
	}
}

// Guards against prompt parts that crash one endpoint after the other, and against refusing sound requests that
// share the first part with them, at 9 and at 300 hosts.
func TestHarmfulPromptPartIsBlockedAndSoundOnesAreNot(t *testing.T) {
	const bad = simSecondParts // Not among the second parts of sound requests.
	isBad := func(_, second int) bool { return second >= bad }
	badPart := secondPart(0, bad)
	scenarios := []partScenario{
		{name: "busy", harmful: isBad, harmfulShare: 0.15, harmfulSeconds: []int{bad}, allowed: []uint64{badPart}},
		{name: "few requests", harmful: isBad, harmfulShare: 0.02, harmfulSeconds: []int{bad}, allowed: []uint64{badPart}},
		{name: "two harmful parts", harmful: isBad, harmfulShare: 0.1, harmfulSeconds: []int{bad, bad + 1}, allowed: []uint64{badPart, secondPart(0, bad+1)}},
		{name: "two harmful parts in few requests", harmful: isBad, harmfulShare: 0.03, harmfulSeconds: []int{bad, bad + 1}, allowed: []uint64{badPart, secondPart(0, bad+1)}},
		{name: "rare first part", harmful: isBad, harmfulShare: 0.1, rareFirst: 0.01, harmfulSeconds: []int{bad}, allowed: []uint64{badPart}},
		{name: "under two first parts", harmful: isBad, harmfulShare: 0.1, harmfulFirsts: 2, harmfulSeconds: []int{bad}, allowed: []uint64{badPart}},
		{name: "beside other crashes", harmful: isBad, harmfulShare: 0.05, harmfulSeconds: []int{bad}, allowed: []uint64{badPart}, otherCrashes: 700 * time.Millisecond, crashedTogether: 1},
		{name: "beside racks that lose power", harmful: isBad, harmfulShare: 0.05, harmfulSeconds: []int{bad}, allowed: []uint64{badPart}, otherCrashes: 2 * time.Second, crashedTogether: 5},
		{name: "racks that lose power", harmful: isBad, otherCrashes: 1500 * time.Millisecond, crashedTogether: 5},
		{name: "endpoints that crash by themselves", harmful: isBad, otherCrashes: 300 * time.Millisecond, crashedTogether: 1},
		{name: "harmful first part", harmful: func(first, _ int) bool { return first == simFirstParts }, harmfulShare: 0.05, harmfulFirst: true, allowed: []uint64{firstPart(simFirstParts)}},
		{name: "controller killed", harmful: isBad, harmfulShare: 0.05, harmfulSeconds: []int{bad}, allowed: []uint64{badPart}, lostController: 3500 * time.Millisecond},
		{name: "host cut off", harmful: isBad, harmfulShare: 0.05, harmfulSeconds: []int{bad}, allowed: []uint64{badPart}, cutHost: true},
	}
	for _, size := range []struct{ hosts, endpoints int }{{9, 18}, {300, 60}} {
		for _, s := range scenarios {
			s.hosts, s.endpoints = size.hosts, size.endpoints
			for seed := *partSeed; seed < *partSeed+*partSeeds; seed++ {
				t.Run(fmt.Sprintf("%s, %d hosts, seed %d", s.name, s.hosts, seed), func(t *testing.T) {
					t.Parallel()
					x := newPartSim(t, s, seed)
					x.run()
					x.check()
				})
			}
		}
	}
}
