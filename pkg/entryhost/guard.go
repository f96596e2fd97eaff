package entryhost

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/quarantine"
	"github.com/tealvane/tealvane/pkg/record"
)

const (
	// guardPeriod is how often a host looks for requests to blame, and at what the log tells of
	// the ends of endpoints: a small part of the 0.4 s for which ends are gathered.
	guardPeriod = 100 * time.Millisecond
	// maxCrashesWaiting bounds the ends that wait for the log while it does not answer, some
	// kilobytes each; further ones are told by the other hosts that saw them, or not at all.
	maxCrashesWaiting = 64
)

// guard keeps calls that crash endpoints from them. Each host tells the ends that it has seen in
// the log, and finds the calls to blame from the records of all hosts. It implements
// serve.Guard.
type guard struct {
	*quarantine.Guard
	host *Host
	// found are crashes that the log has not been told.
	found chan []fleet.Crash
	// folded is the offset of the last record that was taken in.
	folded record.Offset
}

func newGuard(h *Host) *guard {
	g := &guard{host: h, found: make(chan []fleet.Crash, maxCrashesWaiting)}
	g.Guard = quarantine.NewGuard(quarantine.Config{
		Ended:     h.endpointEnded,
		Announced: h.announced,
		Crashed:   g.tell,
		Moved:     func() {},
		Now:       h.now,
		Log:       h.logger,
	})
	return g
}

// Broke implements serve.Guard. A plain service keeps its name when it starts again; each of
// its incarnations can end.
func (g *guard) Broke(e fleet.Endpoint, f fleet.Fingerprint, id fleet.CopyID, suspected bool) {
	e.ID = g.host.incarnationOf(e.ID)
	g.Guard.Broke(e, f, id, suspected)
}

// Refused implements serve.Guard.
func (g *guard) Refused(e fleet.Endpoint) {
	e.ID = g.host.incarnationOf(e.ID)
	g.Guard.Refused(e)
}

// Served implements serve.Guard.
func (g *guard) Served(e fleet.Endpoint, f fleet.Fingerprint, began time.Time) {
	e.ID = g.host.incarnationOf(e.ID)
	g.Guard.Served(e, f, began)
}

func (g *guard) tell(crashes []fleet.Crash) {
	select {
	case g.found <- crashes:
	default:
		g.host.logger.Warn("ends of endpoints are not told in the log: it does not answer", "endpoint", crashes[0].Endpoint)
	}
}

// runDecisions takes in what the log tells and blocks the calls to blame.
func (g *guard) runDecisions(ctx context.Context) {
	every(ctx, guardPeriod, func(context.Context) {
		now := g.host.now()
		for _, c := range g.host.state.Crashes.After(g.folded) {
			g.folded = c.Offset
			g.Ledger.Add(now, crashesOf(now, c.Crashed))
		}
		g.Decide(now)
		// Hosts tell one another of ends and not of trials: each tries one copy at a time.
		g.GrantOwn(now, 0)
		g.Tend(now)
		g.Prune(now)
	})
}

// runTold appends the ends that this host has seen. One whose append fails may be lost: the
// host itself counts it, and another end will come if there is a call to blame.
func (g *guard) runTold(ctx context.Context) {
	for {
		select {
		case crashes := <-g.found:
			r := crashRecord(g.host.now(), crashes)
			if err := g.host.appendSoon(ctx, record.Record{ID: record.NewID(), Crashed: &r}); err != nil {
				g.host.logger.Warn("end of an endpoint is not told in the log", "endpoint", r.Endpoint, "error", err.Error())
			}
		case <-ctx.Done():
			return
		}
	}
}

// crashRecord is the record of crashes at one endpoint.
func crashRecord(now time.Time, crashes []fleet.Crash) record.Crashed {
	r := record.Crashed{Endpoint: string(crashes[0].Endpoint), At: crashes[0].At(now)}
	for _, c := range crashes {
		r.Requests = append(r.Requests, record.CrashedRequest(c.Request))
	}
	return r
}

// crashesOf are the crashes that a record tells. Clocks of hosts differ a little; none of the
// ends lies in the future.
func crashesOf(now time.Time, r record.Crashed) []fleet.Crash {
	var out []fleet.Crash
	for _, f := range r.Requests {
		out = append(out, fleet.Crash{
			Request:  fleet.Fingerprint(f),
			Endpoint: fleet.EndpointID(r.Endpoint),
			Ago:      max(0, now.Sub(r.At).Milliseconds()),
		})
	}
	return out
}

// endpointEnded implements quarantine.Config.Ended.
func (h *Host) endpointEnded(ctx context.Context, e fleet.Endpoint) (bool, error) {
	status, err := h.engine.Status(ctx, e.Addr)
	if errors.Is(err, external.ErrRefused) {
		return true, nil
	}
	_, incarnation := splitIncarnation(e.ID)
	return err == nil && incarnation != "" && status.Incarnation != incarnation, err
}

// incarnationMark separates the name of a plain service from its incarnation.
const incarnationMark = "@"

// splitIncarnation takes apart what incarnationOf has made; other IDs have no incarnation.
func splitIncarnation(id fleet.EndpointID) (name string, incarnation record.Incarnation) {
	i := strings.LastIndex(string(id), incarnationMark)
	if i < 0 {
		return string(id), ""
	}
	return string(id[:i]), record.Incarnation(id[i+len(incarnationMark):])
}

// announced implements quarantine.Config.Announced.
func (h *Host) announced(id fleet.EndpointID) bool {
	name, _ := splitIncarnation(id)
	if e, ok := h.state.Pools.EndpointOf(record.ReplicaID(id)); ok {
		name = e
	}
	h.membersMu.Lock()
	defer h.membersMu.Unlock()
	return h.members.Leaving(name)
}

// incarnationOf names the incarnation of a plain service that is at work under a name; the
// ID of a replica is used once.
func (h *Host) incarnationOf(id fleet.EndpointID) fleet.EndpointID {
	h.membersMu.Lock()
	defer h.membersMu.Unlock()
	if incarnation := h.members.Incarnation(string(id)); incarnation != "" {
		return id + incarnationMark + fleet.EndpointID(incarnation)
	}
	return id
}
