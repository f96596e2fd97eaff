package gateway

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/streamorigin"
)

const (
	// versionStoreInterval is how often the controller checks whether the store has the software versions.
	versionStoreInterval = 200 * time.Millisecond
)

// storedVersions is the stored form of the software versions of a service.
type storedVersions struct {
	Versions []string `cbor:"1,keyasint"`
}

// knowsHistory reports whether this host knows all versions that services have had lately. A host that has
// started lately reads them from the store, and one that hears of no endpoints does not know the newest.
func (v *streamVersions) knowsHistory(ctx context.Context) bool {
	now := v.g.Now()
	if v.g.isolated(now) {
		return false
	}
	if v.history.Complete(now, v.g.startedAt) {
		return true
	}
	v.history.Reading.Lock()
	defer v.history.Reading.Unlock()
	if !v.history.Due(v.g.Now()) {
		return v.history.Complete(v.g.Now(), v.g.startedAt)
	}
	versions, err := v.readHistory(ctx)
	if err != nil {
		v.g.log.Info("reading the software versions that services had failed", "error", err.Error())
		v.history.Fail(v.g.Now())
		return false
	}
	v.history.Set(versions)
	return true
}

// readHistory reads the software versions of services with several from the store.
func (v *streamVersions) readHistory(ctx context.Context) (map[string][]string, error) {
	ctx, cancel := context.WithTimeout(ctx, streamLookupTimeout)
	defer cancel()
	b, err := v.g.store.Newest(ctx, fleet.TopicVersions)
	if err != nil {
		return nil, err
	}
	out := map[string][]string{}
	for _, e := range b.Entries {
		var s storedVersions
		if len(e.Value) == 0 {
			continue
		}
		if err := record.Unmarshal(e.Value, &s); err != nil {
			return nil, err
		}
		out[e.Key] = s.Versions
	}
	return out, nil
}

// storeVersions keeps in the store, while this host is the controller, which services have had several software
// versions lately. Hosts that start after all of them were lost read it: the endpoints of a version that began
// streams may be gone by then.
func (v *streamVersions) storeVersions(ctx context.Context) {
	written := map[string][]string{}
	every(ctx, versionStoreInterval, func() {
		if v.g.election.HeldToken() == 0 {
			clear(written)
			return
		}
		if !v.knowsHistory(ctx) {
			return
		}
		now := v.g.Now()
		for service := range v.g.locator.VersionedServices(now) {
			stored, known := written[service]
			if !known {
				stored = v.history.Of(service)
			}
			if w, due := streamorigin.VersionsToStore(v.versions(now, service), stored); due && v.storeService(ctx, service, w) {
				written[service] = w
			}
		}
	})
}

// storeService writes the software versions of a service, or removes them if there are none, and reports whether it
// did.
func (v *streamVersions) storeService(ctx context.Context, service string, versions []string) bool {
	var value []byte
	if len(versions) > 0 {
		encoded, err := record.Marshal(storedVersions{versions})
		if err != nil {
			v.g.log.Error("encoding software versions failed", "service", service, "error", err.Error())
			return false
		}
		value = encoded
	}
	_, err := v.g.store.Put(ctx, fleet.TopicVersions, service, value, fleet.AnyOffset)
	return err == nil // Tried again; the followers log that the store is unavailable.
}

// isolated reports whether this host neither reads the list of endpoints nor hears of its changes.
func (g *Gateway) isolated(now time.Time) bool {
	return g.listViewAge(now) > isolationTimeout && g.notices.age(now) > isolationTimeout && g.election.HeldToken() == 0
}
