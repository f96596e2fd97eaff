package streamversions

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/streamorigin"
	"golang.org/x/sync/errgroup"
)

const (
	// recordInterval is how often a host checks whether the store's record names all versions that it knows.
	recordInterval = 200 * time.Millisecond
	// recordReadDelay is how long a host that is not the controller waits for that before it reads the record, and
	// recordWriteDelay before it writes the record itself.
	recordReadDelay  = 150 * time.Millisecond
	recordWriteDelay = time.Second
	// maxHostsAsked is the number of other hosts up to which each host asks all of them whether they run, and how
	// many the controller asks at a time.
	maxHostsAsked = 64
	// recordKey is the key of the record.
	recordKey = "record"
	// maxRecordBytes is the largest record that is written with its routes.
	maxRecordBytes = 200 << 10
	// admissionDelay is the time from the record naming a version to the first stream that begins at it. A host that
	// has not heard of the version no longer decides by what it knows by then.
	admissionDelay = streamorigin.TrustTime + recordInterval
	// recordRetryDelay is the pause after a call for the record that failed.
	recordRetryDelay = 500 * time.Millisecond
)

// stored is the record in the store, as this host last read or wrote it.
type stored struct {
	record *streamorigin.Record
	// next is the position after it.
	next  fleet.Position
	known bool
	// outdated reports that the store may have a newer one.
	outdated bool
	// retryAt is when the next call for it may be made after one that failed.
	retryAt time.Time
}

// keepRecord keeps in the store where streams may have begun, and lets streams begin at a version of software once
// the store names it. The controller writes the record; another host does if the controller fails to.
func (v *Directory) keepRecord(ctx context.Context) {
	var lack recordLack
	wait.Every(ctx, recordInterval, func() {
		now := v.Now()
		known, ok := v.knownOrigins(now)
		if !ok {
			return
		}
		if v.Controlling() {
			v.writeRecord(ctx, known, true)
		} else {
			v.assistController(ctx, now, known, &lack)
		}
		v.admit(ctx, now)
		v.settleUndecided(ctx)
	})
}

// recordLack is since when the record lacks what this host knows, and when this host last read it for that.
type recordLack struct{ since, readAt time.Time }

// assistController reads the record while streams wait for a version to be named there, and writes it if the controller
// does not.
func (v *Directory) assistController(ctx context.Context, now time.Time, known streamorigin.Record, lack *recordLack) {
	if v.storedCopy().record.Covers(known) || !v.startsWait(known) {
		lack.since = time.Time{}
		return
	}
	if lack.since.IsZero() {
		lack.since = now
	}
	if now.Sub(lack.since) >= recordReadDelay && now.Sub(lack.readAt) >= recordWriteDelay {
		lack.readAt = now
		_ = v.readRecord(ctx) // Logged.
	}
	if now.Sub(lack.since) >= recordWriteDelay && v.storedCopy().known {
		v.writeRecord(ctx, known, false)
	}
}

// knownOrigins returns where streams may have begun as far as this host knows, and whether it knows any service
// that resumable routes have.
func (v *Directory) knownOrigins(now time.Time) (streamorigin.Record, bool) {
	v.routes.Observe(now, v.Config())
	out := streamorigin.Record{Era: v.Era(), Versions: map[string][]string{}, Routes: v.history.Record(now).WithRoutes(v.routes.All(now))}
	services := streamorigin.AllServices(out.Routes)
	for _, s := range services {
		if versions := v.versions(now, s); len(versions) > 0 {
			out.Versions[s] = versions
		}
	}
	out.Partial = v.Isolated(now) || !v.history.Complete(now, services)
	return out, len(out.Versions) > 0
}

// startsWait reports whether streams wait for the store to name a version at which they may begin.
func (v *Directory) startsWait(known streamorigin.Record) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for service, versions := range known.Versions {
		for _, version := range versions {
			if admitted := v.admitted[service]; len(admitted) > 0 && !slices.Contains(admitted, version) {
				return true
			}
		}
	}
	return false
}

// admit lets streams begin at the versions that the store names.
func (v *Directory) admit(ctx context.Context, now time.Time) {
	v.mu.Lock()
	before := v.admitted
	v.mu.Unlock()
	live := map[string][]string{}
	for _, service := range streamorigin.AllServices(v.routes.All(now)) {
		live[service] = v.Locator.Versions(now, service)
		if len(before[service]) == 0 && len(live[service]) > 1 && !v.storedCopy().known && v.history.Due(now) {
			_ = v.readRecord(ctx) // Logged. Nothing tells which of the versions the store names otherwise.
		}
	}
	known := v.storedCopy()
	admitted := make(map[string][]string, len(live))
	for service, versions := range live {
		if len(before[service]) == 0 && !known.known {
			if len(versions) == 1 {
				admitted[service] = versions
			}
			continue // It is not known which of several the store names.
		}
		admitted[service] = streamorigin.Admit(before[service], versions, func(version string) bool {
			if known.record == nil || known.record.Era != v.Era() || !known.record.Names(service, version) {
				return false
			}
			// All versions are alike to a host that has just started.
			return len(before[service]) == 0 || v.joined.Since(now, service, version) >= admissionDelay
		})
	}
	v.joined.Retain(live)
	v.mu.Lock()
	v.admitted = admitted
	v.mu.Unlock()
	v.Locator.Admit(admitted)
}

func (v *Directory) storedCopy() stored {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stored
}

func (v *Directory) setStored(s stored) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stored = s
}

// knowsHistory reports whether this host knows where the streams of services may have begun. A host that may have
// missed changes reads it from the store, and one that hears of no changes does not know the newest.
func (v *Directory) knowsHistory(ctx context.Context, services []string) bool {
	now := v.Now()
	if v.Isolated(now) {
		return false
	}
	if v.history.Complete(now, services) {
		return true
	}
	v.history.Reading.Lock()
	defer v.history.Reading.Unlock()
	if v.history.Due(v.Now()) && v.readRecord(ctx) != nil {
		return false
	}
	return v.history.Complete(v.Now(), services)
}

// readRecord reads the record from the store.
func (v *Directory) readRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, streamLookupTimeout)
	defer cancel()
	b, err := v.Store.Newest(ctx, fleet.TopicVersions)
	if err != nil {
		v.Log.Info("reading the versions at which streams may have begun failed", "error", err.Error())
		v.history.Fail(v.Now())
		return err
	}
	s := stored{next: b.Next, known: true}
	for _, e := range b.Entries {
		var r streamorigin.Record
		if e.Key != recordKey {
			continue // Hosts of earlier releases write one for each service.
		}
		if err := record.Unmarshal(e.Value, &r); err != nil {
			v.Log.Error("decoding the versions at which streams may have begun failed", "offset", e.Offset, "error", err.Error())
			v.history.Fail(v.Now())
			return err
		}
		s.record = &r
	}
	v.setStored(s)
	read := streamorigin.Record{Era: b.Next.Era()}
	if s.record != nil {
		read = *s.record
	} else {
		read.Partial = b.Next != 0 || !v.firstHosts(ctx)
	}
	v.history.Set(v.Now(), read, b.Next.Era())
	v.Log.Info("read the versions at which streams may have begun", "versions", read.Versions, "partial", read.Partial, "era", read.Era, "next", b.Next)
	return nil
}

// firstHosts reports whether the hosts that run are the first ones of the deployment, so that there are no streams
// that others began: each has written its entry once, nobody else has, and all respond.
func (v *Directory) firstHosts(ctx context.Context) bool {
	_, others := v.Hosts()
	if v.HostEntries() != int64(len(others))+1 || len(others) > maxHostsAsked && !v.Controlling() {
		return false
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxHostsAsked)
	for _, h := range others {
		group.Go(func() error {
			_, err := v.Send(ctx, h.Addr, peer.Request{})
			return err
		})
	}
	return group.Wait() == nil
}

// writeRecord writes the record if that is due.
func (v *Directory) writeRecord(ctx context.Context, known streamorigin.Record, owner bool) {
	s := v.storedCopy()
	if v.Now().Before(s.retryAt) {
		return
	}
	if !s.known || s.outdated || s.next.Era() != known.Era {
		if v.readRecord(ctx) != nil {
			s.retryAt = v.Now().Add(recordRetryDelay)
			v.setStored(s)
			return
		}
		s = v.storedCopy()
		var ok bool
		if known, ok = v.knownOrigins(v.Now()); !ok {
			return
		}
	}
	r := streamorigin.PlanWrite(known, s.record, owner)
	if r == nil {
		return
	}
	value, err := record.Marshal(r)
	if err == nil && len(value) > maxRecordBytes {
		r.Routes, r.Partial = nil, true
		value, err = record.Marshal(r)
	}
	if err != nil {
		v.Log.Error("encoding the versions at which streams may have begun failed", "error", err.Error())
		return
	}
	at, err := v.Store.Put(ctx, fleet.TopicVersions, recordKey, value, s.next)
	switch {
	case err == nil:
		v.setStored(stored{record: r, next: at + 1, known: true})
		v.Log.Info("wrote the versions at which streams may have begun", "versions", r.Versions, "partial", r.Partial, "era", r.Era, "offset", at)
	case errors.Is(err, fleet.ErrStoreConflict):
		s.outdated = true
		v.setStored(s)
	default:
		v.Log.Info("writing the versions at which streams may have begun failed", "error", err.Error())
		s.outdated, s.retryAt = true, v.Now().Add(recordRetryDelay) // The write may have taken effect.
		v.setStored(s)
	}
}
