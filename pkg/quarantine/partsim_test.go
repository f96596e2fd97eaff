package quarantine_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/quarantine"
)

var (
	partSeed  = flag.Uint64("part-seed", 1, "first seed of the simulations of prompt parts")
	partSeeds = flag.Uint64("part-seeds", 2, "number of seeds of the simulations of prompt parts")
)

// partScenario is a load of which some requests have a harmful prompt part. All prompts have a first part, a
// second one and one of their own.
type partScenario struct {
	name             string
	hosts, endpoints int
	// harmful reports whether requests with these first and second parts are harmful.
	harmful func(first, second int) bool
	// harmfulShare is the share of requests with the harmful second parts, and rareFirst the share of the
	// other requests whose first part is the one that they share with the harmful ones; 0 means all alike.
	harmfulShare float64
	rareFirst    float64
	// harmfulSeconds are the second parts of harmful requests.
	harmfulSeconds []int
	// harmfulFirsts is the number of first parts that harmful requests have.
	harmfulFirsts int
	// allowed holds the digests of the parts that may be blocked.
	allowed []uint64
	// harmfulFirst is set if the harmful requests share a first part of their own instead.
	harmfulFirst bool
	// otherCrashes is the interval at which crashedTogether endpoints crash from another cause; 0 means never.
	otherCrashes    time.Duration
	crashedTogether int
	// lostController is when the controller is killed; 0 means never.
	lostController time.Duration
	// cutHost is set if the second host is cut off from the others.
	cutHost bool
}

const (
	simStep          = 20 * time.Millisecond
	simDuration      = 25 * time.Second
	simFirstParts    = 3
	simSecondParts   = 375
	simRequestRate   = 90
	simEndpointSlots = 24
	simRestart       = 1500 * time.Millisecond
	simTakeover      = 2000 * time.Millisecond
	// settleWindow is the time after the fifth crash within which all hosts must block a prompt part.
	settleWindow = 3 * time.Second
)

func firstPart(i int) uint64 { return uint64(1_000_000 + i) }

func secondPart(first, i int) uint64 { return uint64(2_000_000 + first*10_000 + i) }

// simRequest is one attempt of a client.
type simRequest struct {
	first, second int
	content       uint64
	host          int
	harmful       bool
	attempts      int
	retried       bool
	beginsAt      time.Time
	endsAt        time.Time
	begun         bool
}

type simEndpoint struct {
	id      fleet.EndpointID
	runs    []*simRequest
	backAt  time.Time
	crashes int
}

// simMessage is a message between the controller and a host that arrives at a time.
type simMessage struct {
	at      time.Time
	sentAt  time.Time
	to      int
	crashes []fleet.CrashReport
	blocks  []fleet.Block
}

// partSim simulates the guards of all hosts, which exchange reports and blocks with delays, and a service whose
// endpoints crash.
type partSim struct {
	partScenario
	t          *testing.T
	rng        *rand.Rand
	now        time.Time
	guards     []*quarantine.Guard
	runs       []*quarantine.RecentRuns
	dead       []bool
	controller int
	sentBlocks []int64
	endpoints  []*simEndpoint
	messages   []simMessage
	nextID     uint64
	// crashTimes holds, by harmful second part or -1 for the first part, the crashes by requests with it, and
	// sends when such requests were sent to endpoints.
	crashTimes, sends map[int][]time.Time
	// asked and began count the first attempts of sound requests that share the first part, from
	// twice settleWindow after the fifth crash.
	asked, began int
	trials       map[uint64]bool
	reportBytes  int
}

func newPartSim(t *testing.T, s partScenario, seed uint64) *partSim {
	x := &partSim{partScenario: s, t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: start(), trials: map[uint64]bool{}, crashTimes: map[int][]time.Time{}, sends: map[int][]time.Time{}}
	for i := range s.hosts {
		x.guards = append(x.guards, quarantine.NewGuard(quarantine.Config{
			Host:              fmt.Sprint("host ", i),
			Terminated:        func(context.Context, fleet.Endpoint) (bool, error) { return false, nil },
			ShutdownAnnounced: func(fleet.EndpointID) bool { return false },
			OnCrash:           func([]fleet.CrashReport) {},
			OnTrialChange:     func() {},
			Now:               func() time.Time { return x.now },
			Log:               slog.New(slog.DiscardHandler),
		}))
		x.runs = append(x.runs, quarantine.NewRecentRuns())
	}
	x.dead = make([]bool, s.hosts)
	x.sentBlocks = make([]int64, s.hosts)
	for i := range s.endpoints {
		x.endpoints = append(x.endpoints, &simEndpoint{id: fleet.EndpointID(fmt.Sprint("e", i))})
	}
	return x
}

// delay returns the delay of a message between the controller and a host, over up to two hops. One in ten is lost
// and sent again.
func (x *partSim) delay() time.Duration {
	d := 10*time.Millisecond + time.Duration(x.rng.Float64()*float64(150*time.Millisecond))
	if x.rng.IntN(10) == 0 {
		d += 250 * time.Millisecond
	}
	return d
}

func (x *partSim) since(d time.Duration) time.Time { return start().Add(d) }

// settled reports whether the fifth crash by each harmful part was at least that long ago.
func (x *partSim) settled(after time.Duration) bool {
	for second := range x.crashTimes {
		if at := x.crashTimes[second]; len(at) < 5 || x.now.Before(at[4].Add(after)) {
			return false
		}
	}
	return len(x.crashTimes) > 0
}

func (x *partSim) arrive() {
	n := x.rng.Float64() * 2 * simRequestRate * simStep.Seconds()
	for range int(n + x.rng.Float64()) {
		x.nextID++
		r := &simRequest{content: x.nextID, host: x.rng.IntN(x.hosts), first: x.rng.IntN(simFirstParts), second: x.rng.IntN(simSecondParts)}
		if x.rareFirst > 0 {
			r.first = 1 + x.rng.IntN(simFirstParts-1)
			if x.rng.Float64() < x.rareFirst {
				r.first = 0
			}
		}
		if x.now.After(x.since(3*time.Second)) && x.rng.Float64() < x.harmfulShare {
			r.first, r.second = simFirstParts, x.rng.IntN(simSecondParts)
		}
		if r.first == simFirstParts && !x.harmfulFirst {
			r.first, r.second = x.rng.IntN(max(1, x.harmfulFirsts)), x.harmfulSeconds[x.rng.IntN(len(x.harmfulSeconds))]
		}
		r.harmful = x.harmful(r.first, r.second)
		if r.first == 0 && !r.harmful && x.settled(2*settleWindow) {
			x.asked++
		}
		x.send(r)
	}
}

// identity returns the fingerprint and the prompt of a request.
func identity(r *simRequest) (fleet.Fingerprint, fleet.Prompt) {
	second := secondPart(r.first, r.second)
	if r.second >= simSecondParts {
		second = secondPart(0, r.second) // The same part under every first part.
	}
	return fleet.Fingerprint{Content: r.content, Caller: r.content % 50}, fleet.Prompt{Caller: r.content % 50, Parts: []uint64{firstPart(r.first), second}}
}

// harmfulKey returns the key of a harmful request in crashTimes and sends.
func (x *partSim) harmfulKey(r *simRequest) int {
	if x.harmfulFirst {
		return -1
	}
	return r.second
}

func (x *partSim) send(r *simRequest) {
	if x.dead[r.host] {
		r.host = x.rng.IntN(x.hosts)
		if x.dead[r.host] {
			return
		}
	}
	f, p := identity(r)
	g := x.guards[r.host]
	if _, blocked := g.BlockedPart(p); blocked || g.Blocked(f) {
		return
	}
	var live []*simEndpoint
	for _, e := range x.endpoints {
		if !x.now.Before(e.backAt) && len(e.runs) < simEndpointSlots {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return
	}
	e := live[x.rng.IntN(len(live))]
	r.begun = false
	r.beginsAt = x.now.Add(60*time.Millisecond + time.Duration(x.rng.Float64()*float64(100*time.Millisecond)))
	r.endsAt = r.beginsAt.Add(370 * time.Millisecond)
	e.runs = append(e.runs, r)
	if r.harmful && !(x.cutHost && r.host == 1) {
		key := x.harmfulKey(r)
		x.sends[key] = append(x.sends[key], x.now)
	}
}

func (x *partSim) runEndpoint(e *simEndpoint) {
	var cause *simRequest
	e.runs = slices.DeleteFunc(e.runs, func(r *simRequest) bool {
		_, p := identity(r)
		if !r.begun && !x.now.Before(r.beginsAt) {
			if r.harmful {
				cause = r
				return false
			}
			r.begun = true
			x.guards[r.host].RecordBegun(p)
			if r.first == 0 && !r.retried && r.attempts == 0 && x.settled(2*settleWindow) {
				x.began++
			}
		}
		return !x.now.Before(r.endsAt)
	})
	if cause != nil {
		key := x.harmfulKey(cause)
		x.crashTimes[key] = append(x.crashTimes[key], x.now)
		x.crash(e)
	}
}

// crash ends an endpoint. The hosts detect that and report what ran there, and send the requests once more.
func (x *partSim) crash(e *simEndpoint) {
	runs := e.runs
	e.runs = nil
	id := e.id
	e.crashes++
	e.id = fleet.EndpointID(fmt.Sprintf("%s-%d-%d", id, e.crashes, x.rng.IntN(1000)))
	e.backAt = x.now.Add(simRestart)
	byHost := map[int]bool{}
	for _, r := range runs {
		if x.dead[r.host] {
			continue
		}
		f, p := identity(r)
		if !r.begun {
			x.runs[r.host].RecordUnbegun(x.now, id, p)
		}
		x.runs[r.host].RecordBroken(x.now, id, f, fleet.CopyID(r.content*8+uint64(r.attempts)+1))
		byHost[r.host] = true
	}
	for h := range x.hosts {
		if !byHost[h] {
			continue
		}
		reports := x.runs[h].RecordCrash(x.now, x.now, id)
		detected := x.now.Add(140*time.Millisecond + time.Duration(x.rng.Float64()*float64(200*time.Millisecond)))
		x.messages = append(x.messages, simMessage{at: detected, sentAt: x.now, to: h, crashes: reports})
		if !x.cutHost || h != 1 {
			x.messages = append(x.messages, simMessage{at: detected.Add(x.delay()), sentAt: x.now, to: -1, crashes: reports})
		}
		x.reportBytes += 45 * len(reports)
	}
	for _, r := range runs {
		again := *r
		again.attempts++
		if again.attempts == 2 {
			if again.retried {
				continue
			}
			again.retried, again.attempts, again.host = true, 0, x.rng.IntN(x.hosts)
		}
		x.send(&again)
	}
}

func (x *partSim) deliver() {
	var rest []simMessage
	for _, m := range x.messages {
		if m.at.After(x.now) {
			rest = append(rest, m)
			continue
		}
		to := m.to
		if to < 0 {
			to = x.controller
		}
		if to < 0 || x.dead[to] {
			m.at = x.now.Add(50 * time.Millisecond) // The next controller is told.
			if m.to < 0 {
				rest = append(rest, m)
			}
			continue
		}
		crashes := slices.Clone(m.crashes)
		for i := range crashes {
			crashes[i].Ago += x.now.Sub(m.sentAt).Milliseconds()
		}
		x.guards[to].CrashLog.Add(x.now, crashes)
		x.guards[to].Merge(x.now, m.blocks)
	}
	x.messages = rest
}

// exchange lets the controller decide, and sends the blocks that have changed.
func (x *partSim) exchange() {
	if c := x.controller; c >= 0 && !x.dead[c] {
		x.guards[c].DecideForAll(x.now)
	}
	for i, g := range x.guards {
		if x.dead[i] {
			continue
		}
		g.UpdateTrials(x.now)
		v := g.Blocklist.Version()
		if v == x.sentBlocks[i] || x.cutHost && i == 1 {
			continue
		}
		x.sentBlocks[i] = v
		blocks := g.Blocklist.All(x.now)
		if i != x.controller {
			x.messages = append(x.messages, simMessage{at: x.now.Add(x.delay()), to: -1, blocks: blocks})
			continue
		}
		for h := range x.hosts {
			if h != i && !(x.cutHost && h == 1) {
				x.messages = append(x.messages, simMessage{at: x.now.Add(x.delay()), to: h, blocks: blocks})
			}
		}
		for _, b := range blocks {
			if b.Suspect && b.PromptPart == 0 {
				x.trials[b.Request.Content] = true
			}
		}
	}
}

// resendAll makes all hosts send what they know to the new controller.
func (x *partSim) resendAll() {
	for i, g := range x.guards {
		x.sentBlocks[i] = -1
		if x.dead[i] || x.cutHost && i == 1 {
			continue
		}
		crashes, _ := g.CrashLog.Since(x.now, 0, math.MaxInt)
		x.messages = append(x.messages, simMessage{at: x.now.Add(x.delay()), sentAt: x.now, to: -1, crashes: crashes})
	}
}

func (x *partSim) run() {
	nextCrash := x.since(x.otherCrashes)
	for ; x.now.Before(x.since(simDuration)); x.now = x.now.Add(simStep) {
		if x.lostController > 0 && x.controller == 0 && !x.now.Before(x.since(x.lostController)) {
			x.dead[0], x.controller = true, -1
		}
		if x.controller < 0 && !x.now.Before(x.since(x.lostController+simTakeover)) {
			x.controller = 2
			x.resendAll()
		}
		x.deliver()
		x.arrive()
		for _, e := range x.endpoints {
			x.runEndpoint(e)
		}
		if x.otherCrashes > 0 && !x.now.Before(nextCrash) {
			nextCrash = x.now.Add(x.otherCrashes)
			for _, i := range x.rng.Perm(len(x.endpoints))[:x.crashedTogether] {
				x.crash(x.endpoints[i])
			}
		}
		x.exchange()
	}
}
