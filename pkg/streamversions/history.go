package streamversions

import (
	"context"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
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
func (v *Directory) knowsHistory(ctx context.Context) bool {
	now := v.Now()
	if v.Isolated(now) {
		return false
	}
	if v.history.Complete(now, v.StartedAt()) {
		return true
	}
	v.history.Reading.Lock()
	defer v.history.Reading.Unlock()
	if !v.history.Due(v.Now()) {
		return v.history.Complete(v.Now(), v.StartedAt())
	}
	versions, err := v.readHistory(ctx)
	if err != nil {
		v.Log.Info("reading the software versions that services had failed", "error", err.Error())
		v.history.Fail(v.Now())
		return false
	}
	v.history.Set(versions)
	return true
}

// readHistory reads the software versions of services with several from the store.
func (v *Directory) readHistory(ctx context.Context) (map[string][]string, error) {
	ctx, cancel := context.WithTimeout(ctx, streamLookupTimeout)
	defer cancel()
	b, err := v.Store.Newest(ctx, fleet.TopicVersions)
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

// StoreVersions keeps in the store, while this host is the controller, which services have had several software
// versions lately. Hosts that start after all of them were lost read it: the endpoints of a version that began
// streams may be gone by then.
func (v *Directory) StoreVersions(ctx context.Context) {
	written := map[string][]string{}
	wait.Every(ctx, versionStoreInterval, func() {
		if !v.Controlling() {
			clear(written)
			return
		}
		if !v.knowsHistory(ctx) {
			return
		}
		now := v.Now()
		for service := range v.Locator.VersionedServices(now) {
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
func (v *Directory) storeService(ctx context.Context, service string, versions []string) bool {
	var value []byte
	if len(versions) > 0 {
		encoded, err := record.Marshal(storedVersions{versions})
		if err != nil {
			v.Log.Error("encoding software versions failed", "service", service, "error", err.Error())
			return false
		}
		value = encoded
	}
	_, err := v.Store.Put(ctx, fleet.TopicVersions, service, value, fleet.AnyOffset)
	return err == nil // Tried again; the followers log that the store is unavailable.
}
