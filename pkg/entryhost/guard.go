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
	// guardInterval is the interval at which crash records are read and blocking decisions are
	// made. It must be short compared to the window over which the quarantine package collects
	// crashes.
	guardInterval = 100 * time.Millisecond
	// maxUnreportedCrashes bounds the queue of crash reports while the log is unavailable. Further
	// reports are dropped.
	maxUnreportedCrashes = 64
)

// guard blocks requests that crash endpoints. Each host appends the crashes that it observes to
// the log and decides which requests to block from the records of all hosts. guard implements
// serve.Guard.
type guard struct {
	*quarantine.Guard
	host *Host
	// unreported holds crashes that are not yet in the log.
	unreported chan []fleet.CrashReport
	// applied is the offset of the last crash record that was processed.
	applied record.Offset
}

func newGuard(h *Host) *guard {
	g := &guard{host: h, unreported: make(chan []fleet.CrashReport, maxUnreportedCrashes)}
	g.Guard = quarantine.NewGuard(quarantine.Config{
		Terminated:        h.endpointTerminated,
		ShutdownAnnounced: h.endpointDraining,
		OnCrash:           g.enqueue,
		OnTrialChange:     func() {},
		Now:               h.now,
		Log:               h.logger,
	})
	return g
}

// RecordBroken implements serve.Guard. The ID of a plain service does not change across
// restarts, so the incarnation is added to distinguish them.
func (g *guard) RecordBroken(e fleet.Endpoint, f fleet.Fingerprint, id fleet.CopyID, suspected bool) {
	e.ID = g.host.withIncarnation(e.ID)
	g.Guard.RecordBroken(e, f, id, suspected)
}

// RecordUnreachable implements serve.Guard.
func (g *guard) RecordUnreachable(e fleet.Endpoint) {
	e.ID = g.host.withIncarnation(e.ID)
	g.Guard.RecordUnreachable(e)
}

// RecordUnbegun implements serve.Guard. Calls of this interface have no prompt parts.
func (g *guard) RecordUnbegun(fleet.Endpoint, fleet.Prompt) {}

// RecordServed implements serve.Guard.
func (g *guard) RecordServed(e fleet.Endpoint, f fleet.Fingerprint, began time.Time) {
	e.ID = g.host.withIncarnation(e.ID)
	g.Guard.RecordServed(e, f, began)
}

func (g *guard) enqueue(crashes []fleet.CrashReport) {
	select {
	case g.unreported <- crashes:
	default:
		g.host.logger.Warn("crash report dropped: too many reports are waiting for the log", "endpoint", crashes[0].Endpoint)
	}
}

// runDecisions processes new crash records and decides which requests to block.
func (g *guard) runDecisions(ctx context.Context) {
	every(ctx, guardInterval, func(context.Context) {
		now := g.host.now()
		for _, c := range g.host.state.Crashes.After(g.applied) {
			g.applied = c.Offset
			g.CrashLog.Add(now, crashesFromRecord(now, c.EndpointCrash))
		}
		g.Decide(now)
		// Hosts share crashes but not trial runs. Each host tries one copy of a suspected request
		// at a time.
		g.GrantLocally(now, 0)
		g.UpdateTrials(now)
		g.Prune(now)
	})
}

// runCrashReports appends the crashes observed by this host to the log. A failed append is not
// retried: this host has already counted the crash, and a harmful request will cause further
// crashes.
func (g *guard) runCrashReports(ctx context.Context) {
	for {
		select {
		case crashes := <-g.unreported:
			r := newCrashRecord(g.host.now(), crashes)
			if err := g.host.appendWithTimeout(ctx, record.Record{ID: record.NewID(), Crashed: &r}); err != nil {
				g.host.logger.Warn("could not append crash report to the log; dropping it", "endpoint", r.Endpoint, "error", err.Error())
			}
		case <-ctx.Done():
			return
		}
	}
}

// newCrashRecord returns the record for crashes of one endpoint. crashes must not be empty.
func newCrashRecord(now time.Time, crashes []fleet.CrashReport) record.EndpointCrash {
	r := record.EndpointCrash{Endpoint: string(crashes[0].Endpoint), At: crashes[0].At(now)}
	for _, c := range crashes {
		r.Requests = append(r.Requests, record.CrashedRequest(c.Request))
	}
	return r
}

// crashesFromRecord returns the crashes in a record. Timestamps ahead of now, caused by clock skew
// between hosts, are treated as now.
func crashesFromRecord(now time.Time, r record.EndpointCrash) []fleet.CrashReport {
	var out []fleet.CrashReport
	for _, f := range r.Requests {
		out = append(out, fleet.CrashReport{
			Request:  fleet.Fingerprint(f),
			Endpoint: fleet.EndpointID(r.Endpoint),
			Ago:      max(0, now.Sub(r.At).Milliseconds()),
		})
	}
	return out
}

// endpointTerminated implements quarantine.Config.Terminated.
func (h *Host) endpointTerminated(ctx context.Context, e fleet.Endpoint) (bool, error) {
	status, err := h.engine.Status(ctx, e.Addr)
	if errors.Is(err, external.ErrRefused) {
		return true, nil
	}
	_, incarnation := splitIncarnation(e.ID)
	return err == nil && incarnation != "" && status.Incarnation != incarnation, err
}

// incarnationSeparator separates the name of a plain service from its incarnation.
const incarnationSeparator = "@"

// splitIncarnation is the inverse of withIncarnation. For other IDs the incarnation is empty.
func splitIncarnation(id fleet.EndpointID) (name string, incarnation record.Incarnation) {
	i := strings.LastIndex(string(id), incarnationSeparator)
	if i < 0 {
		return string(id), ""
	}
	return string(id[:i]), record.Incarnation(id[i+len(incarnationSeparator):])
}

// endpointDraining implements quarantine.Config.ShutdownAnnounced.
func (h *Host) endpointDraining(id fleet.EndpointID) bool {
	name, _ := splitIncarnation(id)
	if e, ok := h.state.Pools.EndpointOf(record.ReplicaID(id)); ok {
		name = e
	}
	h.membersMu.Lock()
	defer h.membersMu.Unlock()
	return h.members.Draining(name)
}

// withIncarnation appends the current incarnation to the ID of a plain service. Replica IDs are
// unique and are returned unchanged.
func (h *Host) withIncarnation(id fleet.EndpointID) fleet.EndpointID {
	h.membersMu.Lock()
	defer h.membersMu.Unlock()
	if incarnation := h.members.Incarnation(string(id)); incarnation != "" {
		return id + incarnationSeparator + fleet.EndpointID(incarnation)
	}
	return id
}
